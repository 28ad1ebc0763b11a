package dispatch

import (
	"slices"
	"time"
)

// Default parameters of the baseline policy.
const (
	// BaselineVMs is the number of VMs that admit requests independently.
	BaselineVMs = 20
	// BaselineStreamLimit is the fixed number of concurrent streams per engine,
	// divided among the VMs.
	BaselineStreamLimit = 48
	// BaselineQueueLimit is the number of requests that may wait on one VM before it
	// rejects more.
	BaselineQueueLimit = 1024
)

// BaselineOptions configures a Baseline.
type BaselineOptions struct {
	// VMs is the number of VMs that admit requests independently.
	VMs int
	// StreamLimit is the number of concurrent streams per engine. Each VM gets an
	// equal part of it; the remainder of the division is distributed so that the parts
	// of VMs and engines differ by at most one stream.
	StreamLimit int
	// QueueLimit is the number of requests that may wait on one VM before it rejects
	// more.
	QueueLimit int
}

// Baseline is the reference policy that replays compare against. Each VM decides
// independently: it sends a request to the engine with the fewest outstanding
// requests, within a fixed stream limit per engine, first come, first served and
// without priorities. Requests are assigned to VMs round robin.
type Baseline struct {
	opts     BaselineOptions
	vms      []baselineVM
	nextVM   int
	dirtyVMs []int
	grants   map[RequestID]baselineGrant
	waiting  map[RequestID]int
	backends []Backend
}

// baselineVM is the state of one VM. It has no information about other VMs.
type baselineVM struct {
	queue []Request
	// outstanding and limit are keyed by backend ID.
	outstanding map[string]int
	limit       map[string]int
}

type baselineGrant struct {
	vm      int
	backend string
}

// NewBaseline returns a Baseline with the default parameters.
func NewBaseline() *Baseline {
	return NewBaselineWith(BaselineOptions{VMs: BaselineVMs, StreamLimit: BaselineStreamLimit, QueueLimit: BaselineQueueLimit})
}

// NewBaselineWith returns a Baseline with the given parameters.
func NewBaselineWith(o BaselineOptions) *Baseline {
	b := &Baseline{opts: o, grants: map[RequestID]baselineGrant{}, waiting: map[RequestID]int{}}
	for range max(o.VMs, 1) {
		b.vms = append(b.vms, baselineVM{outstanding: map[string]int{}, limit: map[string]int{}})
	}
	return b
}

// SetShares implements Policy. The baseline ignores entitlements.
func (b *Baseline) SetShares(time.Time, []TenantShare) {}

// SetBackends implements Policy.
func (b *Baseline) SetBackends(_ time.Time, backends []Backend) {
	b.backends = slices.Clone(backends)
	for v := range b.vms {
		clear(b.vms[v].limit)
		for e, backend := range backends {
			b.vms[v].limit[backend.ID] = b.engineLimit(v, e)
		}
		b.markDirty(v)
	}
}

// engineLimit returns the part of engine e's stream limit that VM v may use.
func (b *Baseline) engineLimit(v, e int) int {
	n := len(b.vms)
	limit, rest := b.opts.StreamLimit/n, b.opts.StreamLimit%n
	if (v+e*rest)%n < rest {
		limit++
	}
	return limit
}

// Submit implements Policy.
func (b *Baseline) Submit(_ time.Time, r Request) error {
	if !b.hasUsableEngine(r.Excluded) {
		return &NoBackendError{Model: r.Model}
	}
	v := b.nextVM
	b.nextVM = (b.nextVM + 1) % len(b.vms)
	if len(b.vms[v].queue) >= b.opts.QueueLimit {
		return &QueueFullError{Organisation: r.Organisation}
	}
	b.vms[v].queue = append(b.vms[v].queue, r)
	b.waiting[r.ID] = v
	b.markDirty(v)
	return nil
}

