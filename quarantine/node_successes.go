package quarantine

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// success is the last known success of a part or a whole request.
type success struct {
	at time.Duration
	// announcedAt is the time of the latest success that this VM sent or received, 0 if
	// there is none.
	announcedAt time.Duration
}

// table returns the successes of the kind of a key.
func (n *Node) table(key Key) *lru.Cache[Key, success] {
	if key.IsWhole() {
		return n.requestSuccesses
	}
	return n.partSuccesses
}

// RunSucceeded records that a run of this VM has written or was answered.
func (n *Node) RunSucceeded(now time.Duration, keys []Key) Effects {
	var e Effects
	changed := false
	for _, key := range evidence(keys) {
		s, _ := n.table(key).Get(key)
		s.at = now
		if n.isNamed(key) {
			changed = true
			n.announce(key, &s, &e)
		}
		n.table(key).Add(key, s)
	}
	if changed {
		n.applySuccesses(&e)
		n.check(now, &e)
	}
	return e
}

// recordRequest records that a whole request was answered. It may be called from any
// goroutine.
func (n *Node) recordRequest(now time.Duration, whole Key) {
	s, _ := n.requestSuccesses.Get(whole)
	s.at = max(s.at, now)
	n.requestSuccesses.Add(whole, s)
}

// succeededAfter reports whether a run with a key succeeded at or after a time.
func (n *Node) succeededAfter(key Key, at time.Duration) bool {
	s, known := n.table(key).Peek(key)
	return known && s.at >= at
}

// isNamed reports whether a failure or a rule names a key.
func (n *Node) isNamed(key Key) bool {
	if n.named == nil {
		n.named = map[Key]bool{}
		for _, f := range n.failures {
			n.addNamed(f.Keys)
		}
		for _, r := range n.rules {
			n.addNamed(r.Keys)
		}
	}
	return n.named[key]
}

func (n *Node) addNamed(keys []Key) {
	for _, key := range keys {
		n.named[key] = true
	}
}

// announce sends the success of a key unless a recent one was announced.
func (n *Node) announce(key Key, s *success, e *Effects) {
	if s.announcedAt != 0 && s.at < s.announcedAt+announceInterval {
		return
	}
	s.announcedAt = s.at
	e.Send.Successes = append(e.Send.Successes, Success{Key: key, At: s.at})
}

// receiveSuccess records the success of a peer and forwards it unless a recent one is
// known. It reports whether the success may change a rule.
func (n *Node) receiveSuccess(in Success, e *Effects) bool {
	s, _ := n.table(in.Key).Get(in.Key)
	later := in.At > s.at
	s.at = max(s.at, in.At)
	if s.announcedAt == 0 || in.At >= s.announcedAt+announceInterval {
		s.announcedAt = in.At
		e.Send.Successes = append(e.Send.Successes, in)
	}
	n.table(in.Key).Add(in.Key, s)
	return later && n.isNamed(in.Key)
}

// applySuccesses drops the failures that no longer speak against any key, and takes the keys
// that have succeeded out of the rules.
func (n *Node) applySuccesses(e *Effects) {
	n.invalidate()
	e.Changed = true
	n.failures = slices.DeleteFunc(n.failures, func(f Failure) bool {
		return !slices.ContainsFunc(f.Keys, func(key Key) bool { return !n.succeededAfter(key, f.At) })
	})
	for id, r := range n.rules {
		left := slices.DeleteFunc(slices.Clone(r.Keys), func(key Key) bool { return n.succeededAfter(key, r.Since) })
		if len(left) == len(r.Keys) {
			continue
		}
		delete(n.rules, id)
		if len(left) == 0 {
			e.Removed = append(e.Removed, r)
			continue
		}
		r.Keys = left
		r.Version++
		n.rules[r.id()] = r
		e.Renewed = append(e.Renewed, r)
	}
}
