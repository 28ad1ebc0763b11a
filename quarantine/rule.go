package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rule quarantines the requests that have all of its keys. It has those of several parts if
// all failed runs held all of them, so that nothing tells the parts apart. A rule on a
// whole request has only the key of this.
type Rule struct {
	// Keys are in ascending order.
	Keys []Key
	// Since is the time of the first crash that led to the rule, Until the time from
	// which a probe is allowed.
	Since, Until time.Duration
	// Activations is 1 plus the number of failed probes, 0 if a whole request is only
	// suspected.
	Activations int
	// Organisation is that of all failures that led to the rule, 0 if there are several.
	Organisation uint32
	// Version increases with each change.
	Version int
	// Spent is the number of probes of a whole request that count against maxProbes.
	Spent int
	// Started is the start of the last probe, 0 if there was none or the rule is on parts and
	// the probe has a result. Pending is set while the probe has none.
	Started time.Duration
	Pending bool
	// Used is the time of the last refusal or change.
	Used time.Duration
}

// id identifies the keys of a rule.
func (r Rule) id() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, key := range r.Keys {
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(key)))
	}
	return d.Sum64()
}

// matches reports whether a request has all keys of the rule. Both lists are in ascending
// order.
func (r Rule) matches(keys []Key) bool {
	for _, key := range r.Keys {
		if _, found := slices.BinarySearch(keys, key); !found {
			return false
		}
	}
	return true
}

// onRequest reports whether the rule names a whole request.
func (r Rule) onRequest() bool { return len(r.Keys) == 1 && r.Keys[0].IsWhole() }

// suspects reports whether the rule names a whole request that is not yet quarantined.
func (r Rule) suspects() bool { return r.onRequest() && r.Activations == 0 }

// supersedes reports whether a rule replaces another one with the same keys.
func (r Rule) supersedes(other Rule) bool {
	if r.Activations != other.Activations {
		return r.Activations > other.Activations
	}
	if r.Version != other.Version {
		return r.Version > other.Version
	}
	return r.Until > other.Until+untilTolerance
}

// untilTolerance is the difference between the ends of a rule on two VMs that is ignored.
const untilTolerance = 2 * time.Second

// expiresAt returns the time at which the rule is dropped unless it is used before.
func (r Rule) expiresAt() time.Duration {
	if r.onRequest() {
		return r.Used + requestLifetime
	}
	return r.Until + ruleRetention
}

// hasProbe reports whether the rule will still be probed. The probes of a whole request
// are bounded for good, since each may cost a server.
func (r Rule) hasProbe() bool { return !r.onRequest() || r.Spent < maxProbes }

// probeStarted returns the rule after the start of a probe.
func (r Rule) probeStarted(now time.Duration) Rule {
	r.Version++
	r.Started, r.Used, r.Pending = now, now, true
	switch {
	case !r.onRequest():
		r.Until = now + probeRound
	case r.suspects():
		r.Until = now + suspectProbeInterval(r.Version)
	default:
		r.Spent++
		r.Until = now + maxDuration
	}
	return r
}

// probeFailed returns the rule after a crash of a server since the start of a probe. Two VMs
// may start a probe at once, so that each crash of a whole request counts, those of a
// quarantined one less the first, which counted at the start.
func (r Rule) probeFailed(now time.Duration) Rule {
	counted := r.Pending && !r.suspects()
	r.Version++
	r.Used, r.Pending = now, false
	if !r.onRequest() {
		r.Activations++
		r.Started = 0
		r.Until = now + quarantineDuration(r.Activations)
		return r
	}
	if !counted {
		r.Spent++
	}
	if r.suspects() {
		r.Until = now + minProbeInterval
		return r
	}
	r.Activations++
	r.Until = now + maxDuration
	return r
}

// quarantined returns the rule on a suspected request that crashes servers for certain.
func (r Rule) quarantined(now time.Duration) Rule {
	r.Version++
	r.Activations = 1
	r.Spent = max(r.Spent, 1)
	r.Pending = false
	r.Until = now + initialDuration
	return r
}

// quarantineDuration returns the time from an activation of a rule on parts to its probe.
func quarantineDuration(activations int) time.Duration {
	d := initialDuration
	for i := 1; i < activations && d < maxDuration; i++ {
		d *= durationFactor
	}
	return min(d, maxDuration)
}

// suspectProbeInterval returns the time from a probe of a suspected request, after which the
// rule has a version, to the next one.
func suspectProbeInterval(version int) time.Duration {
	d := minProbeInterval
	for i := 1; i < version && d < maxProbeInterval; i++ {
		d *= 2
	}
	return min(d, maxProbeInterval)
}
