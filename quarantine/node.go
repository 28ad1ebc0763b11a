package quarantine

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Node holds what one VM knows about crashes, and decides. It is deterministic and not
// safe for concurrent use; the current time is passed as an argument.
type Node struct {
	// failures are in the order of arrival.
	failures []Failure
	seen     *lru.Cache[failureID, struct{}]
	// partSuccesses and requestSuccesses hold the last success of each part and of each whole
	// request, apart, so that ordinary requests push out no successes of parts.
	// requestSuccesses may be used from any goroutine.
	partSuccesses, requestSuccesses *lru.Cache[Key, success]
	// rules holds the rules in force by their ids.
	rules map[uint64]Rule
	// probeDelay returns how long after the end of a rule this VM may start its probe.
	probeDelay func(Rule) time.Duration
	// named holds the keys that failures and rules name, nil if it must be built again.
	named map[Key]bool
	// stale is set if the failures must be diagnosed again, dueAt is the time at which
	// they must be even so, 0 if there is none.
	stale bool
	dueAt time.Duration
}

type failureID struct{ run, server uint32 }

// Effects are the results of an event.
type Effects struct {
	// Send is for the peers, except the one from which the event came. Reply is for
	// that one only.
	Send, Reply Message
	// Added, Renewed and Removed are the rules that changed.
	Added, Renewed, Removed []Rule
	// CheckAt is the time at which Check must be called, 0 if it need not be called.
	CheckAt time.Duration
	// Changed is set if the view of the request path has changed.
	Changed bool
}

// NewNode returns a node without any knowledge.
func NewNode() *Node {
	return &Node{
		seen:             newCache[failureID, struct{}](maxSeenFailures),
		partSuccesses:    newCache[Key, success](maxPartSuccesses),
		requestSuccesses: newCache[Key, success](maxRequestSuccesses),
		rules:            map[uint64]Rule{},
		probeDelay:       func(Rule) time.Duration { return 0 },
	}
}

func newCache[K comparable, V any](size int) *lru.Cache[K, V] {
	c, err := lru.New[K, V](size)
	if err != nil {
		panic(err) // The sizes are positive constants.
	}
	return c
}

// RunFailed records a failed run of this VM that started at a given time.
func (n *Node) RunFailed(now time.Duration, f Failure, started time.Duration) Effects {
	f.At = now
	f.Keys = slices.DeleteFunc(slices.Clone(evidence(f.Keys)), func(key Key) bool { return n.succeededAfter(key, started) })
	var e Effects
	if len(f.Keys) > 0 {
		n.addFailure(now, f, &e)
	}
	n.check(now, &e)
	return e
}

// Receive processes a message of a peer.
func (n *Node) Receive(now time.Duration, m Message) Effects {
	var e Effects
	succeeded := false
	for _, s := range m.Successes[:min(len(m.Successes), maxMessageItems)] {
		succeeded = n.receiveSuccess(s, &e) || succeeded
	}
	if succeeded {
		n.applySuccesses(&e)
	}
	for _, f := range m.Failures[:min(len(m.Failures), maxMessageItems)] {
		if len(f.Keys) > 0 && len(f.Keys) <= maxKeys && slices.IsSorted(f.Keys) {
			n.addFailure(now, f, &e)
		}
	}
	for _, r := range m.Rules[:min(len(m.Rules), maxMessageItems)] {
		n.receiveRule(now, r, &e)
	}
	n.check(now, &e)
	return e
}

// Check applies the passage of time.
func (n *Node) Check(now time.Duration) Effects {
	var e Effects
	n.check(now, &e)
	return e
}

// addFailure records a failure, forwards it, and announces the known successes with its
// keys.
func (n *Node) addFailure(now time.Duration, f Failure, e *Effects) {
	id := failureID{f.Run, f.Server}
	if n.seen.Contains(id) {
		return
	}
	n.seen.Add(id, struct{}{})
	e.Send.Failures = append(e.Send.Failures, f)
	for _, key := range f.Keys {
		if s, known := n.table(key).Peek(key); known {
			n.announce(key, &s, e)
			n.table(key).Add(key, s)
		}
	}
	if len(n.failures) == maxFailures {
		n.dropFailure()
	}
	n.failures = append(n.failures, f)
	n.invalidate()
	e.Changed = true
	n.applyProbeFailure(now, f, e)
}

// invalidate marks what is derived from the failures and the rules as out of date.
func (n *Node) invalidate() { n.named, n.stale = nil, true }

// dropFailure drops the oldest failure of the organisation that has most, so that one that
// varies its requests pushes out no others.
func (n *Node) dropFailure() {
	counts := map[uint32]int{}
	for _, f := range n.failures {
		counts[f.Organisation]++
	}
	victim := 0
	for i, f := range n.failures {
		if counts[f.Organisation] > counts[n.failures[victim].Organisation] {
			victim = i
		}
	}
	n.failures = slices.Delete(n.failures, victim, victim+1)
}

// check drops what is too old and quarantines what is due.
func (n *Node) check(now time.Duration, e *Effects) {
	n.expire(now, e)
	if n.stale || n.dueAt != 0 && n.dueAt <= now {
		n.addDueRules(now, e)
	}
	e.CheckAt = n.dueAt
	for _, r := range n.rules {
		e.CheckAt = earliest(e.CheckAt, r.expiresAt()+1)
		if at := n.probeAt(r); r.hasProbe() && at > now {
			e.CheckAt = earliest(e.CheckAt, at)
		}
	}
}

// probeAt returns the time from which this VM may start a probe of a rule.
func (n *Node) probeAt(r Rule) time.Duration { return r.Until + n.probeDelay(r) }

// expire drops what is too old.
func (n *Node) expire(now time.Duration, e *Effects) {
	before := len(n.failures)
	n.failures = slices.DeleteFunc(n.failures, func(f Failure) bool { return now-f.At > f.lifetime() })
	if len(n.failures) < before {
		n.invalidate()
		e.Changed = true
	}
	for id, r := range n.rules {
		if now > r.expiresAt() {
			delete(n.rules, id)
			n.invalidate()
			e.Removed = append(e.Removed, r)
			e.Changed = true
		}
	}
}

// lifetime is how long the failure, which has at least one key, is taken into account.
func (f Failure) lifetime() time.Duration {
	if f.Keys[len(f.Keys)-1].IsWhole() {
		return requestLifetime
	}
	return evidenceLifetime
}