func (b *Baseline) hasUsableEngine(excluded []string) bool {
	return slices.ContainsFunc(b.backends, func(e Backend) bool { return !slices.Contains(excluded, e.ID) })
}

// Withdraw implements Policy.
func (b *Baseline) Withdraw(_ time.Time, id RequestID) {
	v, ok := b.waiting[id]
	if !ok {
		return
	}
	delete(b.waiting, id)
	b.vms[v].queue = slices.DeleteFunc(b.vms[v].queue, func(r Request) bool { return r.ID == id })
	b.markDirty(v)
}

// Progress implements Policy. The baseline ignores it.
func (b *Baseline) Progress(time.Time, RequestID, int) {}

// Preempted implements Policy. The baseline ignores it.
func (b *Baseline) Preempted(time.Time, RequestID) {}

// Failed implements Policy. The baseline ignores it.
func (b *Baseline) Failed(time.Time, RequestID) {}

// Finish implements Policy.
func (b *Baseline) Finish(_ time.Time, id RequestID, _ int) {
	g, ok := b.grants[id]
	if !ok {
		return
	}
	delete(b.grants, id)
	vm := &b.vms[g.vm]
	if vm.outstanding[g.backend]--; vm.outstanding[g.backend] <= 0 {
		delete(vm.outstanding, g.backend)
	}
	b.markDirty(g.vm)
}

// Declare implements Policy. Grants belong to the VM that issued them, so no other
// dispatcher has grants to declare.
func (b *Baseline) Declare(time.Time, HeldGrant) {}

// Load implements Policy. The baseline counts only its own requests.
func (b *Baseline) Load(time.Time, string, LoadReport) {}

// CacheEvent implements Policy. The baseline ignores prefix caches.
func (b *Baseline) CacheEvent(time.Time, string, CacheEvent) {}

// Next implements Policy.
func (b *Baseline) Next(time.Time) []Grant {
	var grants []Grant
	for _, v := range b.dirtyVMs {
		grants = b.grantWaiting(v, grants)
	}
	b.dirtyVMs = b.dirtyVMs[:0]
	return grants
}

// markDirty marks a VM whose queue or free capacity has changed, so that Next serves
// its queue.
func (b *Baseline) markDirty(v int) {
	if !slices.Contains(b.dirtyVMs, v) {
		b.dirtyVMs = append(b.dirtyVMs, v)
	}
}

// grantWaiting grants requests from the head of one VM's queue until no engine has
// capacity for the next one.
func (b *Baseline) grantWaiting(v int, grants []Grant) []Grant {
	vm := &b.vms[v]
	for len(vm.queue) > 0 {
		r := vm.queue[0]
		backend, ok := b.leastOutstanding(v, r.Excluded)
		if !ok {
			break
		}
		vm.queue = vm.queue[1:]
		delete(b.waiting, r.ID)
		vm.outstanding[backend]++
		b.grants[r.ID] = baselineGrant{vm: v, backend: backend}
		grants = append(grants, Grant{Request: r.ID, Backend: backend})
	}
	return grants
}

// leastOutstanding returns the engine with the fewest outstanding requests of VM v.
// Each VM starts its search at a different engine; otherwise all VMs would prefer the
// first one.
func (b *Baseline) leastOutstanding(v int, excluded []string) (string, bool) {
	vm := &b.vms[v]
	best, found := "", false
	for i := range b.backends {
		id := b.backends[(i+v)%len(b.backends)].ID
		n := vm.outstanding[id]
		if n >= vm.limit[id] || slices.Contains(excluded, id) {
			continue
		}
		if !found || n < vm.outstanding[best] {
			best, found = id, true
		}
	}
	return best, found
}

// Waiting implements Policy.
func (b *Baseline) Waiting() map[string]int {
	waiting := map[string]int{}
	for v := range b.vms {
		for _, r := range b.vms[v].queue {
			waiting[r.Organisation]++
		}
	}
	return waiting
}
