package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// suspicion collects the failures that speak against a part.
type suspicion struct {
	part PartID
	// proven is set if a VM knows a proof of the part from before the failures.
	proven bool
	// crashes holds the time of the first failure on each engine, runs the failed runs.
	crashes map[uint32]time.Duration
	runs    map[uint32]bool
}

// suspicions returns the suspicion of each part, without the crashes that are explained
// by another part.
func (n *Node) suspicions(now time.Duration, explained map[uint32]bool) map[PartID]*suspicion {
	out := map[PartID]*suspicion{}
	for _, f := range n.failures {
		if explained[f.Engine] {
			continue
		}
		for _, part := range f.Parts {
			if n.provenAfter(part, f.At) {
				continue
			}
			s := out[part]
			if s == nil {
				s = &suspicion{part: part, proven: n.provenAfter(part, now-evidenceLifetime), crashes: map[uint32]time.Duration{}, runs: map[uint32]bool{}}
				out[part] = s
			}
			s.add(f)
		}
	}
	return out
}

func (s *suspicion) add(f Failure) {
	s.runs[f.Run] = true
	if at, known := s.crashes[f.Engine]; !known || f.At < at {
		s.crashes[f.Engine] = f.At
	}
}

// separateCrashes returns the times of the crashes that are crashInterval apart, in
// ascending order.
func (s *suspicion) separateCrashes() []time.Duration {
	var out []time.Duration
	for _, at := range slices.Sorted(maps.Values(s.crashes)) {
		if len(out) == 0 || at-out[len(out)-1] >= crashInterval {
			out = append(out, at)
		}
	}
	return out
}

// required returns the number of crashes that condemn the part.
func (s *suspicion) required() int {
	if s.proven {
		return minCrashesProven
	}
	return minCrashes
}

// condemnedAt returns the time at which the part is condemned if no proof comes before
// it. It returns false if there are too few failures.
func (s *suspicion) condemnedAt() (time.Duration, bool) {
	crashes := s.separateCrashes()
	if len(crashes) < s.required() || len(s.runs) < minRuns {
		return 0, false
	}
	return crashes[s.required()-1] + objectionTime, true
}

// compare orders suspicions by how well they explain the crashes: parts without any
// proof first, then those with the most crashes.
func (s *suspicion) compare(other *suspicion) int {
	if s.proven != other.proven {
		if other.proven {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(len(other.crashes), len(s.crashes)), cmp.Compare(s.part, other.part))
}

// indistinguishable reports whether exactly the same failures speak against two parts.
func (s *suspicion) indistinguishable(other *suspicion) bool {
	return s.proven == other.proven && maps.Equal(s.crashes, other.crashes) && maps.Equal(s.runs, other.runs)
}

// diagnosis is a set of parts that the failures condemn.
type diagnosis struct {
	parts []PartID
	since time.Duration
}

// diagnose returns the parts that the failures condemn at a time, and the time at which
// it must be called again, or 0 if only further failures can change the result. A crash
// speaks against one diagnosis only: the other parts of its runs are explained by it.
func (n *Node) diagnose(now time.Duration) (out []diagnosis, again time.Duration) {
	explained := n.explainedByVerdicts()
	for {
		all := n.suspicions(now, explained)
		var best *suspicion
		for _, s := range all {
			at, due := s.condemnedAt()
			switch {
			case !due:
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
		d := diagnosis{since: best.separateCrashes()[0]}
		for part, s := range all {
			if s.indistinguishable(best) {
				d.parts = append(d.parts, part)
			}
		}
		slices.Sort(d.parts)
		out = append(out, d)
		for engine := range best.crashes {
			explained[engine] = true
		}
	}
}

// explainedByVerdicts returns the engines that crashed under a part that is condemned
// alone. Crashes under a verdict on several parts can still tell these apart.
func (n *Node) explainedByVerdicts() map[uint32]bool {
	out := map[uint32]bool{}
	for _, v := range n.verdicts {
		if len(v.Parts) > 1 {
			continue
		}
		for _, f := range n.failures {
			if v.matches(f.Parts) {
				out[f.Engine] = true
			}
		}
	}
	return out
}
