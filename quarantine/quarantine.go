// Package quarantine finds the parts of prompts that crash engines and refuses the
// requests that hold them.
//
// An engine that crashes takes all its runs with it, and a single VM sees only some of
// them. VMs therefore tell each other which runs failed before they had written
// anything (failures), and which parts were in runs that wrote (proofs). A part is
// condemned when several crashes speak against it and no proof has come since. A
// verdict lapses into a trial by a single request, so that a wrong verdict ends and a
// right one costs one crash.
//
// Node holds the decisions of one VM and is deterministic. Manager connects it to the
// control loop, the peers and the request path.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaarch/vanillaarch/internal/hash"
)

// Limits of what a VM keeps and sends.
const (
	// MaxParts bounds the parts of a prompt that failures and proofs name, since callers
	// choose how many there are. Of a longer prompt, all VMs use those with the lowest ids.
	MaxParts = 128
	// maxFailures bounds the failures that a VM keeps.
	maxFailures = 256
	// maxSeenFailures bounds the failures that a VM recognises as known.
	maxSeenFailures = 2048
	// maxProofs bounds the parts whose last proof a VM remembers.
	maxProofs = 8192
	// maxVerdicts bounds the verdicts in force.
	maxVerdicts = 64
	// maxMessageItems bounds the failures, the proofs and the verdicts that are taken
	// from one message.
	maxMessageItems = 512
)

// Parameters of verdicts.
const (
	// minCrashes is the number of crashes that condemn a part of which no VM knows a
	// proof, minCrashesProven that of other parts.
	minCrashes       = 3
	minCrashesProven = 5
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
	// objectionTime is the wait between the last required crash and the verdict, in
	// which other VMs tell of proofs.
	objectionTime = 250 * time.Millisecond
	// proofInterval is the minimum time between two announcements of a proof of the same
	// part.
	proofInterval = time.Second
	// evidenceLifetime is how long failures and proofs are taken into account.
	evidenceLifetime = 10 * time.Minute
	// firstTerm is the time from a verdict to its first trial. Each failed trial
	// multiplies it by termGrowth, up to maxTerm, since a trial costs an engine.
	firstTerm  = time.Minute
	termGrowth = 4
	maxTerm    = time.Hour
	// trialRound is how long one VM may start the trial before the next VM may.
	trialRound = 10 * time.Second
	// verdictRetention is how long a lapsed verdict is kept while no trial decides it.
	verdictRetention = 10 * time.Minute
)

// PartID identifies a part of prompts for the engines of one pool.
type PartID uint64

// Prompt describes the prompt of one request.
type Prompt struct {
	// Run identifies the request.
	Run uint32
	// Parts are the distinct parts that other requests may share, in ascending order.
	Parts []PartID
}

// NewPrompt returns the prompt of a request. pool names the engines that may run it,
// parts are the ids of its shared parts in any order.
func NewPrompt(pool, request string, parts []string) Prompt {
	p := Prompt{Run: uint32(xxhash.Sum64String(request))}
	for _, part := range parts {
		p.Parts = append(p.Parts, PartID(hash.Pair(pool, part)))
	}
	slices.Sort(p.Parts)
	p.Parts = slices.Compact(p.Parts)
	return p
}

// Failure is a run whose engine broke the connection before the run had written.
type Failure struct {
	Run uint32
	// Engine identifies one lifetime of an engine.
	Engine uint32
	// At is the time of the failure, on the clock of the VM that holds it.
	At time.Duration
	// Parts are the parts of the prompt that were not proven during the run.
	Parts []PartID
}

// Proof states that a run with a part wrote and did not crash its engine.
type Proof struct {
	Part PartID
	At   time.Duration
}

// Verdict condemns the requests that hold all of its parts. It has several parts if
// all failed runs held all of them, so that nothing tells the parts apart.
type Verdict struct {
	// Parts are in ascending order.
	Parts []PartID
	// Since is the time of the first crash that led to the verdict, Until the time from
	// which a trial is allowed.
	Since, Until time.Duration
	// Strikes counts the condemnations: the first and each failed trial.
	Strikes int
}

// key identifies the parts of a verdict.
func (v Verdict) key() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range v.Parts {
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

// matches reports whether a prompt holds all parts of the verdict. Both lists are in
// ascending order.
func (v Verdict) matches(parts []PartID) bool {
	for _, part := range v.Parts {
		if _, found := slices.BinarySearch(parts, part); !found {
			return false
		}
	}
	return true
}

// supersedes reports whether a verdict replaces another one on the same parts.
func (v Verdict) supersedes(other Verdict) bool {
	if v.Strikes != other.Strikes {
		return v.Strikes > other.Strikes
	}
	return v.Until > other.Until+untilTolerance
}

// untilTolerance is the difference up to which two VMs agree on the end of a verdict.
const untilTolerance = 2 * time.Second

// term returns the time from a verdict to its trial.
func term(strikes int) time.Duration {
	d := firstTerm
	for i := 1; i < strikes && d < maxTerm; i++ {
		d *= termGrowth
	}
	return min(d, maxTerm)
}

// Message carries items between VMs. All times are on the clock of the VM that holds it.
type Message struct {
	Failures []Failure
	Proofs   []Proof
	Verdicts []Verdict
}

// Empty reports whether the message has no items.
func (m Message) Empty() bool { return len(m.Failures)+len(m.Proofs)+len(m.Verdicts) == 0 }
