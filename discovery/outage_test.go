package discovery

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/standby"
)

// refusing refuses all calls and counts them.
type refusing struct {
	unobserved
	calls atomic.Int64
}

func (s *refusing) List(context.Context, string, kv.Consistency) (kv.Listing, error) {
	s.calls.Add(1)
	return kv.Listing{}, &kv.UnavailableError{Op: "list"}
}

func (s *refusing) ListPage(ctx context.Context, prefix string, c kv.Consistency) (kv.Listing, error) {
	return s.List(ctx, prefix, c)
}

// fixedDuty is the duty of a VM whose peers do not change.
type fixedDuty standby.Duty

func (d fixedDuty) Duty() standby.Duty  { return standby.Duty(d) }
func (fixedDuty) Reached(time.Duration) {}
func (fixedDuty) Poll() time.Duration   { return time.Second }

// Guards against a whole fleet that asks a store that is out as often as those
// that read for the others: two outages of 14 s together cost 112 VMs 3,000
// refused calls. The pauses of a VM that hears from peers allow five in 5 s; one
// that reads for others must notice within a second that the store is back.
func TestOutageBoundsStoreCalls(t *testing.T) {
	const (
		outage      = 5 * time.Second
		mostOfPeer  = 5
		leastReader = 6
	)
	calls := func(duty fixedDuty) int64 {
		loop := control.NewLoop(zap.NewNop(), time.Now)
		ctx, cancel := context.WithTimeout(context.Background(), outage)
		defer cancel()
		s := &refusing{}
		f := New(Options{
			Store: s, Codec: codec{}, Loop: loop, Duties: duty, FirstStart: true, Log: zap.NewNop(),
		})
		f.start.markListed()
		f.confirmConfig(ctx)
		return s.calls.Load()
	}
	done := make(chan int64)
	go func() { done <- calls(fixedDuty(standby.Read)) }()
	if n := calls(fixedDuty(standby.Probe)); n > mostOfPeer {
		t.Errorf("%d calls of a VM that hears from peers", n)
	}
	if n := <-done; n < leastReader {
		t.Errorf("%d calls of a VM that reads for others", n)
	}
}
