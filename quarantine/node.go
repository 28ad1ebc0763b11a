package quarantine

import (
	"cmp"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Node holds what one VM knows about crashes, and decides. It is deterministic and not
// safe for concurrent use; the current time is passed as an argument.
type Node struct {
	// failures are in the order of arrival.
	failures  []Failure
	seen      *lru.Cache[failureKey, struct{}]
	successes *lru.Cache[PartID, success]
	rules     map[uint64]Rule
	// named holds the parts that failures and rules name, nil if it must be built
	// again.
	named map[PartID]bool
	// stale is set if the failures must be diagnosed again, dueAt is the time at which
	// they must be even so, 0 if there is none.
	stale bool
	dueAt time.Duration
}

type failureKey struct{ run, engine uint32 }

// success is the last known success of a part.
type success struct {
	at time.Duration
	// announcedAt is the time of the latest success that this VM sent or received, 0 if
	// there is none.
	announcedAt time.Duration
}

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
	return &Node{seen: newCache[failureKey, struct{}](maxSeenFailures), successes: newCache[PartID, success](maxSuccesses), rules: map[uint64]Rule{}}
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
	f.Parts = slices.DeleteFunc(slices.Clone(evidence(f.Parts)), func(part PartID) bool { return n.succeededAfter(part, started) })
	var e Effects
	if len(f.Parts) > 0 {
		n.addFailure(now, f, &e)
	}
	n.check(now, &e)
	return e
}

// RunSucceeded records that a run of this VM has written.
func (n *Node) RunSucceeded(now time.Duration, parts []PartID) Effects {
	var e Effects
	changed := false
	for _, part := range evidence(parts) {
		p, _ := n.successes.Get(part)
		p.at = now
		if n.isNamed(part) {
			changed = true
			n.announce(part, &p, &e)
		}
		n.successes.Add(part, p)
	}
	if changed {
		n.applySuccesses(&e)
		n.check(now, &e)
	}
	return e
}

// evidence returns the parts of a prompt that failures and successes name.
func evidence(parts []PartID) []PartID { return parts[:min(len(parts), MaxParts)] }

