package grant

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// BenchmarkRoundTrip measures a grant and its release over the in-memory transport
// without delay, from a dispatcher on another VM and from one on the same VM.
func BenchmarkRoundTrip(b *testing.B) {
	for _, remote := range []bool{true, false} {
		name := map[bool]string{true: "remote", false: "local"}[remote]
		b.Run(name, func(b *testing.B) {
			c := newCluster(b, 2, 8, 64)
			c.set(func(w *network) { w.delay = 0 })
			n, others := c.owner()
			if remote {
				n = others[0]
			}
			before := c.traffic()
			b.ReportAllocs()
			for b.Loop() {
				n.mustAcquire(b, 1)[0].Release(1)
			}
			used := c.traffic().sub(before)
			b.ReportMetric(float64(used.messages)/float64(b.N), "messages/op")
			b.ReportMetric(float64(used.bytes)/float64(b.N), "wire-B/op")
		})
	}
}

// traffic counts what a network has sent.
type traffic struct{ messages, bytes int }

func (t traffic) sub(before traffic) traffic {
	return traffic{t.messages - before.messages, t.bytes - before.bytes}
}

func (w *network) traffic() (t traffic) {
	w.set(func(w *network) { t = traffic{w.messages, w.bytes} })
	return t
}

// Load of one VM at the target scale: 14,000 requests and 4.4 million tokens per
// second on 510 VMs, with 56 ms between the tokens of a stream.
const (
	scaleRequests          = 27 // per second and VM
	scaleTokens            = 314
	scaleInterTokenLatency = 56 * time.Millisecond
)

// Guards against an unnoticed growth of protocol traffic. The bounds leave a
// headroom of a quarter over the expected traffic.
func TestTrafficAtTargetLoad(t *testing.T) {
	const (
		vms, seconds = 2, 20
		maxBytes     = 172 // per request, without prefix hashes
		maxMessages  = 4.1
	)
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, vms, 32, 1000)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for _, n := range c.nodes {
			go scaleLoad(ctx, n)
		}
		time.Sleep(scaleTokens*scaleInterTokenLatency + 2*time.Second) // until streams end at the rate at which they begin
		before := c.traffic()
		time.Sleep(seconds * time.Second)
		used := c.traffic().sub(before)
		requests := float64(seconds * scaleRequests * (vms - 1)) // those of the dispatcher's VM use no network
		bytes, messages := float64(used.bytes)/requests, float64(used.messages)/requests
		t.Logf("per request %.0f B and %.1f messages both ways; per second and frontend %.0f B and %.0f messages",
			bytes, messages, bytes*scaleRequests, messages*scaleRequests)
		if bytes > maxBytes || messages > maxMessages {
			t.Errorf("bounds are %d B and %.1f messages per request", maxBytes, maxMessages)
		}
	})
}

// scaleLoad generates the requests of one VM.
func scaleLoad(ctx context.Context, n *node) {
	for wait.Sleep(ctx, time.Second/scaleRequests) {
		go func() {
			tk, err := n.m.Acquire(ctx, dispatch.AdmissionRequest{
				Tenant: testTenant, Organisation: testOrganisation, Model: testModel, PromptTokens: 1000, MaxTokens: 4096,
			})
			if err != nil {
				return
			}
			const step = 16
			for tokens := step; tokens < scaleTokens && wait.Sleep(ctx, step*scaleInterTokenLatency); tokens += step {
				tk.Progress(tokens)
			}
			tk.Release(scaleTokens)
		}()
	}
}

// BenchmarkControl measures, for one region of the fleet, a tick of a VM that holds
// grants of all groups, and the adoption of a snapshot after a change of suspicions
// and after a new VM list.
func BenchmarkControl(b *testing.B) {
	for _, engines := range []int{10, 100, 1_000, 10_000} {
		m, loop := benchManager(engines)
		state := &control.State{}
		apply := func(change func()) {
			state.Now = state.Now.Add(tickInterval)
			m.apply(state, change)
		}
		b.Run(fmt.Sprintf("tick/engines=%d", engines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				apply(m.tick)
			}
		})
		for _, changed := range []string{"suspicion", "list"} {
			b.Run(fmt.Sprintf("%s/engines=%d", changed, engines), func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					loop.alternate(changed, i)
					apply(func() {})
				}
			})
		}
	}
}

// fixedLoop is a Loop whose snapshot a benchmark replaces.
type fixedLoop struct{ snap *control.Snapshot }

func (l *fixedLoop) Post(control.Message) bool                             { return true }
func (l *fixedLoop) Snapshot() *control.Snapshot                           { return l.snap }
func (l *fixedLoop) Every(context.Context, time.Duration, control.Message) {}
func (l *fixedLoop) alternate(changed string, i int) {
	next := *l.snap
	if changed == "list" {
		next.VMs = &vmlist.List{Revision: int64(i)}
	} else {
		// The last entry VM alternately becomes suspect and recovers.
		all := next.EntryVMs[:cap(next.EntryVMs)]
		next.EntryVMs = all[:len(all)-i%2]
	}
	l.snap = &next
}

// benchManager returns a manager among 100 entry VMs that holds 480 grants.
func benchManager(engines int) (*Manager, *fixedLoop) {
	snap := &control.Snapshot{VMs: &vmlist.List{}, Engines: map[string][]vmlist.VM{}, Backends: map[string]vmlist.VM{}}
	for i := range engines {
		vm := vmlist.VM{ID: fmt.Sprintf("engine-%d", i), State: vmlist.StateLive, Region: "r", Models: []string{testModel}}
		snap.Engines[testModel] = append(snap.Engines[testModel], vm)
		snap.Backends[vm.ID] = vm
	}
	snap.EntryVMs = make([]vmlist.VM, 100)
	for i := range snap.EntryVMs {
		snap.EntryVMs[i] = vmlist.VM{ID: fmt.Sprintf("vm-%d", i), Region: "r"}
	}
	loop := &fixedLoop{snap: snap}
	m := New(Options{
		VM: "vm-0", Region: "r", Loop: loop, Transport: &node{net: &network{dropRate: 2, rand: rand.New(rand.NewPCG(1, 2))}},
		Breaker: backend.NewBreaker(), Log: zap.NewNop(), GroupSize: 32,
		BypassAfter: time.Hour, NewPolicy: func() dispatch.Policy { return dispatch.NewFair(dispatch.FairOptions{}) },
	})
	m.apply(&control.State{}, func() {
		for i := range 480 {
			vm := snap.Engines[testModel][i%engines]
			t := &ticket{m: m, sequence: uint64(i), admissionRequest: dispatch.AdmissionRequest{Model: testModel}, target: backend.Target{ID: vm.ID}}
			m.frontend.held[t.sequence] = t
		}
		m.frontend.declarationDue = true
	})
	return m, loop
}
