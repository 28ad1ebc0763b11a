package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Times of the questions to engines that get no work since they did not respond.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
)

// replacedServers holds the servers whose address another server has taken,
// with the incarnation of the entry that named it.
type replacedServers struct {
	mu     sync.Mutex
	number map[string]int64
}

func (r *replacedServers) add(vm vmlist.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.number == nil {
		r.number = map[string]int64{}
	}
	r.number[vm.ID] = vm.Incarnation
}

func (r *replacedServers) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.number[id]
	return ok
}

// takeChanged returns the servers whose entry is gone or has changed since.
func (r *replacedServers) takeChanged(snap *control.Snapshot) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for id, incarnation := range r.number {
		if vm, listed := snap.Backends[id]; !listed || vm.Incarnation != incarnation {
			delete(r.number, id)
			out = append(out, id)
		}
	}
	return out
}

// unreachable notes an attempt that shows that an engine cannot be reached: it
// accepts no connection, or another server has its address.
func (g *Gateway) unreachable(vm vmlist.VM, err error) {
	if _, notSent := errors.Into[*backend.NotSentError](err); notSent {
		g.Breaker.Trip(vm.ID)
	}
	if misdirected(err) {
		g.replaced.add(vm)
		g.Breaker.Trip(vm.ID)
		g.Exchanges.CloseIdleTo(vm.Address)
		g.Log.Warn("server_replaced", zap.String("backend", vm.ID), zap.String("address", vm.Address))
	}
}

// misdirected reports whether another server than the named one has answered.
func misdirected(err error) bool {
	refused, ok := errors.Into[*RefusedError](err)
	return ok && refused.Status == http.StatusMisdirectedRequest
}

// ProbeEngines gives engines that did not respond work again once they do,
// until ctx ends.
func (g *Gateway) ProbeEngines(ctx context.Context) {
	for wait.Sleep(ctx, probeInterval) {
		snap := g.Snapshot()
		for _, id := range g.replaced.takeChanged(snap) {
			g.Breaker.RecordResponse(id)
		}
		for _, id := range g.Breaker.Open() {
			if vm, listed := snap.Backends[id]; listed && !g.replaced.has(id) {
				g.probe(ctx, vm)
			}
		}
	}
}

func (g *Gateway) probe(ctx context.Context, vm vmlist.VM) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := g.Engines.Report(ctx, backend.Target{ID: vm.ID, Address: vm.Address}); err == nil {
		g.Log.Info("engine_responds", zap.String("backend", vm.ID))
		g.Breaker.RecordResponse(vm.ID)
	}
}
