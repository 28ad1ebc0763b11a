package replay

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/dispatch"
)

// admitAll admits every request.
type admitAll struct{}

type noopTicket struct{}

func (admitAll) Acquire(context.Context, dispatch.AdmissionRequest) (dispatch.Ticket, error) {
	return noopTicket{}, nil
}

func (noopTicket) Backend() backend.Target { return backend.Target{} }
func (noopTicket) Priority() int           { return 0 }
func (noopTicket) Progress(int)            {}
func (noopTicket) Preempted()              {}
func (noopTicket) Failed()                 {}
func (noopTicket) Release(int)             {}

// Guards against a recorded file that cannot be replayed, or that contains a request
// twice or without a known output length.
func TestRecordedTraceReplays(t *testing.T) {
	path := filepath.Join(t.TempDir(), "recorded.jsonl")
	now := epoch
	r, err := NewRecorder(RecorderOptions{
		File: path, Model: "m", Now: func() time.Time { return now }, Log: zap.NewNop(),
		Snapshot: func() *control.Snapshot { return &control.Snapshot{} },
	})
	if err != nil {
		t.Fatal(err)
	}
	admission := r.Wrap(admitAll{})
	acquire := func(model string) dispatch.Ticket {
		now = now.Add(time.Second)
		ticket, err := admission.Acquire(context.Background(), dispatch.AdmissionRequest{
			Tenant: "t", Organisation: "o", Model: model, PromptTokens: 40, PrefixHashes: []uint64{1 << 63, 2},
		})
		if err != nil {
			t.Fatal(err)
		}
		return ticket
	}
	first, second, none, other := acquire("m"), acquire("m"), acquire("m"), acquire("x")
	second.Release(20)
	first.Release(30)
	first.Release(30)
	none.Release(0)
	other.Release(10)
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	trace, err := ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if len(trace.Arrivals) != 2 || trace.Arrivals[0].Tokens != 30 || trace.Arrivals[1].AtMicros != 2_000_000 {
		t.Fatalf("recorded arrivals %+v, want 2, the first with 30 tokens and the second at 2,000,000 us", trace.Arrivals)
	}
	if report := mustRun(t, trace, BaselinePolicy); report.Total.Completed != 2 {
		t.Errorf("replay of the recorded trace completed %d requests, want 2: %+v", report.Total.Completed, report.Total)
	}
}
