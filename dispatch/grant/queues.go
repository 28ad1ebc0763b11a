package grant

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/dispatch"
)

// Queues is a snapshot of the grant protocol's state on one VM.
type Queues struct {
	VM string `json:"vm"`
	// Groups lists the groups that this VM dispatches.
	Groups []GroupQueue `json:"groups"`
	// Waiting counts the requests of this VM at dispatchers, Parked those at none,
	// Held the grants in use and Bypassed those of them that were taken without a
	// dispatcher.
	Waiting  int `json:"waiting"`
	Parked   int `json:"parked"`
	Held     int `json:"held"`
	Bypassed int `json:"bypassed"`
	// Silent lists the dispatchers that do not respond.
	Silent []string `json:"silent,omitempty"`
	// OpenBreakers lists the engines that do not respond.
	OpenBreakers []string `json:"open_breakers,omitempty"`
	// Grants and the fields below are totals since the start of the process.
	// UnusableGrants were returned since their engine is leaving or does not respond,
	// PausedGrants since it has asked this VM for a pause.
	Grants     int64 `json:"grants_total"`
	Bypasses   int64 `json:"bypasses_total"`
	LateGrants int64 `json:"late_grants_total"`

	UnusableGrants int64 `json:"unusable_grants_total"`
	PausedGrants   int64 `json:"paused_grants_total"`
}

// GroupQueue is the state of one group of engines.
type GroupQueue struct {
	Group   string `json:"group"`
	Engines int    `json:"engines"`
	// Owned is false for a group that moved to another VM and whose state is still kept.
	Owned   bool `json:"owned"`
	Reduced bool `json:"reduced"`
	Granted int  `json:"granted"`
	Queued  int  `json:"queued"`
	// Waiting counts queued requests by organisation.
	Waiting map[string]int `json:"waiting,omitempty"`
	// Speeds lists the engines whose learned speed differs from the mean of the group.
	Speeds []dispatch.EngineSpeed `json:"speeds,omitempty"`
}

// Queues returns the current state. It returns an error only if ctx ends first.
func (m *Manager) Queues(ctx context.Context) (Queues, error) {
	done := make(chan Queues, 1)
	m.opts.Loop.Post(query{m, done})
	select {
	case q := <-done:
		return q, nil
	case <-ctx.Done():
		return Queues{}, errors.Wrap(ctx.Err(), "read queues")
	}
}

// engineSpeeds returns the engines whose learned speed differs from the mean, if the policy learns
// it.
func engineSpeeds(now time.Time, p dispatch.Policy) []dispatch.EngineSpeed {
	if r, ok := p.(dispatch.SpeedReporter); ok {
		return r.EngineSpeeds(now)
	}
	return nil
}

func (m *Manager) queues() Queues {
	f := m.frontend
	q := Queues{
		VM: m.opts.VM, Groups: []GroupQueue{}, Waiting: len(f.waiting), Parked: len(f.parked), Held: len(f.held),
		OpenBreakers: m.opts.Breaker.Open(), Grants: f.counters.Grants, Bypasses: f.counters.Bypasses,
		LateGrants: f.counters.LateGrants, UnusableGrants: f.counters.UnusableGrants, PausedGrants: f.counters.PausedGrants,
	}
	for _, t := range f.held {
		if t.local != nil {
			q.Bypassed++
		}
	}
	for vm, l := range f.links {
		if l.silent {
			q.Silent = append(q.Silent, vm)
		}
	}
	for name, c := range m.dispatcher.groupStates {
		q.Groups = append(q.Groups, GroupQueue{
			Group: name, Engines: len(c.group.engines), Owned: c.owned, Reduced: c.reduced,
			Granted: c.granted, Queued: c.queued, Waiting: c.policy.Waiting(), Speeds: engineSpeeds(m.now, c.policy),
		})
	}
	slices.Sort(q.Silent)
	slices.Sort(q.OpenBreakers)
	slices.SortFunc(q.Groups, func(a, b GroupQueue) int { return cmp.Compare(a.Group, b.Group) })
	return q
}
