// Package replay runs dispatch policies over engine models under a virtual clock,
// with recorded or generated arrivals and faults, and compares them to a baseline. The
// same trace and seed give the same report, byte for byte.
package replay

import (
	"bufio"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/dispatch"
)

// Kinds of faults.
const (
	// FaultReclaim terminates an engine; its generations are lost.
	FaultReclaim = "reclaim"
	// FaultStall stops delivery on the open streams of an engine; new streams work.
	FaultStall = "stall"
)

// Trace is a recorded or generated sequence of arrivals and faults for one group
// of engines with the same model.
type Trace struct {
	Header   Header
	Arrivals []Arrival
	Faults   []Fault
}

// Header describes a trace. It is the first line of the file.
type Header struct {
	Name string `json:"name"`
	// Model is the model of all engines.
	Model string `json:"model"`
	// Engines is the number of engines, named engine-1 and so on.
	Engines int `json:"engines"`
	// DurationMS is the length of the arrival period. Zero means until the last
	// arrival.
	DurationMS int64 `json:"duration_ms,omitempty"`
	// OneWayMicros is the network delay between two processes.
	OneWayMicros int64  `json:"one_way_us"`
	Seed         uint64 `json:"seed"`
	// Note describes how the trace was made.
	Note   string        `json:"note,omitempty"`
	Shares []TenantShare `json:"shares"`
}

// TenantShare is the entitlement of a tenant, as in dispatch.TenantShare.
type TenantShare struct {
	Tenant            string             `json:"tenant"`
	Share             float64            `json:"share"`
	Organisations     map[string]float64 `json:"organisations"`
	StallTime         float64            `json:"stall_time_weight"`
	Preemptions       float64            `json:"preemptions_weight"`
	InterTokenLatency float64            `json:"inter_token_latency_weight"`
}

// Arrival is one request.
type Arrival struct {
	// AtMicros is the time of arrival since the start of the trace.
	AtMicros     int64  `json:"at_us"`
	Tenant       string `json:"tenant"`
	Organisation string `json:"org"`
	Route        string `json:"route,omitempty"`
	Model        string `json:"model"`
	PromptTokens int    `json:"prompt_tokens"`
	// Prefix identifies the prefix that prompts share, PrefixTokens is its length.
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
	// PrefixHashes replaces Prefix in recorded requests.
	PrefixHashes []uint64 `json:"prefix_hashes,omitempty"`
	MaxTokens    int      `json:"max_tokens,omitempty"`
	// Tokens is the true output length. Policies never see it.
	Tokens int `json:"tokens"`
}

// Fault is a failure injected into an engine.
type Fault struct {
	AtMicros int64  `json:"at_us"`
	Kind     string `json:"kind"`
	Engine   string `json:"engine"`
	// DurationMS is the time until a reclaimed engine restarts with empty memory, or
	// until stalled streams deliver again. Zero means never.
	DurationMS int64 `json:"duration_ms,omitempty"`
	// NoticeMS is how long before the fault the list of VMs shows the engine as leaving.
	NoticeMS int64 `json:"notice_ms,omitempty"`
}

// line is one line of a trace file; exactly one field is set.
type line struct {
	Header  *Header  `json:"header,omitempty"`
	Arrival *Arrival `json:"arrival,omitempty"`
	Fault   *Fault   `json:"fault,omitempty"`
}

// TraceError reports invalid content of a trace file.
type TraceError struct {
	Line   int
	Detail string
}

func (e *TraceError) Error() string { return fmt.Sprintf("trace line %d: %s", e.Line, e.Detail) }

// ReadFile reads a trace file, which is gzip-compressed if its name ends in .gz.
// A line with invalid content is reported as a *TraceError.
func ReadFile(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open trace")
	}
	defer f.Close()
	if !strings.HasSuffix(path, ".gz") {
		return Read(f)
	}
	z, err := gzip.NewReader(f)
	if err != nil {
		return nil, errors.Wrap(err, "decompress trace")
	}
	return Read(z)
}

