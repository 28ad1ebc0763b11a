package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/admission"
	"github.com/vanillaarch/vanillaarch/flowcontrol"
)

const (
	// shareTolerance is the share ratio, relative to the mean, above which the reserve
	// begins to close to an organisation.
	shareTolerance = 1.05
	// reserveRamp is the distance above shareTolerance at which the reserve is fully
	// closed.
	reserveRamp = 0.5
	// maxMeanShareRatio caps the mean that an organisation is compared with. An
	// organisation that holds nearly all memory dominates the mean and would otherwise
	// never be above it.
	maxMeanShareRatio = 2.0
	// defaultAgingDelay is the default of FairOptions.AgingDelay. maxAgedStreams
	// limits the streams per engine that use a closed reserve.
	defaultAgingDelay = time.Second
	maxAgedStreams    = 1
	// minEntitlement is the lower bound of an entitlement, as a fraction of the pool.
	minEntitlement = 1e-6
	// shareReserve is the fraction of each engine's memory that is reserved for
	// organisations within their share, so that they find capacity while others flood
	// the pool. During a flood they waited 1 to 2 s at p99 with 0.10, and about 0.2 s
	// with 0.18.
	shareReserve = 0.18
)

// account is the accounting state of an entitled organisation.
type account struct {
	queueDelay flowcontrol.QueueDelay
	// slack is that of the requests with time limits.
	slack admission.Slack
	// entitlement is the organisation's fraction of the pool, heldTokens the memory of
	// its streams in tokens.
	entitlement, heldTokens float64
}

// setAccounts replaces the accounts and keeps the state of organisations that remain
// entitled.
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

// addHeldTokens changes the memory that an organisation's streams hold by a number of
// tokens, which may be negative.
func (f *fairPolicy) addHeldTokens(organisation string, tokens float64) {
	a := f.accounts[organisation]
	if a == nil {
		return
	}
	tokens = max(tokens, -a.heldTokens) // removed streams may predate a period without entitlement
	f.heldTokens += tokens
	f.concentration += (2*a.heldTokens + tokens) * tokens / a.entitlement
	a.heldTokens += tokens
	if len(f.streams) == 0 {
		f.heldTokens, f.concentration = 0, 0 // clears accumulated rounding errors
	}
}

// shareRatio returns an organisation's fraction of the memory in use, relative to its
// entitlement.
func (f *fairPolicy) shareRatio(organisation string) float64 {
	a := f.accounts[organisation]
	if a == nil || f.heldTokens <= 0 {
		return 0
	}
	return a.heldTokens / f.heldTokens / a.entitlement
}

// requiredReserve returns the fraction of each engine's memory that the organisation
// must leave free. It grows with the distance of the organisation's share ratio from
// the mean share ratio, weighted by held tokens. Comparing with the mean lets
// organisations use capacity that others leave idle, while during a flood only the
// flooding organisation is far above the mean.
func (f *fairPolicy) requiredReserve(organisation string) float64 {
	if f.heldTokens <= 0 {
		return 0
	}
	mean := f.concentration / f.heldTokens / f.heldTokens
	above := f.shareRatio(organisation)/min(max(1, mean), maxMeanShareRatio) - shareTolerance
	return shareReserve * min(max(above/reserveRamp, 0), 1)
}

// mayUseReserve reports whether a request to which the reserve is closed has waited
// long enough to use it anyway. Without this, an organisation slightly above its share
// would wait while memory is idle and no other organisation floods the pool.
func (f *fairPolicy) mayUseReserve(now time.Time, r *waitingRequest) bool {
	return now.Sub(r.submitted) >= f.opts.AgingDelay && f.requiredReserve(r.Organisation) > 0
}

// requiredReserveOn returns the fraction of an engine's memory that a request must
// leave free. The number of aged streams per engine is limited, so that a flood cannot
// take over the reserve by waiting.
func (f *fairPolicy) requiredReserveOn(now time.Time, r *waitingRequest, e *engine) float64 {
	if e.agedStreams < maxAgedStreams && f.mayUseReserve(now, r) {
		return 0
	}
	return f.requiredReserve(r.Organisation)
}
