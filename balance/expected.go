package balance

import (
	"slices"
	"time"
)

const (
	// reportFade is the age at which a reported load or speed has lost its weight. A report
	// older than that describes a machine whose speed has changed since.
	reportFade = 400 * time.Millisecond
	// maxSlowdown limits the influence of a single report.
	maxSlowdown = 100.0
	// minSlowdown is the counterpart for machines that are faster than usual.
	minSlowdown = 0.1
)

// Speed is what a server reports of itself beside its requests.
type Speed struct {
	// Slots is the number of requests that the server runs concurrently, 0 or less if unknown.
	Slots int
	// Slowdown is the time that work takes relative to the usual time.
	Slowdown float64
}

// ReportSpeed records the speed that a server has reported. From then on requests to it, and
// to servers that are candidates beside it, are placed by expected time.
func (b *Balancer) ReportSpeed(now time.Duration, id string, speed Speed) {
	b.speeds = true
	s := b.state(id)
	s.slowdown, s.slowdownAt = min(max(speed.Slowdown, minSlowdown), maxSlowdown), now
	if speed.Slots > 0 {
		s.slots = speed.Slots
	}
}

// ForgetSpeed records that a server does not report its speed any more.
func (b *Balancer) ForgetSpeed(id string) {
	if s := b.servers[id]; s != nil {
		s.slowdown, s.slots = 0, 0
	}
}

// ReportsSpeed reports whether a server has reported its speed.
func (b *Balancer) ReportsSpeed(id string) bool {
	s := b.servers[id]
	return s != nil && s.slowdown > 0
}

func (b *Balancer) anyReportsSpeed(candidates []Server) bool {
	return b.speeds && slices.ContainsFunc(candidates, func(c Server) bool { return b.ReportsSpeed(c.ID) })
}

// expectedCost is the cost of a server in units of the usual time of a request: the time
// expected until the answer, and what cost adds for its zone and failures.
func (b *Balancer) expectedCost(now time.Duration, c Server) float64 {
	cost := 0.0
	if c.Zone != b.zone {
		cost += crossZoneCost
	}
	s := b.servers[c.ID]
	if s == nil {
		return cost + 1
	}
	cost += s.expectedTime(now, c.Slots) + failureWeight*s.failureRate(now)
	if now < s.ejectedUntil {
		cost += ejectedCost
	}
	return cost
}

// expectedTime returns the time until a server answers a new request, in units of the usual
// time of a request. The work in front consists of the requests of this VM and of those that
// the server has reported beyond them.
func (s *state) expectedTime(now time.Duration, listedSlots int) float64 {
	slots := listedSlots
	if s.slots > 0 {
		slots = s.slots
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	front := float64(s.inFlight) + weight(now-s.reportedAt)*float64(s.others)
	return s.slowdownNow(now) * (1 + front/float64(slots))
}

// slowdownNow returns the reported slowdown, which fades towards the usual speed.
func (s *state) slowdownNow(now time.Duration) float64 {
	if s.slowdown == 0 {
		return 1
	}
	return 1 + (s.slowdown-1)*weight(now-s.slowdownAt)
}

// weight returns the weight of a report of the given age, from 1 to 0.
func weight(age time.Duration) float64 {
	return max(1-float64(max(age, 0))/float64(reportFade), 0)
}

// pickExpected returns the candidate of lower expected cost of two random ones. Many VMs hold
// the same reports: if each compared all servers, all would choose the same one.
func (b *Balancer) pickExpected(now time.Duration, candidates []Server) Server {
	best, other := b.samplePair(b.notEjected(now, candidates))
	if b.expectedCost(now, other) < b.expectedCost(now, best) {
		return other
	}
	return best
}

// notEjected returns the candidates that are not ejected, all if each of them is.
func (b *Balancer) notEjected(now time.Duration, candidates []Server) []Server {
	var out []Server
	for _, c := range candidates {
		if s := b.servers[c.ID]; s == nil || now >= s.ejectedUntil {
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return candidates
	}
	return out
}

// samplePair returns two random candidates, the same one twice if there is no other. The first
// one is in the own zone if any is, and the second one elsewhere if any is: two candidates from
// all zones double the traffic between zones without a shorter wait.
func (b *Balancer) samplePair(candidates []Server) (first, second Server) {
	b.rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	isOwn := func(c Server) bool { return c.Zone == b.zone }
	if own := slices.IndexFunc(candidates, isOwn); own > 0 {
		candidates[0], candidates[own] = candidates[own], candidates[0]
	}
	first, rest := candidates[0], candidates[1:]
	if len(rest) == 0 {
		return first, first
	}
	if other := slices.IndexFunc(rest, func(c Server) bool { return !isOwn(c) }); other >= 0 {
		return first, rest[other]
	}
	return first, rest[0]
}

// Stale returns a random candidate whose reports have faded, and false if there is none. A
// candidate that has a request of this VM is left out, since its answer holds a report. Nothing
// is stale unless a candidate reports its speed.
func (b *Balancer) Stale(now time.Duration, candidates []Server) (Server, bool) {
	if !b.anyReportsSpeed(candidates) {
		return Server{}, false
	}
	var stale []Server
	for _, c := range candidates {
		s := b.servers[c.ID]
		if s == nil || s.inFlight == 0 && (s.slowdown == 0 || now-s.slowdownAt >= reportFade) {
			stale = append(stale, c)
		}
	}
	if len(stale) == 0 {
		return Server{}, false
	}
	return stale[b.rand.IntN(len(stale))], true
}
