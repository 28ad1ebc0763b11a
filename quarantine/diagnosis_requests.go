package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// minAmbiguousProbes is the number of probes that must have crashed servers before a request
// is quarantined that shares its crashes with another one.
const minAmbiguousProbes = 2

// suspectedRequests returns the suspicions against whole requests that crashes of several
// servers support. A request that was never answered explains the crashes for those that
// share them and were answered before, or were in fewer of them: a request that is often
// in flight is in flight at nearly every crash.
func (n *Node) suspectedRequests(now time.Duration, crashes []crash) (out []*suspicion) {
	all := slices.Collect(maps.Values(n.suspicions(now, crashes, nil, Key.IsWhole)))
	all = slices.DeleteFunc(all, func(s *suspicion) bool { return s.servers() < suspectCrashes })
	slices.SortFunc(all, (*suspicion).compare)
	markAmbiguous(all)
	explained := map[crash]bool{}
	chosen := map[uint64]bool{}
	for _, s := range all {
		id := s.crashSet()
		if !chosen[id] {
			maps.DeleteFunc(s.crashes, func(c crash, _ bool) bool { return explained[c] })
			if s.servers() < suspectCrashes {
				continue
			}
		}
		chosen[id] = true
		maps.Copy(explained, s.crashes)
		out = append(out, s)
	}
	return out
}

// markAmbiguous marks the requests that share their last crash and another one with another
// request: the probes of both may have been on the same server. Not all crashes need be
// shared, since a VM may miss a failure.
func markAmbiguous(all []*suspicion) {
	atCrash := map[crash][]*suspicion{}
	for _, s := range all {
		for c := range s.crashes {
			atCrash[c] = append(atCrash[c], s)
		}
	}
	for _, s := range all {
		s.ambiguous = slices.ContainsFunc(atCrash[s.lastCrash()], func(other *suspicion) bool {
			return other != s && other.succeeded == s.succeeded && s.shares(other, suspectCrashes)
		})
	}
}

// lastCrash returns the latest crash.
func (s *suspicion) lastCrash() crash {
	return slices.MaxFunc(slices.Collect(maps.Keys(s.crashes)), func(a, b crash) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.server, b.server))
	})
}

// shares reports whether at least count crashes are also crashes of another suspicion.
func (s *suspicion) shares(other *suspicion, count int) bool {
	for c := range s.crashes {
		if other.crashes[c] {
			count--
		}
	}
	return count <= 0
}

// crashSet identifies the crashes of a suspicion: nothing tells two requests with the same
// ones apart.
func (s *suspicion) crashSet() uint64 {
	var id uint64
	for c := range s.crashes {
		b := binary.LittleEndian.AppendUint64(nil, uint64(c.server))
		id += xxhash.Sum64(binary.LittleEndian.AppendUint64(b, uint64(c.at)))
	}
	if s.succeeded {
		return ^id
	}
	return id
}

// firstCrashes returns the time of the first crash of each server, in ascending order.
func (s *suspicion) firstCrashes() []time.Duration {
	first := map[uint32]time.Duration{}
	for c := range s.crashes {
		if at, known := first[c.server]; !known || c.at < at {
			first[c.server] = c.at
		}
	}
	return slices.Sorted(maps.Values(first))
}

// requestDueAt returns the time at which a suspected request is quarantined if no success
// comes before it. It returns false if there are too few failures.
func (s *suspicion) requestDueAt() (time.Duration, bool) {
	crashes, moments := s.firstCrashes(), s.separateCrashes()
	if len(crashes) < s.required() || len(moments) < minMoments || len(s.runs) < minRuns {
		return 0, false
	}
	return max(crashes[s.required()-1], moments[minMoments-1]) + settleDelay, true
}

// addDueRequests adds the rules on whole requests that the failures require, and returns
// the time at which it must be called again, 0 if only further failures can change that.
func (n *Node) addDueRequests(now time.Duration, crashes []crash, e *Effects) (again time.Duration) {
	for _, s := range n.suspectedRequests(now, crashes) {
		crashes := s.firstCrashes()
		// Its last use is not now, so that it doesn't displace one with later crashes.
		r := Rule{Keys: []Key{s.key}, Since: crashes[0], Used: crashes[len(crashes)-1], Organisation: s.organisation}
		known, held := n.rules[r.id()]
		if held && !known.suspects() {
			continue
		}
		dueAt, due := s.requestDueAt()
		// The next probes tell requests apart that share crashes.
		due = due && (!s.ambiguous || known.Spent >= minAmbiguousProbes)
		suspectAt := crashes[suspectCrashes-1] + settleDelay
		switch {
		case due && dueAt <= now && held:
			n.addRule(known.quarantined(now), e)
		case due && dueAt <= now:
			n.addRule(r.quarantined(now), e)
		case !held && suspectAt <= now:
			r.Until = now + firstProbeDelay
			n.addRule(r, e)
		}
		if due && dueAt > now {
			again = earliest(again, dueAt)
		}
		if !held && suspectAt > now {
			again = earliest(again, suspectAt)
		}
	}
	return again
}
