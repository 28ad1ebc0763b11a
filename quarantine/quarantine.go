// Package quarantine finds the requests, and the parts of prompts, that crash backend
// servers, and refuses them.
//
// A server that crashes takes all its runs with it, and a single VM sees only some of
// them. VMs therefore tell each other which runs failed before they had answered
// (failures), and which requests and parts have succeeded (successes). Each part and each
// whole request has a key. A rule quarantines parts or a whole request after several
// crashes without a success. When it expires, a single request probes it, so that a wrong
// rule ends and a right one costs one crash. A whole request is refused, but for such
// probes, from the second crash on.
//
// Node holds the decisions of one VM and is deterministic. Manager connects it to the
// control loop, the peers and the request path.
package quarantine

import (
	"time"
)

// Limits of what a VM keeps and sends.
const (
	// maxKeys bounds the keys that a failure, the successes of a run, or a rule name, since
	// callers choose how many parts a prompt has. Of a longer prompt, all VMs use those with
	// the lowest keys.
	maxKeys = 128
	// maxFailures bounds the failures that a VM keeps.
	maxFailures = 512
	// maxSeenFailures bounds the failures that a VM recognises as known.
	maxSeenFailures = 2048
	// maxPartSuccesses bounds the parts whose last success a VM remembers.
	maxPartSuccesses = 8192
	// maxRequestSuccesses bounds the whole requests whose last success a VM remembers.
	maxRequestSuccesses = 8192
	// maxRules bounds the rules in force.
	maxRules = 64
	// maxMessageItems bounds the failures, the successes and the rules that are taken
	// from one message.
	maxMessageItems = 512
)

// Parameters of rules.
const (
	// minCrashes is the number of crashes after which a part or a whole request is
	// quarantined that has never succeeded, minCrashesAfterSuccess that for others.
	minCrashes             = 3
	minCrashesAfterSuccess = 5
	// minRuns is the number of different runs that must have failed: the parts of a
	// single unlucky run are not at fault.
	minRuns = 2
	// minServers is the number of different servers that must have crashed before a part is
	// quarantined: a server that resets its runs is at fault itself.
	minServers = 2
	// suspectCrashes is the number of crashes after which a failed run is not repeated, and
	// after which a whole request is refused but for probes.
	suspectCrashes = 2
	// minMoments is the number of crashes, crashInterval apart, that a whole request must have
	// before it is quarantined: the loss of a zone crashes several servers at one moment.
	minMoments = 2
	// crashInterval separates crashes that count as different ones. Servers that share a
	// zone or a network fail together, and many innocent runs with them.
	crashInterval = 250 * time.Millisecond
	// settleDelay is the time between the last required crash and the rule, in which
	// successes on other VMs become known.
	settleDelay = 250 * time.Millisecond
	// announceInterval is the minimum time between two announcements of successes with
	// the same key.
	announceInterval = time.Second
	// evidenceLifetime is how long failures and successes of parts are taken into account,
	// and how long successes of whole requests raise the number of crashes that a rule
	// needs.
	evidenceLifetime = 10 * time.Minute
	// requestLifetime is how long failures of whole requests are taken into account, and how
	// long a rule on one is kept after its last refusal or change. A caller may come back
	// with a request all day.
	requestLifetime = 24 * time.Hour
	// initialDuration is the time from a rule to its first probe. Each failed probe
	// multiplies it by durationFactor, up to maxDuration, since a probe may cost a server.
	initialDuration = time.Minute
	durationFactor  = 4
	maxDuration     = time.Hour
	// probeRound is the time after a probe of a rule on parts at which another one may
	// start if there is no result.
	probeRound = 10 * time.Second
	// probeWindow is the time over which the VMs may one after the other start a probe, so
	// that mostly one does, and a request that reaches only one VM waits no longer.
	probeWindow = 2 * time.Second
	// firstProbeDelay is the time from the suspicion of a request to its first probe. Servers
	// that have crashed return within seconds: a probe before that could take the last one of
	// a small service.
	firstProbeDelay = 3 * time.Second
	// minProbeInterval is the time between two probes of a suspected request without a
	// result. It doubles up to maxProbeInterval.
	minProbeInterval = 5 * time.Second
	maxProbeInterval = time.Minute
	// maxProbes bounds the probes of a whole request: those that crash servers, and all from
	// the quarantine on. The operator allows three.
	maxProbes = 3
	// ruleRetention is how long an expired rule is kept while no probe decides it.
	ruleRetention = 10 * time.Minute
)

// Key identifies a part of prompts for the engines of one pool, or a whole request. It is a
// hash.
type Key uint64

// Failure is a run whose server broke the connection before the run had answered.
type Failure struct {
	Run uint32
	// Server identifies one lifetime of a backend server.
	Server uint32
	// Organisation is a hash of the caller's organisation.
	Organisation uint32
	// At is the time of the failure, on the clock of the VM that holds it.
	At time.Duration
	// Keys are those of the parts of the prompt and of the whole request, in ascending order,
	// less those that succeeded in another run meanwhile.
	Keys []Key
}

// Success states that a run with a part wrote and did not crash its engine, or that a whole
// request was answered.
type Success struct {
	Key Key
	At  time.Duration
}

// Message carries items between VMs. All times are on the clock of the VM that holds it.
type Message struct {
	Failures  []Failure
	Successes []Success
	Rules     []Rule
}

// Empty reports whether the message has no items.
func (m Message) Empty() bool { return len(m.Failures)+len(m.Successes)+len(m.Rules) == 0 }
