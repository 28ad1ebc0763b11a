package quarantine

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// discardTransport drops all messages.
type discardTransport struct{}

func (discardTransport) Send(string, *peerpb.Envelope) error { return nil }

func startManager(t *testing.T) *Manager {
	t.Helper()
	loop := control.NewLoop(zap.NewNop(), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		loop.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return New(Options{
		VM: "vm", Loop: loop, Transport: discardTransport{}, Peers: func() []string { return nil },
		Metrics: metrics.NewRegistry(), Log: zap.NewNop(),
	})
}

// Guards against requests that wait for an engine until their deadline although a
// rule on their prompt was added, and against refusing others that wait.
func TestWaitingRequestsAreRefusedAtOnce(t *testing.T) {
	m := startManager(t)
	quarantined := NewRequest("a", Content{Pool: "pool", Parts: []string{"x", "dead"}})
	sound := NewRequest("b", Content{Pool: "pool", Parts: []string{"x"}})
	stopped := NewRequest("c", Content{Pool: "pool", Parts: []string{"dead"}})
	refused := make(chan error, 1)
	defer m.Watch(quarantined, func(err error) { refused <- err })()
	defer m.Watch(sound, func(err error) { t.Errorf("a sound request is refused: %v", err) })()
	m.Watch(stopped, func(error) { t.Error("a request that no longer waits is refused") })()
	now := boottime.Now()
	rule := Rule{Keys: stopped.Parts, Since: now, Until: now + time.Minute, Activations: 1}
	m.Receive("peer", envelope(now, Message{Rules: []Rule{rule}}).GetQuarantine())
	select {
	case err := <-refused:
		if _, ok := err.(*RefusedError); !ok {
			t.Errorf("refused with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the waiting request is not refused")
	}
	if m.Check(quarantined) == nil || m.Check(sound) != nil {
		t.Error("new requests are treated otherwise")
	}
}

// Guards against a second probe in one round after the view has changed for another
// reason, and against a rule with an absurd number of activations.
func TestOneProbeInARound(t *testing.T) {
	m := startManager(t)
	m.opts.Loop.Post(control.VMListReceived{List: &vmlist.List{Revision: 1, VMs: []vmlist.VM{
		{ID: "vm", Role: vmlist.RoleEntry, State: vmlist.StateLive},
	}}})
	now := boottime.Now()
	dead := NewRequest("a", Content{Pool: "pool", Parts: []string{"dead"}})
	expired := Rule{Keys: dead.Parts, Since: now - time.Hour, Until: now - time.Second, Activations: 1 << 31}
	m.Receive("peer", envelope(now, Message{Rules: []Rule{expired}}).GetQuarantine())
	// A request that is admitted before the rule has arrived is no probe.
	eventually(t, "the rule is known", func() bool { return len(m.view.Load().rules) > 0 })
	admitted := 0
	for i := range 20 {
		if m.Check(&Request{Parts: dead.Parts}) == nil {
			admitted++
		}
		noise := NewRequest(strconv.Itoa(i), Content{Pool: "pool", Parts: []string{strconv.Itoa(i)}})
		m.RunFailed(noise, vmlist.VM{ID: "engine"}, now)
		time.Sleep(5 * time.Millisecond)
	}
	if admitted != 1 {
		t.Errorf("%d probes in one round", admitted)
	}
	if quarantineDuration(1<<31) != maxDuration {
		t.Errorf("duration %v", quarantineDuration(1<<31))
	}
}

// blocker is a control message that blocks the control goroutine until it is closed.
type blocker chan struct{}

func (b blocker) Apply(*control.State) { <-b }

// Guards against crashes that count as one since the control goroutine handles them
// together after a stall. The rule on their part then comes only after further crashes.
func TestCrashesDuringAStallCountSeparately(t *testing.T) {
	const crashes = minCrashes
	dead := NewRequest("", Content{Pool: "pool", Parts: []string{"dead"}})
	for _, test := range []struct {
		name  string
		crash func(m *Manager, i int)
	}{
		{"of this VM", func(m *Manager, i int) {
			m.RunFailed(&Request{Run: uint32(i), Parts: dead.Parts}, vmlist.VM{ID: strconv.Itoa(i)}, boottime.Now())
		}},
		{"of a peer", func(m *Manager, i int) {
			f := Failure{Run: uint32(i), Server: uint32(i), At: boottime.Now(), Keys: dead.Parts}
			m.Receive("peer", envelope(f.At, Message{Failures: []Failure{f}}).GetQuarantine())
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := startManager(t)
			blocked := make(blocker)
			m.opts.Loop.Post(blocked)
			for i := range crashes {
				test.crash(m, i+1)
				time.Sleep(crashInterval + 50*time.Millisecond)
			}
			close(blocked)
			for begin := time.Now(); m.Check(&Request{Parts: dead.Parts}) == nil; time.Sleep(5 * time.Millisecond) {
				if time.Since(begin) > 5*time.Second {
					t.Fatalf("the part is not refused after %d crashes", crashes)
				}
			}
		})
	}
}

// Guards against two probes of one request when many of its repeats wait, and against an
// answer that leaves the rule in place.
func TestOneProbeAmongManyRequests(t *testing.T) {
	m := startManager(t)
	now := boottime.Now()
	request := func(id int) *Request {
		return NewRequest(strconv.Itoa(id), Content{Method: "GET", Target: "/slow", Organisation: "org"})
	}
	rule := Rule{Keys: request(0).keys(), Since: now, Until: now - time.Millisecond, Used: now}
	m.Receive("peer", envelope(now, Message{Rules: []Rule{rule}}).GetQuarantine())
	eventually(t, "the rule is known", func() bool { return len(m.view.Load().rules) > 0 })
	admitted := make(chan *Request, 50)
	var wg sync.WaitGroup
	for i := range cap(admitted) {
		wg.Go(func() {
			if r := request(i); m.Check(r) == nil {
				admitted <- r
			}
		})
	}
	wg.Wait()
	if len(admitted) != 1 {
		t.Fatalf("%d probes", len(admitted))
	}
	probe := <-admitted
	if m.Check(probe) != nil || m.MayRepeat(probe) {
		t.Error("the probe is refused before it is sent, or may be repeated")
	}
	m.RunSucceeded(probe)
	eventually(t, "the rule is lifted", func() bool { return m.Check(request(1)) == nil })
}

// Guards against work on the control loop for each answered request.
func TestOrdinarySuccessDoesNotReachTheLoop(t *testing.T) {
	m := startManager(t)
	blocked := make(blocker)
	defer close(blocked)
	m.opts.Loop.Post(blocked)
	ordinary := NewRequest("a", Content{Method: "GET", Target: "/", Organisation: "org"})
	if allocations := testing.AllocsPerRun(100, func() { m.RunSucceeded(ordinary) }); allocations > 1 {
		t.Errorf("%v allocations for a success that changes nothing", allocations)
	}
	if !m.node.requestSuccesses.Contains(ordinary.Whole) {
		t.Error("the success is not recorded")
	}
}