// Receive processes a message of a peer.
func (n *Node) Receive(now time.Duration, m Message) Effects {
	var e Effects
	succeeded := false
	for _, p := range m.Successes[:min(len(m.Successes), maxMessageItems)] {
		succeeded = n.receiveSuccess(p, &e) || succeeded
	}
	if succeeded {
		n.applySuccesses(&e)
	}
	for _, f := range m.Failures[:min(len(m.Failures), maxMessageItems)] {
		if len(f.Parts) > 0 && len(f.Parts) <= MaxParts {
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

// Rules returns the rules in force.
func (n *Node) Rules() []Rule {
	out := make([]Rule, 0, len(n.rules))
	for _, r := range n.rules {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Rule) int { return cmp.Compare(a.key(), b.key()) })
	return out
}

// Digest identifies the rules in force. It is 0 if there are none.
func (n *Node) Digest() uint64 {
	var digest uint64
	for key, r := range n.rules {
		digest ^= key * uint64(2*r.Activations+1)
	}
	return digest
}

// succeededAfter reports whether a run with a part succeeded at or after a time.
func (n *Node) succeededAfter(part PartID, at time.Duration) bool {
	p, known := n.successes.Peek(part)
	return known && p.at >= at
}

// isNamed reports whether a failure or a rule names a part.
func (n *Node) isNamed(part PartID) bool {
	if n.named == nil {
		n.named = map[PartID]bool{}
		for _, f := range n.failures {
			n.addNamed(f.Parts)
		}
		for _, r := range n.rules {
			n.addNamed(r.Parts)
		}
	}
	return n.named[part]
}

func (n *Node) addNamed(parts []PartID) {
	for _, part := range parts {
		n.named[part] = true
	}
}

// announce sends the success of a part unless a recent one was announced.
func (n *Node) announce(part PartID, p *success, e *Effects) {
	if p.announcedAt != 0 && p.at < p.announcedAt+announceInterval {
		return
	}
	p.announcedAt = p.at
	e.Send.Successes = append(e.Send.Successes, Success{Part: part, At: p.at})
}

// receiveSuccess records the success of a peer and forwards it unless a recent one is
// known. It reports whether the success may change a rule.
func (n *Node) receiveSuccess(in Success, e *Effects) bool {
	p, _ := n.successes.Get(in.Part)
	later := in.At > p.at
	p.at = max(p.at, in.At)
	if p.announcedAt == 0 || in.At >= p.announcedAt+announceInterval {
		p.announcedAt = in.At
		e.Send.Successes = append(e.Send.Successes, in)
	}
	n.successes.Add(in.Part, p)
	return later && n.isNamed(in.Part)
}

// applySuccesses drops the failures that no longer speak against any part, and takes
// parts that have succeeded out of the rules.
func (n *Node) applySuccesses(e *Effects) {
	n.invalidate()
	e.Changed = true
	n.failures = slices.DeleteFunc(n.failures, func(f Failure) bool {
		return !slices.ContainsFunc(f.Parts, func(part PartID) bool { return !n.succeededAfter(part, f.At) })
	})
	for key, r := range n.rules {
		left := slices.DeleteFunc(slices.Clone(r.Parts), func(part PartID) bool { return n.succeededAfter(part, r.Since) })
		if len(left) == len(r.Parts) {
			continue
		}
		delete(n.rules, key)
		if len(left) == 0 {
			e.Removed = append(e.Removed, r)
			continue
		}
		r.Parts = left
		n.putRule(r)
		e.Renewed = append(e.Renewed, r)
	}
}

// addFailure records a failure, forwards it, and announces the known successes of its
// parts.
func (n *Node) addFailure(now time.Duration, f Failure, e *Effects) {
	key := failureKey{f.Run, f.Engine}
	if n.seen.Contains(key) {
		return
	}
	n.seen.Add(key, struct{}{})
	e.Send.Failures = append(e.Send.Failures, f)
	for _, part := range f.Parts {
		if p, known := n.successes.Peek(part); known {
			n.announce(part, &p, e)
			n.successes.Add(part, p)
		}
	}
	if len(n.failures) == maxFailures {
		n.failures = n.failures[1:]
	}
	n.failures = append(n.failures, f)
	n.invalidate()
	e.Changed = true
	n.applyProbeFailure(now, f, e)
}

// applyProbeFailure renews the rules whose probe has crashed an engine.
func (n *Node) applyProbeFailure(now time.Duration, f Failure, e *Effects) {
	for key, r := range n.rules {
		if f.At < r.Until || !r.matches(f.Parts) {
			continue
		}
		r.Activations++
		r.Until = now + quarantineDuration(r.Activations)
		n.rules[key] = r
		e.Renewed = append(e.Renewed, r)
		e.Send.Rules = append(e.Send.Rules, r)
		e.Changed = true
	}
}

// receiveRule adopts the rule of a peer if it is newer. If a part has succeeded since, it
// answers with the success.
func (n *Node) receiveRule(now time.Duration, r Rule, e *Effects) {
	if len(r.Parts) == 0 || len(r.Parts) > MaxParts || !slices.IsSorted(r.Parts) || now > r.Until+ruleRetention {
		return
	}
	for _, part := range r.Parts {
		if p, _ := n.successes.Peek(part); n.succeededAfter(part, r.Since) {
			e.Reply.Successes = append(e.Reply.Successes, Success{Part: part, At: p.at})
		}
	}
	if len(e.Reply.Successes) > 0 {
		return
	}
	known, held := n.rules[r.key()]
	if held && !r.supersedes(known) {
		return
	}
	n.putRule(r)
	e.Added = append(e.Added, r)
	e.Send.Rules = append(e.Send.Rules, r)
	e.Changed = true
}

// putRule adds a rule. If there are too many, the one whose probe is due first
// makes room.
func (n *Node) putRule(r Rule) {
	n.invalidate()
	n.rules[r.key()] = r
	if len(n.rules) <= maxRules {
		return
	}
	all := n.Rules()
	first := slices.MinFunc(all, func(a, b Rule) int { return cmp.Compare(a.Until, b.Until) })
	delete(n.rules, first.key())
}

// invalidate marks what is derived from the failures and the rules as out of date.
func (n *Node) invalidate() { n.named, n.stale = nil, true }

// check drops what is too old and quarantines the parts that are due.
func (n *Node) check(now time.Duration, e *Effects) {
	n.expire(now, e)
	if n.stale || n.dueAt != 0 && n.dueAt <= now {
		n.addDueRules(now, e)
	}
	e.CheckAt = n.dueAt
	for _, r := range n.rules {
		e.CheckAt = earliest(e.CheckAt, nextRound(now, r))
	}
}

// expire drops what is too old.
func (n *Node) expire(now time.Duration, e *Effects) {
	// Failures are about in the order of time, so that the first one is the oldest.
	for len(n.failures) > 0 && now-n.failures[0].At > evidenceLifetime {
		n.failures = n.failures[1:]
		n.invalidate()
		e.Changed = true
	}
	for key, r := range n.rules {
		if now > r.Until+ruleRetention {
			delete(n.rules, key)
			n.invalidate()
			e.Removed = append(e.Removed, r)
			e.Changed = true
		}
	}
}

// addDueRules adds the rules that the failures require.
func (n *Node) addDueRules(now time.Duration, e *Effects) {
	var due []diagnosis
	due, n.dueAt = n.diagnose(now)
	n.stale = false
	for _, d := range due {
		r := Rule{Parts: d.parts, Since: d.since, Until: now + quarantineDuration(1), Activations: 1}
		if _, held := n.rules[r.key()]; held {
			continue
		}
		n.putRule(r)
		e.Added = append(e.Added, r)
		e.Send.Rules = append(e.Send.Rules, r)
		e.Changed = true
	}
}

// nextRound returns the time at which the state of a rule changes by itself.
func nextRound(now time.Duration, r Rule) time.Duration {
	if now < r.Until {
		return r.Until
	}
	return r.Until + probeRound*time.Duration(round(now, r)+1)
}

// round returns the number of the probe round of an expired rule.
func round(now time.Duration, r Rule) int64 { return int64((now - r.Until) / probeRound) }

// earliest returns the earlier of two times, of which 0 means never.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
