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
	failures []Failure
	seen     *lru.Cache[failureKey, struct{}]
	proofs   *lru.Cache[PartID, proof]
	verdicts map[uint64]Verdict
	// named holds the parts that failures and verdicts name, nil if it must be built
	// again.
	named map[PartID]bool
	// stale is set if the failures must be diagnosed again, dueAt is the time at which
	// they must be even so, 0 if there is none.
	stale bool
	dueAt time.Duration
}

type failureKey struct{ run, engine uint32 }

// proof is the last known proof of a part.
type proof struct {
	at time.Duration
	// told is the time of the latest proof that was announced or received, 0 if none was.
	told time.Duration
}

// Effects are the results of an event.
type Effects struct {
	// Send is for the peers, except the one from which the event came. Reply is for
	// that one only.
	Send, Reply Message
	// Condemned, Renewed and Lifted are the verdicts that changed.
	Condemned, Renewed, Lifted []Verdict
	// CheckAt is the time at which Check must be called, 0 if it need not be called.
	CheckAt time.Duration
	// Changed is set if the view of the request path has changed.
	Changed bool
}

// NewNode returns a node without any knowledge.
func NewNode() *Node {
	return &Node{seen: newCache[failureKey, struct{}](maxSeenFailures), proofs: newCache[PartID, proof](maxProofs), verdicts: map[uint64]Verdict{}}
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
	f.Parts = slices.DeleteFunc(slices.Clone(evidence(f.Parts)), func(part PartID) bool { return n.provenAfter(part, started) })
	var e Effects
	if len(f.Parts) > 0 {
		n.addFailure(now, f, &e)
	}
	n.check(now, &e)
	return e
}

// RunProven records that a run of this VM has written.
func (n *Node) RunProven(now time.Duration, parts []PartID) Effects {
	var e Effects
	changed := false
	for _, part := range evidence(parts) {
		p, _ := n.proofs.Get(part)
		p.at = now
		if n.matters(part) {
			changed = true
			n.tell(part, &p, &e)
		}
		n.proofs.Add(part, p)
	}
	if changed {
		n.applyProofs(&e)
		n.check(now, &e)
	}
	return e
}

// evidence returns the parts of a prompt that failures and proofs name.
func evidence(parts []PartID) []PartID { return parts[:min(len(parts), MaxParts)] }

