package quarantine

import (
	"maps"
	"slices"
	"time"
)

// isPart reports whether a key is that of a part of prompts.
func isPart(key Key) bool { return !key.IsWhole() }

// partDueAt returns the time at which the part is quarantined if no success comes before
// it. It returns false if there are too few failures.
func (s *suspicion) partDueAt() (time.Duration, bool) {
	crashes := s.separateCrashes()
	if len(crashes) < s.required() || len(s.runs) < minRuns || s.servers() < minServers {
		return 0, false
	}
	return crashes[s.required()-1] + settleDelay, true
}

// indistinguishable reports whether exactly the same failures speak against two parts.
func (s *suspicion) indistinguishable(other *suspicion) bool {
	return s.succeeded == other.succeeded && maps.Equal(s.crashes, other.crashes) && maps.Equal(s.runs, other.runs)
}

// diagnosis is a set of parts that must be quarantined together.
type diagnosis struct {
	parts        []Key
	since        time.Duration
	organisation uint32
}

// diagnose returns the parts that must be quarantined now, and the time at which it must
// be called again, or 0 if only further failures can change the result. A crash counts
// for one diagnosis only, which explains it for the other parts of its runs. If the runs of
// one whole request were in all crashes of a part, they speak against that request only.
func (n *Node) diagnose(now time.Duration, crashes []crash) (out []diagnosis, again time.Duration) {
	explained := n.explainedByRules(crashes)
	parts := n.suspicions(now, crashes, nil, isPart)
	requests := n.suspicions(now, crashes, nil, Key.IsWhole)
	for {
		all := n.suspicions(now, crashes, explained, isPart)
		var best *suspicion
		for _, s := range all {
			at, due := s.partDueAt()
			switch {
			case !due || isOneRequest(parts[s.key], requests):
			case at > now:
				if again == 0 || at < again {
					again = at
				}
			case best == nil || s.compare(best) < 0:
				best = s
			}
		}
		if best == nil {
			return out, again
		}
		d := diagnosis{since: best.separateCrashes()[0], organisation: best.organisation}
		for part, s := range all {
			if s.indistinguishable(best) {
				d.parts = append(d.parts, part)
			}
		}
		slices.Sort(d.parts)
		out = append(out, d)
		maps.Copy(explained, best.crashes)
	}
}

// isOneRequest reports whether one whole request was in all crashes of a part.
func isOneRequest(part *suspicion, requests map[Key]*suspicion) bool {
	for _, r := range requests {
		if r.includes(part) {
			return true
		}
	}
	return false
}

// includes reports whether all crashes of another suspicion are also crashes of this one.
func (s *suspicion) includes(other *suspicion) bool {
	if len(other.crashes) > len(s.crashes) {
		return false
	}
	for c := range other.crashes {
		if !s.crashes[c] {
			return false
		}
	}
	return true
}

// explainedByRules returns the crashes that a rule on a single part explains. Those of a
// rule on several parts can still tell these apart.
func (n *Node) explainedByRules(crashes []crash) map[crash]bool {
	out := map[crash]bool{}
	for _, r := range n.rules {
		if len(r.Keys) > 1 || r.onRequest() {
			continue
		}
		for i, f := range n.failures {
			if r.matches(f.Keys) {
				out[crashes[i]] = true
			}
		}
	}
	return out
}
