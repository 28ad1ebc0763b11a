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

// Timing of the probes of engines whose breaker is open.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
)

// replacedServers records the servers whose address is now used by another server,
// with the incarnation of their entry in the VM list.
type replacedServers struct {
	mu           sync.Mutex
	incarnations map[string]int64
}

func (r *replacedServers) add(vm vmlist.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.incarnations == nil {
		r.incarnations = map[string]int64{}
	}
	r.incarnations[vm.ID] = vm.Incarnation
}

func (r *replacedServers) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.incarnations[id]
	return ok
}

// takeChanged removes and returns the servers whose entry has disappeared or has
// changed since they were added.
func (r *replacedServers) takeChanged(snap *control.Snapshot) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for id, incarnation := range r.incarnations {
		if vm, listed := snap.Backends[id]; !listed || vm.Incarnation != incarnation {
			delete(r.incarnations, id)
			out = append(out, id)
		}
	}
	return out
}

// recordUnreachable opens the breaker of an engine if the error shows that it
// can't be reached: it accepts no connection, or another server has its address.
func (g *Gateway) recordUnreachable(vm vmlist.VM, err error) {
	if _, notSent := errors.Into[*backend.NotSentError](err); notSent {
		g.Breaker.Trip(vm.ID)
	}
	if misdirected(err) {
		g.replaced.add(vm)
		g.Breaker.Trip(vm.ID)
		g.HTTPClient.CloseIdleTo(vm.Address)
		g.Log.Warn("server_replaced", zap.String("backend", vm.ID), zap.String("address", vm.Address))
	}
}

// misdirected reports whether the response came from another server than the
// addressed one.
func misdirected(err error) bool {
	refused, ok := errors.Into[*RefusedError](err)
	return ok && refused.OtherServer
}

// fromOtherServer reports whether a status shows that another server has the address of the
// one to which the request was sent (421 Misdirected Request). If the caller expects certain
// weights, the right server answers with that status as well.
func (c *call) fromOtherServer(status int) bool {
	return status == http.StatusMisdirectedRequest && !c.info.ExpectsWeights
}

// ProbeEngines probes engines with an open breaker and closes it once they
// respond. It returns when ctx ends.
func (g *Gateway) ProbeEngines(ctx context.Context) {
	for wait.Sleep(ctx, probeInterval) {
		snap := g.Snapshot()
		for _, id := range g.replaced.takeChanged(snap) {
			g.Breaker.RecordResponse(id)
		}
		for _, id := range g.Breaker.Open() {
			if vm, listed := snap.Backends[id]; listed && !g.replaced.has(id) && g.Servers.Check(vm) == nil && checkZone(snap, vm) == nil {
				g.probe(ctx, vm)
			}
		}
	}
}

func (g *Gateway) probe(ctx context.Context, vm vmlist.VM) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := g.Engines.Report(ctx, backend.TargetOf(vm)); err == nil {
		g.Log.Info("engine_responds", zap.String("backend", vm.ID))
		g.Breaker.RecordResponse(vm.ID)
	}
}