// Read reads a trace and sorts its arrivals by time; a recorder writes them in the
// order in which requests end.
func Read(r io.Reader) (*Trace, error) {
	t := &Trace{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 1<<20)
	n := 0
	for scanner.Scan() {
		n++
		if err := t.add(n, scanner.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read trace")
	}
	if n == 0 {
		return nil, &TraceError{Line: 1, Detail: "the trace is empty"}
	}
	t.normalise()
	return t, nil
}

func (t *Trace) normalise() {
	slices.SortStableFunc(t.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.AtMicros, b.AtMicros) })
	if last := len(t.Arrivals) - 1; t.Header.DurationMS == 0 && last >= 0 {
		t.Header.DurationMS = t.Arrivals[last].AtMicros/1000 + 1
	}
}

func (t *Trace) add(n int, data []byte) error {
	var l line
	if err := json.Unmarshal(data, &l); err != nil {
		return &TraceError{Line: n, Detail: err.Error()}
	}
	if (n == 1) != (l.Header != nil) {
		return &TraceError{Line: n, Detail: "the header must be the first line and the only header"}
	}
	switch {
	case l.Header != nil:
		t.Header = *l.Header
		return t.Header.validate(n)
	case l.Arrival != nil:
		return t.addArrival(n, *l.Arrival)
	case l.Fault != nil:
		return t.addFault(n, *l.Fault)
	}
	return &TraceError{Line: n, Detail: "the line has no header, arrival or fault"}
}

func (h *Header) validate(n int) error {
	if h.Engines < 1 || h.DurationMS < 0 || h.Model == "" {
		return &TraceError{Line: n, Detail: "engines and model are required, and duration_ms must not be negative"}
	}
	return nil
}

func (t *Trace) addArrival(n int, a Arrival) error {
	switch {
	case a.Model != t.Header.Model:
		return &TraceError{Line: n, Detail: "model " + a.Model + " differs from the model in the header"}
	case a.PromptTokens < 1 || a.Tokens < 1 || a.PrefixTokens > a.PromptTokens || a.AtMicros < 0:
		return &TraceError{Line: n, Detail: "time or token counts out of range"}
	}
	t.Arrivals = append(t.Arrivals, a)
	return nil
}

func (t *Trace) addFault(n int, f Fault) error {
	if f.Kind != FaultReclaim && f.Kind != FaultStall {
		return &TraceError{Line: n, Detail: "unknown fault kind " + f.Kind}
	}
	for i := range t.Header.Engines {
		if EngineID(i) == f.Engine {
			t.Faults = append(t.Faults, f)
			return nil
		}
	}
	return &TraceError{Line: n, Detail: "unknown engine " + f.Engine}
}

// Write writes a trace: the header, then the faults, then the arrivals.
func Write(w io.Writer, t *Trace) error {
	enc := json.NewEncoder(w)
	if err := enc.Encode(line{Header: &t.Header}); err != nil {
		return errors.Wrap(err, "write header")
	}
	for i := range t.Faults {
		if err := enc.Encode(line{Fault: &t.Faults[i]}); err != nil {
			return errors.Wrap(err, "write fault")
		}
	}
	for i := range t.Arrivals {
		if err := enc.Encode(line{Arrival: &t.Arrivals[i]}); err != nil {
			return errors.Wrap(err, "write arrival")
		}
	}
	return nil
}

// EngineID returns the id of engine n of a trace, counted from 0.
func EngineID(n int) string { return fmt.Sprintf("engine-%d", n+1) }

// duration returns the length of the arrival period.
func (h *Header) duration() time.Duration { return time.Duration(h.DurationMS) * time.Millisecond }

// shares converts the entitlements for dispatch.Policy.SetShares.
func (h *Header) shares() []dispatch.TenantShare {
	shares := make([]dispatch.TenantShare, 0, len(h.Shares))
	for _, s := range h.Shares {
		shares = append(shares, dispatch.TenantShare{
			Tenant: s.Tenant, Share: s.Share, Organisations: s.Organisations,
			StallTime: s.StallTime, Preemptions: s.Preemptions, InterTokenLatency: s.InterTokenLatency,
		})
	}
	return shares
}
