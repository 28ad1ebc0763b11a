package quarantine

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// success is the last known success of a part.
type success struct {
	at time.Duration
	// announcedAt is the time of the latest success that this VM sent or received, 0 if
	// there is none.
	announcedAt time.Duration
}

// table returns the successes of the kind of an id.
func (n *Node) table(id PartID) *lru.Cache[PartID, success] {
	if id.IsWhole() {
		return n.requests
	}
	return n.successes
}

// RunSucceeded records that a run of this VM has written or was answered.
func (n *Node) RunSucceeded(now time.Duration, parts []PartID) Effects {
	var e Effects
	changed := false
	for _, part := range evidence(parts) {
		p, _ := n.table(part).Get(part)
		p.at = now
		if n.isNamed(part) {
			changed = true
			n.announce(part, &p, &e)
		}
		n.table(part).Add(part, p)
	}
	if changed {
		n.applySuccesses(&e)
		n.check(now, &e)
	}
	return e
}

// recordRequest records that a whole request was answered. It may be called from any
// goroutine.
func (n *Node) recordRequest(now time.Duration, id PartID) {
	p, _ := n.requests.Get(id)
	p.at = max(p.at, now)
	n.requests.Add(id, p)
}

// succeededAfter reports whether a run with a part succeeded at or after a time.
func (n *Node) succeededAfter(part PartID, at time.Duration) bool {
	p, known := n.table(part).Peek(part)
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
	p, _ := n.table(in.Part).Get(in.Part)
	later := in.At > p.at
	p.at = max(p.at, in.At)
	if p.announcedAt == 0 || in.At >= p.announcedAt+announceInterval {
		p.announcedAt = in.At
		e.Send.Successes = append(e.Send.Successes, in)
	}
	n.table(in.Part).Add(in.Part, p)
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
		r.Version++
		n.rules[r.key()] = r
		e.Renewed = append(e.Renewed, r)
	}
}
