package dispatch

import (
	"slices"
	"time"
)

// Parameters of the baseline policy.
const (
	// BaselineVMs is the number of VMs that decide alone.
	BaselineVMs = 20
	// BaselineStreamLimit is the fixed limit of streams of one engine, divided among the VMs.
	BaselineStreamLimit = 48
	// BaselineQueueLimit is the number of requests that wait at one VM before it rejects.
	BaselineQueueLimit = 1024
)

// BaselineOptions are the parameters of a Baseline.
type BaselineOptions struct {
	// VMs is the number of VMs that decide alone.
	VMs int
	// StreamLimit is the limit of streams of one engine. Each VM has an equal part of
	// it; the remainder of the division is spread so that VMs and engines differ
	// by at most one stream.
	StreamLimit int
	// QueueLimit is the number of requests that wait at one VM before it rejects.
	QueueLimit int
}

// Baseline is the policy that replays compare against: each VM decides alone,
// by least outstanding requests, within a fixed limit of streams per engine,
// first come first served and without priorities. Requests go to VMs in rotation.
type Baseline struct {
	opts     BaselineOptions
	vms      []baselineVM
	nextVM   int
	dirtyVMs []int
	grants   map[RequestID]baselineGrant
	waiting  map[RequestID]int
	backends []Backend
}

// baselineVM is the state of one VM. It knows nothing of the other VMs.
type baselineVM struct {
	queue []Request
	// outstanding and limit have one entry for each backend.
	outstanding map[string]int
	limit       map[string]int
}

type baselineGrant struct {
	vm      int
	backend string
}

// NewBaseline returns the policy with the default parameters.
func NewBaseline() *Baseline {
	return NewBaselineWith(BaselineOptions{VMs: BaselineVMs, StreamLimit: BaselineStreamLimit, QueueLimit: BaselineQueueLimit})
}

// NewBaselineWith returns the policy with the given parameters.
func NewBaselineWith(o BaselineOptions) *Baseline {
	b := &Baseline{opts: o, grants: map[RequestID]baselineGrant{}, waiting: map[RequestID]int{}}
	for range max(o.VMs, 1) {
		b.vms = append(b.vms, baselineVM{outstanding: map[string]int{}, limit: map[string]int{}})
	}
	return b
}

// SetShares implements Core. The baseline knows no entitlements.
func (b *Baseline) SetShares(time.Time, []TenantShare) {}

// SetBackends implements Core.
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

// engineLimit returns the engineLimit of the limit of engine e that VM v has.
func (b *Baseline) engineLimit(v, e int) int {
	n := len(b.vms)
	part, rest := b.opts.StreamLimit/n, b.opts.StreamLimit%n
	if (v+e*rest)%n < rest {
		part++
	}
	return part
}

// Submit implements Core.
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

// Withdraw implements Core.
func (b *Baseline) Withdraw(_ time.Time, id RequestID) {
	v, ok := b.waiting[id]
	if !ok {
		return
	}
	delete(b.waiting, id)
	b.vms[v].queue = slices.DeleteFunc(b.vms[v].queue, func(r Request) bool { return r.ID == id })
	b.markDirty(v)
}

// Progress implements Core. The baseline ignores it.
func (b *Baseline) Progress(time.Time, RequestID, int) {}

// Preempted implements Core. The baseline ignores it.
func (b *Baseline) Preempted(time.Time, RequestID) {}

// Failed implements Core. The baseline ignores it.
func (b *Baseline) Failed(time.Time, RequestID) {}

// Finish implements Core.
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

// Declare implements Core. Grants belong to the VM that gave them, so there is
// no other dispatcher whose grants could be declared.
func (b *Baseline) Declare(time.Time, HeldGrant) {}

// Load implements Core. The baseline knows only its own requests.
func (b *Baseline) Load(time.Time, string, LoadReport) {}

// CacheEvent implements Core. The baseline ignores prefix caches.
func (b *Baseline) CacheEvent(time.Time, string, CacheEvent) {}

// Next implements Core.
func (b *Baseline) Next(time.Time) []Grant {
	var grants []Grant
	for _, v := range b.dirtyVMs {
		grants = b.grantWaiting(v, grants)
	}
	b.dirtyVMs = b.dirtyVMs[:0]
	return grants
}

// markDirty marks a VM whose queue or room has changed.
func (b *Baseline) markDirty(v int) {
	if !slices.Contains(b.dirtyVMs, v) {
		b.dirtyVMs = append(b.dirtyVMs, v)
	}
}

// grantWaiting grants from the head of one VM's queue while there is room.
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

// leastOutstanding returns the engine with the least outstanding requests of this VM. Each
// VM starts its search at another engine, or all VMs would prefer the first.
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

// Waiting implements Core.
func (b *Baseline) Waiting() map[string]int {
	waiting := map[string]int{}
	for v := range b.vms {
		for _, r := range b.vms[v].queue {
			waiting[r.Organisation]++
		}
	}
	return waiting
}
