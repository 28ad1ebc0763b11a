package dispatch

import (
	"slices"
	"time"
)

// perEngine is the alternative of one queue for each engine: a request joins
// the queue of the engine with the least streams and waiting requests.
type perEngine struct {
	opts   FairOptions
	shares []TenantShare
	order  []string
	cores  map[string]*fair
	owner  map[RequestID]string
	asks   map[RequestID]Request
}

// NewFairPerEngine returns the fair policy with one queue for each engine.
func NewFairPerEngine(o FairOptions) Core {
	return &perEngine{opts: o, cores: map[string]*fair{}, owner: map[RequestID]string{}, asks: map[RequestID]Request{}}
}

func (p *perEngine) SetShares(now time.Time, shares []TenantShare) {
	p.shares = shares
	for _, c := range p.cores {
		c.SetShares(now, shares)
	}
}

func (p *perEngine) SetBackends(now time.Time, backends []Backend) {
	old := p.order
	p.order = nil
	for _, b := range backends {
		if p.cores[b.ID] == nil {
			p.cores[b.ID] = NewFair(p.opts).(*fair)
			p.cores[b.ID].SetShares(now, p.shares)
		}
		p.cores[b.ID].SetBackends(now, []Backend{b})
		p.order = append(p.order, b.ID)
	}
	for _, id := range old {
		if !slices.Contains(p.order, id) {
			p.cores[id].SetBackends(now, nil)
			p.move(now, id)
		}
	}
}

// move submits the waiting requests of an engine that is gone elsewhere.
func (p *perEngine) move(now time.Time, id string) {
	var moved []Request
	for request := range p.cores[id].waiting {
		moved = append(moved, p.asks[request])
	}
	slices.SortFunc(moved, func(a, b Request) int { return int(a.ID.Sequence) - int(b.ID.Sequence) })
	for _, r := range moved {
		p.Withdraw(now, r.ID)
		_ = p.Submit(now, r) // lost if all queues are full
	}
}

func (p *perEngine) Submit(now time.Time, r Request) error {
	best, load := "", 0
	for _, id := range p.order {
		n := len(p.cores[id].streams) + len(p.cores[id].waiting)
		if !slices.Contains(r.Excluded, id) && (best == "" || n < load) {
			best, load = id, n
		}
	}
	if best == "" {
		return &NoBackendError{Model: r.Model}
	}
	if err := p.cores[best].Submit(now, r); err != nil {
		return err
	}
	p.owner[r.ID], p.asks[r.ID] = best, r
	return nil
}

func (p *perEngine) Withdraw(now time.Time, id RequestID) {
	if c := p.cores[p.owner[id]]; c != nil {
		c.Withdraw(now, id)
		delete(p.owner, id)
		delete(p.asks, id)
	}
}

func (p *perEngine) Progress(now time.Time, id RequestID, tokens int) {
	if c := p.cores[p.owner[id]]; c != nil {
		c.Progress(now, id, tokens)
	}
}

func (p *perEngine) Preempted(now time.Time, id RequestID) {
	if c := p.cores[p.owner[id]]; c != nil {
		c.Preempted(now, id)
	}
}

func (p *perEngine) Finish(now time.Time, id RequestID, tokens int) {
	if c := p.cores[p.owner[id]]; c != nil {
		c.Finish(now, id, tokens)
		delete(p.owner, id)
		delete(p.asks, id)
	}
}

func (p *perEngine) Declare(now time.Time, h Held) {
	if c := p.cores[h.Backend]; c != nil {
		c.Declare(now, h)
		p.owner[h.Request] = h.Backend
	}
}

func (p *perEngine) Load(now time.Time, backend string, r LoadReport) {
	if c := p.cores[backend]; c != nil {
		c.Load(now, backend, r)
	}
}

func (p *perEngine) CacheEvent(now time.Time, backend string, e CacheEvent) {
	if c := p.cores[backend]; c != nil {
		c.CacheEvent(now, backend, e)
	}
}

func (p *perEngine) Next(now time.Time) []Grant {
	var grants []Grant
	for _, id := range p.order {
		grants = append(grants, p.cores[id].Next(now)...)
	}
	return grants
}

func (p *perEngine) Waiting() map[string]int {
	waiting := map[string]int{}
	for _, id := range p.order {
		for organisation, n := range p.cores[id].Waiting() {
			waiting[organisation] += n
		}
	}
	return waiting
}
