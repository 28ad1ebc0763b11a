// Package balance selects a backend server for each request to a plain service.
// It scores servers by what this VM has observed of them: requests in flight,
// the load that they report in their answers, and failures. It does no network
// I/O, and the current time is always an argument.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Server is a backend server that may be picked for a request.
type Server struct {
	ID   string
	Zone string
	// Slots is the number of requests that the server runs concurrently, 0 if unknown.
	Slots int
}

// Result is the result of sending a request to a server.
type Result int

const (
	// Answered means that the server returned a usable answer.
	Answered Result = iota
	// Failed means that the server returned an error.
	Failed
	// Refused means that the server rejected the request because it was overloaded.
	Refused
	// Unreachable means that there was no connection or no answer, or that
	// another server answered at the address.
	Unreachable
	// Inconclusive means that the attempt ended for a reason unrelated to the
	// server.
	Inconclusive
)

// Terms of the cost of a server. The load term of a server without free slots is 1.
const (
	// crossZoneCost is added for servers in other zones, since traffic between
	// zones costs money. A server in the own zone is preferred to an idle one
	// elsewhere until half of its slots are in use.
	crossZoneCost = 0.5
	// failureWeight is added for a server that fails every request.
	failureWeight = 3.0
	// failureSmoothing is the weight of a new result in the moving average of
	// failures.
	failureSmoothing = 0.2
	// loadReportTTL is how long a reported load is taken into account.
	loadReportTTL = time.Second
	// defaultSlots is assumed for servers whose number of slots is unknown.
	defaultSlots = 4
	// sampleSize limits the number of servers compared for one request.
	sampleSize = 8
	// failureHalfLife is the time after which the failure rate of a server
	// without requests is halved, so that it is tried again.
	failureHalfLife = 4 * time.Second
)

// Durations of the ejection of an unreachable server. Each further ejection
// lasts twice as long, until the server answers again.
const (
	ejectionMin = 500 * time.Millisecond
	ejectionMax = 4 * time.Second
)

type state struct {
	inFlight int
	// running is the last reported number of requests at the server, including
	// queued ones.
	running    int
	reportedAt time.Duration
	// others is the part of running that were not requests of this VM.
	others int
	// slowdown and slots are as in Speed, 0 if the server has not reported them.
	slowdown   float64
	slots      int
	slowdownAt time.Duration
	failures   float64
	failedAt   time.Duration
	// ejection is the duration of the last ejection, which ends at ejectedUntil.
	ejection     time.Duration
	ejectedUntil time.Duration
	usedAt       time.Duration
}

// Balancer tracks the load and failures of servers and picks one for each
// request. It is not safe for concurrent use.
type Balancer struct {
	zone    string
	rand    *rand.Rand
	servers map[string]*state
	// speeds is set once a server has reported its speed.
	speeds bool
}

// New returns a Balancer for a VM in the given zone.
func New(zone string, seed uint64) *Balancer {
	return &Balancer{zone: zone, rand: rand.New(rand.NewPCG(seed, 0)), servers: map[string]*state{}}
}

// Pick returns the candidate with the lowest cost in a random sample, or false
// if all candidates are excluded. An ejected server is picked only if the sample
// holds no other.
func (b *Balancer) Pick(now time.Duration, candidates []Server, excluded []string) (Server, bool) {
	eligible := make([]Server, 0, len(candidates))
	for _, c := range candidates {
		if !slices.Contains(excluded, c.ID) {
			eligible = append(eligible, c)
		}
	}
	if len(eligible) == 0 {
		return Server{}, false
	}
	if b.anyReportsSpeed(eligible) {
		return b.pickExpected(now, eligible), true
	}
	b.rand.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	eligible = eligible[:min(len(eligible), sampleSize)]
	best, bestCost := 0, b.cost(now, eligible[0])
	for i, c := range eligible[1:] {
		if cost := b.cost(now, c); cost < bestCost {
			best, bestCost = i+1, cost
		}
	}
	return eligible[best], true
}

// ejectedCost exceeds the cost of any server that is not ejected.
const ejectedCost = 1000

func (b *Balancer) cost(now time.Duration, c Server) float64 {
	cost := 0.0
	if c.Zone != b.zone {
		cost += crossZoneCost
	}
	s := b.servers[c.ID]
	if s == nil {
		return cost
	}
	slots := c.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	load := s.inFlight
	if now-s.reportedAt < loadReportTTL {
		load = max(load, s.running)
	}
	cost += float64(load) / float64(slots)
	cost += failureWeight * s.failureRate(now)
	if now < s.ejectedUntil {
		cost += ejectedCost
	}
	return cost
}

func (s *state) failureRate(now time.Duration) float64 {
	rate := s.failures
	for age := now - s.failedAt; age >= failureHalfLife && rate > 0.01; age -= failureHalfLife {
		rate /= 2
	}
	return rate
}

func (b *Balancer) state(id string) *state {
	s := b.servers[id]
	if s == nil {
		s = &state{}
		b.servers[id] = s
	}
	return s
}

// Start records that a request is sent to a server.
func (b *Balancer) Start(now time.Duration, id string) {
	s := b.state(id)
	s.inFlight++
	s.usedAt = now
}

// Report records the load that a server has reported.
func (b *Balancer) Report(now time.Duration, id string, running int) {
	s := b.state(id)
	s.running, s.reportedAt = running, now
	s.others = max(running-s.inFlight, 0)
}

// Finish records the result of a request that Start announced.
func (b *Balancer) Finish(now time.Duration, id string, result Result) {
	s := b.state(id)
	s.inFlight = max(s.inFlight-1, 0)
	switch result {
	case Answered:
		s.failures = s.failureRate(now) * (1 - failureSmoothing)
		s.failedAt = now
		s.ejection, s.ejectedUntil = 0, 0
	case Failed, Refused:
		s.failures = s.failureRate(now)*(1-failureSmoothing) + failureSmoothing
		s.failedAt = now
	case Unreachable:
		s.failures = s.failureRate(now)*(1-failureSmoothing) + failureSmoothing
		s.failedAt = now
		s.ejection = min(max(2*s.ejection, ejectionMin), ejectionMax)
		s.ejectedUntil = now + s.ejection
	case Inconclusive:
	}
}

// Retain removes the state of servers that are no longer listed and have no
// request in flight.
func (b *Balancer) Retain(listed func(id string) bool) {
	for id, s := range b.servers {
		if s.inFlight == 0 && !listed(id) {
			delete(b.servers, id)
		}
	}
}
