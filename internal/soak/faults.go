package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// fault is one scheduled fault.
type fault struct {
	at       time.Duration
	duration time.Duration
	name     string
	apply    func(h *harness, r *rand.Rand, duration time.Duration)
	// seed determines the target and variant, chosen from what exists when the
	// fault begins.
	seed uint64
}

// Parameters of the schedule and its faults.
const (
	// repeatProbability is the probability that a fault is repeated before it has
	// ended.
	repeatProbability                  = 0.2
	minFaultDuration, maxFaultDuration = 300 * time.Millisecond, 3500 * time.Millisecond
	maxVMPause                         = 2500 * time.Millisecond
	drainNotice                        = 2 * time.Second
	stopTimeout                        = (graceSeconds + 1) * time.Second
	rotationBurst                      = 6
	rotationBurstInterval              = 150 * time.Millisecond
	minServersPerService               = 2
)

// meanFaultIntervals are mean times between the starts of two faults; each seed
// uses one of them. Long intervals leave the fault-free periods that invariants
// with a time bound need; short ones make faults overlap.
var meanFaultIntervals = []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 3 * time.Second}

// faultKinds are chosen with equal probability. Kinds that appear twice are twice
// as likely.
var faultKinds = []fault{
	{name: "vm killed", apply: (*harness).killVM},
	{name: "vm stopped", apply: (*harness).stopVM},
	{name: "vm stopped", apply: (*harness).stopVM},
	{name: "vm paused", apply: (*harness).pauseVM},
	{name: "settings changed", apply: (*harness).changeSettings},
	{name: "store link of a vm", apply: (*harness).faultStoreLink},
	{name: "store", apply: (*harness).faultStore},
	{name: "store history dropped", apply: (*harness).compactStore},
	{name: "watch responses dropped", apply: (*harness).dropWatchResponses},
	{name: "server link", apply: (*harness).faultServerLink},
	{name: "server misbehaves", apply: (*harness).faultServer},
	{name: "server leaves", apply: (*harness).retireWithNotice},
	{name: "server leaves", apply: (*harness).retireWithNotice},
	{name: "server leaves without notice", apply: (*harness).retireWithoutNotice},
	{name: "server crashes", apply: (*harness).crashServer},
	{name: "prompts crash engines", apply: (*harness).crashByPrompt},
	{name: "key replaced", apply: (*harness).replaceKey},
	{name: "keys replaced repeatedly", apply: (*harness).replaceKeys},
	{name: "engines process prompts slowly", apply: (*harness).slowPrompts},
	{name: "engines lost at once", apply: (*harness).loseEngines},
	{name: "refusals written again", apply: (*harness).repeatRefusals},
	{name: "server announces its departure", apply: (*harness).announceDeparture},
	{name: "servers announce their departure", apply: (*harness).announceDepartures},
	{name: "server asks for a pause", apply: (*harness).askForPause},
	{name: "servers ask for a pause", apply: (*harness).askForPauses},
	{name: "server names a limit", apply: (*harness).nameLimit},
	{name: "servers name a limit", apply: (*harness).nameLimits},
}

// UnknownFaultError reports a kind of fault that does not exist.
type UnknownFaultError struct{ Name string }

func (e *UnknownFaultError) Error() string { return fmt.Sprintf("there is no fault %q", e.Name) }

// allowedKinds returns the kinds with the given names, all if there are none.
func allowedKinds(names []string) ([]fault, error) {
	all := append(slices.Clone(faultKinds), storeReturns, requestCrashes, zoneEvacuations, speedChanges, releases, killsOfAll)
	if len(names) == 0 {
		return all, nil
	}
	var out []fault
	for _, name := range names {
		n := len(out)
		for _, f := range all {
			if f.name == name {
				out = append(out, f)
			}
		}
		if len(out) == n {
			return nil, &UnknownFaultError{Name: name}
		}
	}
	return out, nil
}

// schedule returns the faults of a seed in order of time.
func schedule(seed uint64, length time.Duration, kinds []fault) []fault {
	out := append(returns(seed, length, kinds), requestFaultsOf(seed, length, kinds)...)
	out = append(out, evacuationsOf(seed, length, kinds)...)
	out = append(out, speedFaultsOf(seed, length, kinds)...)
	out = append(out, releasesOf(seed, length, kinds)...)
	out = append(out, killsOfAllOf(seed, length, kinds)...)
	kinds = slices.DeleteFunc(slices.Clone(kinds), drawnApart)
	if len(kinds) == 0 {
		slices.SortStableFunc(out, byTime)
		return out
	}
	r := rand.New(rand.NewPCG(seed, 1))
	gap := meanFaultIntervals[r.IntN(len(meanFaultIntervals))]
	for at := time.Duration(0); at < length; at += time.Duration(r.ExpFloat64() * float64(gap)) {
		f := kinds[r.IntN(len(kinds))]
		f.at, f.seed = at, r.Uint64()
		f.duration = minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration)))
		out = append(out, f)
		if r.Float64() < repeatProbability {
			again := f
			again.at, again.seed = at+f.duration/2, r.Uint64()
			out = append(out, again)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}

func byTime(a, b fault) int { return cmp.Compare(a.at, b.at) }

// drawnApart reports whether the times of a fault are drawn from a source of their own.
func drawnApart(f fault) bool {
	apart := []string{storeReturns.name, requestCrashes.name, zoneEvacuations.name, speedChanges.name, releases.name, killsOfAll.name}
	return slices.Contains(apart, f.name)
}

// hasKind reports whether a fault is among those that are allowed.
func hasKind(kinds []fault, f fault) bool {
	return slices.ContainsFunc(kinds, func(k fault) bool { return k.name == f.name })
}

// returns draws the returns of the store of a seed, in order of time.
func returns(seed uint64, length time.Duration, kinds []fault) []fault {
	var out []fault
	if !hasKind(kinds, storeReturns) {
		return out
	}
	r := rand.New(rand.NewPCG(seed, 2))
	for range r.IntN(maxReturns + 1) {
		out = append(out, storeReturns.draw(r, length, minFaultDuration, maxFaultDuration))
	}
	slices.SortStableFunc(out, byTime)
	return out
}

// draw returns the fault with its time within length, its seed and its duration, drawn in this order.
func (f fault) draw(r *rand.Rand, length, minDuration, maxDuration time.Duration) fault {
	f.at, f.seed, f.duration = time.Duration(r.Int64N(int64(length))), r.Uint64(), uniform(r, minDuration, maxDuration)
	return f
}

// injectFaults applies the schedule and waits until all faults have ended.
func (h *harness) injectFaults(ctx context.Context) {
	start := time.Now()
	var running sync.WaitGroup
	defer running.Wait()
	for _, f := range schedule(h.opts.Seed, h.opts.Duration-maxFaultDuration, h.kinds) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(f.at))):
		}
		h.recordFault("%s for %v", f.name, f.duration.Round(time.Millisecond))
		running.Go(func() { f.apply(h, rand.New(rand.NewPCG(f.seed, 0)), f.duration) })
	}
}

func (h *harness) recordFault(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := time.Since(h.started).Seconds()
	h.appliedFaults = append(h.appliedFaults, fmt.Sprintf("%7.3f s  ", at)+fmt.Sprintf(format, args...))
}
