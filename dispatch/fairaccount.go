package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/flowcontrol"
)

const (
	// shareTolerance is how far above its share and the mean an organisation may
	// be before the reserve is closed to it.
	shareTolerance = 1.05
	// reserveRamp is the distance above the tolerance at which all of the reserve is closed.
	reserveRamp = 0.5
	// maxMeanShareRatio bounds the mean that an organisation is compared to, since one that
	// holds nearly all memory is the mean itself.
	maxMeanShareRatio = 2.0
	// defaultAgingDelay is the default of FairOptions.AgedWait, and maxAged bounds
	// the streams of one engine that use a closed reserve.
	defaultAgingDelay = time.Second
	maxAgedStreams    = 1
	// minEntitlement is the least part of the pool that an entitlement counts as.
	minEntitlement = 1e-6
	// shareReserve is the part of each engine's memory that only organisations
	// within their share may use, so that they find room during a flood of others. With
	// 0.10 they waited 1 to 2 s at p99 during a flood, with 0.18 about 0.2 s.
	shareReserve = 0.18
)

// account is what the core keeps of an entitled organisation.
type account struct {
	queueDelay flowcontrol.QueueDelay
	// entitlement is its part of the pool, heldTokens the memory of its streams in tokens.
	entitlement, heldTokens float64
}

// setAccounts replaces the accounts, keeping those of organisations that stay.
func (f *fairPolicy) setAccounts(shares []TenantShare) {
	old := f.accounts
	f.accounts = make(map[string]*account, len(old))
	f.heldTokens, f.concentration = 0, 0
	var total float64
	for _, s := range shares {
		total += s.Share
	}
	for _, s := range shares {
		var weights float64
		for _, name := range sortedNames(s.Organisations) {
			weights += s.Organisations[name]
		}
		for _, name := range sortedNames(s.Organisations) {
			a := old[name]
			if a == nil {
				a = &account{}
			}
			a.entitlement = max(s.Share/total*s.Organisations[name]/weights, minEntitlement)
			f.accounts[name] = a
			f.heldTokens += a.heldTokens
			f.concentration += a.heldTokens * a.heldTokens / a.entitlement
		}
	}
}

func sortedNames(weights map[string]float64) []string {
	return slices.Sorted(maps.Keys(weights))
}

// addHeldTokens changes the memory that an organisation's streams addHeldTokens.
func (f *fairPolicy) addHeldTokens(organisation string, tokens float64) {
	a := f.accounts[organisation]
	if a == nil {
		return
	}
	tokens = max(tokens, -a.heldTokens) // streams from before a time without entitlement
	f.heldTokens += tokens
	f.concentration += (2*a.heldTokens + tokens) * tokens / a.entitlement
	a.heldTokens += tokens
	if len(f.streams) == 0 {
		f.heldTokens, f.concentration = 0, 0 // removes rounding residue
	}
}

// shareRatio returns an organisation's part of the memory that is held, relative
// to its entitlement.
func (f *fairPolicy) shareRatio(organisation string) float64 {
	a := f.accounts[organisation]
	if a == nil || f.heldTokens <= 0 {
		return 0
	}
	return a.heldTokens / f.heldTokens / a.entitlement
}

// requiredReserve returns the part of each engine's memory that the organisation must
// leave free. It grows with the distance above the organisation's share and above
// the mean over all held tokens: what some leave unused is there for the others,
// and during a flood only the flooding organisation is far above the mean.
func (f *fairPolicy) requiredReserve(organisation string) float64 {
	if f.heldTokens <= 0 {
		return 0
	}
	mean := f.concentration / f.heldTokens / f.heldTokens
	above := f.shareRatio(organisation)/min(max(1, mean), maxMeanShareRatio) - shareTolerance
	return shareReserve * min(max(above/reserveRamp, 0), 1)
}

// mayUseReserve reports whether a request to which the reserve is closed has waited for
// long enough to use it. Otherwise an organisation slightly above its share
// would wait while memory lies idle, without a flood.
func (f *fairPolicy) mayUseReserve(now time.Time, r *waitingRequest) bool {
	return now.Sub(r.submitted) >= f.opts.AgingDelay && f.requiredReserve(r.Organisation) > 0
}

// requiredReserveOn returns the part of an engine's memory that a request must leave
// free. The number of aged streams of an engine is bounded, so that a flood
// does not take the reserve by waiting.
func (f *fairPolicy) requiredReserveOn(now time.Time, r *waitingRequest, e *engine) float64 {
	if e.agedStreams < maxAgedStreams && f.mayUseReserve(now, r) {
		return 0
	}
	return f.requiredReserve(r.Organisation)
}
