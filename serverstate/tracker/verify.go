package tracker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Timing of the questions to servers whose start may have said that it leaves.
const (
	// verifyCheckInterval is the interval between looks for such servers.
	verifyCheckInterval = 100 * time.Millisecond
	// verifySpreadPerVM spreads the first questions of all VMs, which learn of a new start
	// at the same time: a server that has just started is slow.
	verifySpreadPerVM = 3 * time.Millisecond
	// verifyRetryInterval is the time from a question to the next one.
	verifyRetryInterval = time.Second
	verifyTimeout       = 800 * time.Millisecond
	// maxVerifications bounds the concurrent questions.
	maxVerifications = 16
)

// AskFunc asks a server for its state and returns what it announces. It returns an error
// unless the start that is listed, or a later one of the same server, answered.
type AskFunc func(ctx context.Context, server vmlist.VM) (backend.ServerNotice, error)

// verifier asks listed servers of which it is not known whether their start has said that
// it leaves.
type verifier struct {
	mu sync.Mutex
	// due holds when each of them is asked next.
	due     map[serverstate.Server]time.Duration
	running int
}

// unverified returns the listed servers that must be asked before they are used. Those of evacuated
// zones are asked when the evacuation has ended.
func (t *Tracker) unverified(now time.Duration) []vmlist.VM {
	ids := t.table.Disputed()
	if len(ids) == 0 {
		return nil
	}
	var servers []vmlist.VM
	backends := t.opts.Loop.Snapshot().Backends
	for _, id := range ids {
		vm, listed := backends[id]
		if listed && vm.State != vmlist.StateEvacuated && isUnverified(t.table.Check(now, ServerOf(vm))) {
			servers = append(servers, vm)
		}
	}
	return servers
}

// verify asks the servers that are due. It returns without waiting for their answers.
func (t *Tracker) verify(ctx context.Context) {
	now := boottime.Now()
	servers := t.unverified(now)
	t.verifier.mu.Lock()
	defer t.verifier.mu.Unlock()
	due := make(map[serverstate.Server]time.Duration, len(servers))
	for _, vm := range servers {
		s := ServerOf(vm)
		t.pauses.add(s, now+pauseRetention)
		at, known := t.verifier.due[s]
		if !known {
			at = now + t.verifyDelay()
			t.opts.Log.Info("server_unverified", zap.String("backend", s.ID), zap.Int64("incarnation", s.Incarnation))
		}
		if now >= at && t.verifier.running < maxVerifications {
			at = now + verifyRetryInterval
			t.verifier.running++
			go t.ask(ctx, vm)
		}
		due[s] = at
	}
	t.verifier.due = due
}

// verifyDelay returns the time after which this VM asks a server first.
func (t *Tracker) verifyDelay() time.Duration {
	vms := len(t.opts.Loop.Snapshot().EntryVMs)
	return rand.N(max(time.Duration(vms)*verifySpreadPerVM, 1))
}

// ask asks a server and records the answer.
func (t *Tracker) ask(ctx context.Context, vm vmlist.VM) {
	defer func() {
		t.verifier.mu.Lock()
		defer t.verifier.mu.Unlock()
		t.verifier.running--
	}()
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	t.counters.verifications.Inc(1)
	asked := boottime.Now()
	notice, err := t.opts.Ask(ctx, vm)
	s := ServerOf(vm)
	if err != nil {
		t.opts.Log.Debug("server_not_verified", zap.String("backend", s.ID), zap.Int64("incarnation", s.Incarnation), telemetry.Error(err))
		return
	}
	t.Observe(Answer{Server: s, Call: "verification", Notice: notice, Slots: vm.Slots})
	if !notice.Leaving && t.table.Verify(s, asked) {
		t.opts.Log.Info("server_verified", zap.String("backend", s.ID), zap.Int64("incarnation", s.Incarnation),
			zap.Duration("elapsed", boottime.Now()-asked))
	}
}
