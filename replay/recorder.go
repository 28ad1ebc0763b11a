package replay

import (
	"cmp"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/dispatch"
)

// maxRecordedLines limits the lines of a recorded file, which keeps it under 200 MB
// even if all prompts are long.
const maxRecordedLines = 1 << 17

// RecorderOptions are the parameters of a Recorder.
type RecorderOptions struct {
	// File is created; it must not exist.
	File string
	// Model is the model whose requests are recorded.
	Model string
	// Snapshot provides the engines and entitlements for the header.
	Snapshot func() *control.Snapshot
	Now      func() time.Time
	Log      *zap.Logger
}

// Recorder writes the requests of one VM as a trace. A request is written when it
// ends, since its output length is known only then; requests that were not admitted
// or produced no token are omitted. A restarted request is recorded with the
// arrival time of its latest start.
type Recorder struct {
	opts  RecorderOptions
	mu    sync.Mutex
	file  *os.File
	enc   *json.Encoder
	start time.Time
	lines int
}

// NewRecorder creates the trace file and returns its Recorder.
func NewRecorder(o RecorderOptions) (*Recorder, error) {
	file, err := os.OpenFile(o.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "create trace")
	}
	return &Recorder{opts: o, file: file, enc: json.NewEncoder(file), start: o.Now()}, nil
}

// Close closes the file. Requests that end later are not recorded.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = maxRecordedLines
	return r.file.Close()
}

// Wrap returns an admission that records the requests it admits.
func (r *Recorder) Wrap(a dispatch.Admission) dispatch.Admission {
	return &recordingAdmission{Admission: a, recorder: r}
}

type recordingAdmission struct {
	dispatch.Admission
	recorder *Recorder
}

// Acquire implements dispatch.Admission.
func (a *recordingAdmission) Acquire(ctx context.Context, req dispatch.AdmissionRequest) (dispatch.Ticket, error) {
	at := a.recorder.opts.Now()
	ticket, err := a.Admission.Acquire(ctx, req)
	if err != nil || req.Model != a.recorder.opts.Model {
		return ticket, err
	}
	return &recordingTicket{Ticket: ticket, recorder: a.recorder, req: req, at: at}, nil
}

type recordingTicket struct {
	dispatch.Ticket
	recorder *Recorder
	req      dispatch.AdmissionRequest
	at       time.Time
	once     sync.Once
}

// Release implements dispatch.Ticket.
func (t *recordingTicket) Release(tokens int) {
	t.Ticket.Release(tokens)
	t.once.Do(func() {
		if tokens > 0 {
			t.recorder.record(t.at, t.req, tokens)
		}
	})
}

func (r *Recorder) record(at time.Time, req dispatch.AdmissionRequest, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lines >= maxRecordedLines {
		return
	}
	if r.lines == 0 {
		r.write(line{Header: r.header()})
	}
	r.write(line{Arrival: &Arrival{
		AtMicros: at.Sub(r.start).Microseconds(), Tenant: req.Tenant, Organisation: req.Organisation, Model: req.Model,
		PromptTokens: req.PromptTokens, PrefixHashes: slices.Clone(req.PrefixHashes), MaxTokens: req.MaxTokens, Tokens: tokens,
	}})
}

// write writes a line. A write error stops the recording, not the VM.
func (r *Recorder) write(l line) {
	if r.lines++; r.lines > maxRecordedLines {
		return
	}
	if err := r.enc.Encode(l); err != nil {
		r.opts.Log.Warn("trace_record_failed", zap.Error(err))
		r.lines = maxRecordedLines
	}
}

func (r *Recorder) header() *Header {
	snap := r.opts.Snapshot()
	h := &Header{Name: filepath.Base(r.opts.File), Model: r.opts.Model, Engines: max(len(snap.Engines[r.opts.Model]), 1), Note: "recorded"}
	if snap.Bundle != nil {
		h.Shares = tenantShares(snap.Bundle.Document)
	}
	return h
}

func tenantShares(d *bundle.Document) []TenantShare {
	var shares []TenantShare
	for _, t := range d.Tenants {
		s := TenantShare{
			Tenant: t.Name, Share: t.Share, Organisations: map[string]float64{},
			StallTime: t.Weights.StallTime, Preemptions: t.Weights.Preemptions, InterTokenLatency: t.Weights.InterTokenLatency,
		}
		for _, o := range t.Organisations {
			s.Organisations[o.Name] = cmp.Or(o.Weight, 1)
		}
		shares = append(shares, s)
	}
	return shares
}
