// Package quarantine finds the parts of prompts that crash engines and refuses the
// requests that hold them.
//
// An engine that crashes takes all its runs with it, and a single VM sees only some of
// them. VMs therefore tell each other which runs failed before they had written
// anything (failures), and which parts were in runs that wrote (successes). A rule
// quarantines a part after several crashes without a success. When it expires, a single
// request probes it, so that a wrong rule ends and a right one costs one crash.
//
// Node holds the decisions of one VM and is deterministic. Manager connects it to the
// control loop, the peers and the request path.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of what a VM keeps and sends.
const (
	// MaxParts bounds the parts of a prompt that failures and successes name, since callers
	// choose how many there are. Of a longer prompt, all VMs use those with the lowest ids.
	MaxParts = 128
	// maxFailures bounds the failures that a VM keeps.
	maxFailures = 256
	// maxSeenFailures bounds the failures that a VM recognises as known.
	maxSeenFailures = 2048
	// maxSuccesses bounds the parts whose last success a VM remembers.
	maxSuccesses = 8192
	// maxRules bounds the rules in force.
	maxRules = 64
	// maxMessageItems bounds the failures, the successes and the rules that are taken
	// from one message.
	maxMessageItems = 512
)

// Parameters of rules.
const (
	// minCrashes is the number of crashes after which a part is quarantined that has never
	// succeeded, minCrashesAfterSuccess that for other parts.
	minCrashes             = 3
	minCrashesAfterSuccess = 5
	// minRuns is the number of different runs that must have failed: the parts of a
	// single unlucky run are not at fault.
	minRuns = 2
	// minEngines is the number of different engines that must have crashed: an engine
	// that resets its runs is at fault itself.
	minEngines = 2
	// suspectCrashes is the number of crashes after which a failed run is not repeated.
	suspectCrashes = 2
	// crashInterval separates crashes that count as different ones. Engines that share a
	// zone or a network fail together, and many innocent runs with them.
	crashInterval = 250 * time.Millisecond
	// settleDelay is the time between the last required crash and the rule, in which
	// successes on other VMs become known.
	settleDelay = 250 * time.Millisecond
	// announceInterval is the minimum time between two announcements of successes of the
	// same part.
	announceInterval = time.Second
	// evidenceLifetime is how long failures and successes are taken into account.
	evidenceLifetime = 10 * time.Minute
	// initialDuration is the time from a rule to its first probe. Each failed probe
	// multiplies it by durationFactor, up to maxDuration, since a probe costs an engine.
	initialDuration = time.Minute
	durationFactor  = 4
	maxDuration     = time.Hour
	// probeRound is how long one VM may start the probe of an expired rule before another
	// VM may.
	probeRound = 10 * time.Second
	// ruleRetention is how long an expired rule is kept while no probe decides it.
	ruleRetention = 10 * time.Minute
)

// PartID identifies a part of prompts for the engines of one pool.
type PartID uint64

// Failure is a run whose engine broke the connection before the run had written.
type Failure struct {
	Run uint32
	// Engine identifies one lifetime of an engine.
	Engine uint32
	// At is the time of the failure, on the clock of the VM that holds it.
	At time.Duration
	// Parts are the parts of the prompt that did not succeed in another run meanwhile.
	Parts []PartID
}

// Success states that a run with a part wrote and did not crash its engine.
type Success struct {
	Part PartID
	At   time.Duration
}

// Rule quarantines the requests that hold all of its parts. It has several parts if
// all failed runs held all of them, so that nothing tells the parts apart.
type Rule struct {
	// Parts are in ascending order.
	Parts []PartID
	// Since is the time of the first crash that led to the rule, Until the time from
	// which a probe is allowed.
	Since, Until time.Duration
	// Activations is 1 plus the number of failed probes.
	Activations int
}

// key identifies the parts of a rule.
func (r Rule) key() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range r.Parts {
		_, _ = d.Write(appendPart(nil, part))
	}
	return d.Sum64()
}

func appendPart(b []byte, part PartID) []byte {
	for shift := 0; shift < 64; shift += 8 {
		b = append(b, byte(part>>shift))
	}
	return b
}

// matches reports whether a prompt holds all parts of the rule. Both lists are in
// ascending order.
func (r Rule) matches(parts []PartID) bool {
	for _, part := range r.Parts {
		if _, found := slices.BinarySearch(parts, part); !found {
			return false
		}
	}
	return true
}

// supersedes reports whether a rule replaces another one on the same parts.
func (r Rule) supersedes(other Rule) bool {
	if r.Activations != other.Activations {
		return r.Activations > other.Activations
	}
	return r.Until > other.Until+untilTolerance
}

// untilTolerance is the difference between the ends of a rule on two VMs that is ignored.
const untilTolerance = 2 * time.Second

// quarantineDuration returns the time from an activation of a rule to its probe.
func quarantineDuration(activations int) time.Duration {
	d := initialDuration
	for i := 1; i < activations && d < maxDuration; i++ {
		d *= durationFactor
	}
	return min(d, maxDuration)
}

// Message carries items between VMs. All times are on the clock of the VM that holds it.
type Message struct {
	Failures  []Failure
	Successes []Success
	Rules     []Rule
}

// Empty reports whether the message has no items.
func (m Message) Empty() bool { return len(m.Failures)+len(m.Successes)+len(m.Rules) == 0 }