// Receive processes a message of a peer.
func (n *Node) Receive(now time.Duration, m Message) Effects {
	var e Effects
	proven := false
	for _, p := range m.Proofs[:min(len(m.Proofs), maxMessageItems)] {
		proven = n.receiveProof(p, &e) || proven
	}
	if proven {
		n.applyProofs(&e)
	}
	for _, f := range m.Failures[:min(len(m.Failures), maxMessageItems)] {
		if len(f.Parts) > 0 && len(f.Parts) <= MaxParts {
			n.addFailure(now, f, &e)
		}
	}
	for _, v := range m.Verdicts[:min(len(m.Verdicts), maxMessageItems)] {
		n.receiveVerdict(now, v, &e)
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

// Verdicts returns the verdicts in force.
func (n *Node) Verdicts() []Verdict {
	out := make([]Verdict, 0, len(n.verdicts))
	for _, v := range n.verdicts {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b Verdict) int { return cmp.Compare(a.key(), b.key()) })
	return out
}

// Digest identifies the verdicts in force. It is 0 if there are none.
func (n *Node) Digest() uint64 {
	var digest uint64
	for key, v := range n.verdicts {
		digest ^= key * uint64(2*v.Strikes+1)
	}
	return digest
}

// provenAfter reports whether a part was proven at or after a time.
func (n *Node) provenAfter(part PartID, at time.Duration) bool {
	p, known := n.proofs.Peek(part)
	return known && p.at >= at
}

// matters reports whether a failure or a verdict names a part.
func (n *Node) matters(part PartID) bool {
	if n.named == nil {
		n.named = map[PartID]bool{}
		for _, f := range n.failures {
			n.name(f.Parts)
		}
		for _, v := range n.verdicts {
			n.name(v.Parts)
		}
	}
	return n.named[part]
}

func (n *Node) name(parts []PartID) {
	for _, part := range parts {
		n.named[part] = true
	}
}

// tell announces the proof of a part unless a recent one was announced.
func (n *Node) tell(part PartID, p *proof, e *Effects) {
	if p.told != 0 && p.at < p.told+proofInterval {
		return
	}
	p.told = p.at
	e.Send.Proofs = append(e.Send.Proofs, Proof{Part: part, At: p.at})
}

// receiveProof records the proof of a peer and forwards it if it is news. It reports
// whether the proof may change a verdict.
func (n *Node) receiveProof(in Proof, e *Effects) bool {
	p, _ := n.proofs.Get(in.Part)
	later := in.At > p.at
	p.at = max(p.at, in.At)
	if p.told == 0 || in.At >= p.told+proofInterval {
		p.told = in.At
		e.Send.Proofs = append(e.Send.Proofs, in)
	}
	n.proofs.Add(in.Part, p)
	return later && n.matters(in.Part)
}

// applyProofs drops the failures that no longer speak against any part, and takes
// proven parts out of the verdicts.
func (n *Node) applyProofs(e *Effects) {
	n.invalidate()
	e.Changed = true
	n.failures = slices.DeleteFunc(n.failures, func(f Failure) bool {
		return !slices.ContainsFunc(f.Parts, func(part PartID) bool { return !n.provenAfter(part, f.At) })
	})
	for key, v := range n.verdicts {
		left := slices.DeleteFunc(slices.Clone(v.Parts), func(part PartID) bool { return n.provenAfter(part, v.Since) })
		if len(left) == len(v.Parts) {
			continue
		}
		delete(n.verdicts, key)
		if len(left) == 0 {
			e.Lifted = append(e.Lifted, v)
			continue
		}
		v.Parts = left
		n.putVerdict(v)
		e.Renewed = append(e.Renewed, v)
	}
}

// addFailure records a failure, forwards it, and announces the proofs that speak for its
// parts.
func (n *Node) addFailure(now time.Duration, f Failure, e *Effects) {
	key := failureKey{f.Run, f.Engine}
	if n.seen.Contains(key) {
		return
	}
	n.seen.Add(key, struct{}{})
	e.Send.Failures = append(e.Send.Failures, f)
	for _, part := range f.Parts {
		if p, known := n.proofs.Peek(part); known {
			n.tell(part, &p, e)
			n.proofs.Add(part, p)
		}
	}
	if len(n.failures) == maxFailures {
		n.failures = n.failures[1:]
	}
	n.failures = append(n.failures, f)
	n.invalidate()
	e.Changed = true
	n.judgeTrial(now, f, e)
}

// judgeTrial renews the verdicts whose trial has crashed an engine.
func (n *Node) judgeTrial(now time.Duration, f Failure, e *Effects) {
	for key, v := range n.verdicts {
		if f.At < v.Until || !v.matches(f.Parts) {
			continue
		}
		v.Strikes++
		v.Until = now + term(v.Strikes)
		n.verdicts[key] = v
		e.Renewed = append(e.Renewed, v)
		e.Send.Verdicts = append(e.Send.Verdicts, v)
		e.Changed = true
	}
}

// receiveVerdict adopts the verdict of a peer if it is news. If a part has been proven
// since, it answers with the proof.
func (n *Node) receiveVerdict(now time.Duration, v Verdict, e *Effects) {
	if len(v.Parts) == 0 || len(v.Parts) > MaxParts || !slices.IsSorted(v.Parts) || now > v.Until+verdictRetention {
		return
	}
	for _, part := range v.Parts {
		if p, _ := n.proofs.Peek(part); n.provenAfter(part, v.Since) {
			e.Reply.Proofs = append(e.Reply.Proofs, Proof{Part: part, At: p.at})
		}
	}
	if len(e.Reply.Proofs) > 0 {
		return
	}
	known, held := n.verdicts[v.key()]
	if held && !v.supersedes(known) {
		return
	}
	n.putVerdict(v)
	e.Condemned = append(e.Condemned, v)
	e.Send.Verdicts = append(e.Send.Verdicts, v)
	e.Changed = true
}

// putVerdict adds a verdict. If there are too many, the one whose trial is due first
// makes room.
func (n *Node) putVerdict(v Verdict) {
	n.invalidate()
	n.verdicts[v.key()] = v
	if len(n.verdicts) <= maxVerdicts {
		return
	}
	all := n.Verdicts()
	first := slices.MinFunc(all, func(a, b Verdict) int { return cmp.Compare(a.Until, b.Until) })
	delete(n.verdicts, first.key())
}

// invalidate marks what is derived from the failures and the verdicts as out of date.
func (n *Node) invalidate() { n.named, n.stale = nil, true }

// check drops what is too old and condemns the parts that are due.
func (n *Node) check(now time.Duration, e *Effects) {
	n.expire(now, e)
	if n.stale || n.dueAt != 0 && n.dueAt <= now {
		n.condemn(now, e)
	}
	e.CheckAt = n.dueAt
	for _, v := range n.verdicts {
		e.CheckAt = earliest(e.CheckAt, nextRound(now, v))
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
	for key, v := range n.verdicts {
		if now > v.Until+verdictRetention {
			delete(n.verdicts, key)
			n.invalidate()
			e.Lifted = append(e.Lifted, v)
			e.Changed = true
		}
	}
}

// condemn adds the verdicts that the failures demand.
func (n *Node) condemn(now time.Duration, e *Effects) {
	var due []diagnosis
	due, n.dueAt = n.diagnose(now)
	n.stale = false
	for _, d := range due {
		v := Verdict{Parts: d.parts, Since: d.since, Until: now + term(1), Strikes: 1}
		if _, held := n.verdicts[v.key()]; held {
			continue
		}
		n.putVerdict(v)
		e.Condemned = append(e.Condemned, v)
		e.Send.Verdicts = append(e.Send.Verdicts, v)
		e.Changed = true
	}
}

// nextRound returns the time at which the state of a verdict changes by itself.
func nextRound(now time.Duration, v Verdict) time.Duration {
	if now < v.Until {
		return v.Until
	}
	return v.Until + trialRound*time.Duration(round(now, v)+1)
}

// round returns the number of the trial round of a lapsed verdict.
func round(now time.Duration, v Verdict) int64 { return int64((now - v.Until) / trialRound) }

// earliest returns the earlier of two times, of which 0 means never.
func earliest(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
