package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// crash is a set of failures on one server that follow each other closely.
type crash struct {
	server uint32
	// at is the time of the first failure.
	at time.Duration
}

// crashesOf returns the crash to which each failure belongs. A server may crash again
// before its entry shows that it has started again.
func crashesOf(failures []Failure) []crash {
	out := make([]crash, len(failures))
	latest := map[uint32]crash{}
	for _, i := range inOrderOfTime(failures) {
		f := failures[i]
		c, known := latest[f.Server]
		if !known || f.At-c.at >= crashInterval {
			c = crash{server: f.Server, at: f.At}
			latest[f.Server] = c
		}
		out[i] = c
	}
	return out
}

// inOrderOfTime returns the indices of failures in the order of their times.
func inOrderOfTime(failures []Failure) []int {
	order := make([]int, len(failures))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(failures[i].At, failures[j].At) })
	return order
}

// suspicion collects the failures that speak against a part or a whole request.
type suspicion struct {
	key Key
	// organisation is that of all failures, 0 if there are several.
	organisation uint32
	// succeeded is set if a success before the failures is known.
	succeeded bool
	crashes   map[crash]bool
	runs      map[uint32]bool
	// ambiguous is set if much the same crashes speak against another whole request.
	ambiguous bool
}

// suspicions returns the suspicion of each key that kind accepts, without the crashes that
// are explained by another one. crashes holds the crash of each failure.
func (n *Node) suspicions(now time.Duration, crashes []crash, explained map[crash]bool, kind func(Key) bool) map[Key]*suspicion {
	out := map[Key]*suspicion{}
	for i, f := range n.failures {
		if explained[crashes[i]] {
			continue
		}
		for _, key := range f.Keys {
			if !kind(key) || n.succeededAfter(key, f.At) || !key.IsWhole() && now-f.At > evidenceLifetime {
				continue
			}
			s := out[key]
			if s == nil {
				s = &suspicion{
					key: key, organisation: f.Organisation, succeeded: n.succeededAfter(key, now-evidenceLifetime),
					crashes: map[crash]bool{}, runs: map[uint32]bool{},
				}
				out[key] = s
			}
			if s.organisation != f.Organisation {
				s.organisation = 0
			}
			s.crashes[crashes[i]] = true
			s.runs[f.Run] = true
		}
	}
	return out
}

// separateCrashes returns the times of the crashes that are crashInterval apart, in
// ascending order.
func (s *suspicion) separateCrashes() []time.Duration {
	var times, out []time.Duration
	for c := range s.crashes {
		times = append(times, c.at)
	}
	slices.Sort(times)
	for _, at := range times {
		if len(out) == 0 || at-out[len(out)-1] >= crashInterval {
			out = append(out, at)
		}
	}
	return out
}

// servers returns the number of servers that crashed.
func (s *suspicion) servers() int {
	seen := map[uint32]bool{}
	for c := range s.crashes {
		seen[c.server] = true
	}
	return len(seen)
}

// required returns the number of crashes after which the part or request is quarantined.
func (s *suspicion) required() int {
	if s.succeeded {
		return minCrashesAfterSuccess
	}
	return minCrashes
}

// compare orders suspicions by how well they explain the crashes: those without any success
// first, then those with the most crashes.
func (s *suspicion) compare(other *suspicion) int {
	if s.succeeded != other.succeeded {
		if other.succeeded {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(len(other.crashes), len(s.crashes)), cmp.Compare(s.key, other.key))
}
