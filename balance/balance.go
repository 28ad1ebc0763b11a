// Package balance chooses the plain backend server that gets a request, from
// what this VM has seen of the servers: requests in progress, the load that
// their answers tell, and failures. It needs no network, and time enters only
// as an argument.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Server is a candidate.
type Server struct {
	ID   string
	Zone string
	// Slots is the number of requests that the server works on at once, 0 if unknown.
	Slots int
}

// Outcome is how an attempt at a server ended.
type Outcome int

const (
	// Answered means that the server gave a usable answer.
	Answered Outcome = iota
	// Failed means that the server answered with a failure.
	Failed
	// Refused means that the server was too busy.
	Refused
	// Unreachable means that there was no answer or no connection.
	Unreachable
	// Inconclusive means that the attempt ended for a reason that says nothing
	// about the server.
	Inconclusive
)

// Weights of the cost of a server. The cost of a full server is 1.
const (
	// crossZoneCost is the cost of bytes between zones, paid rather than queueing
	// behind half of the slots.
	crossZoneCost = 0.5
	// failureWeight is the cost of a server that always fails.
	failureWeight = 3.0
	// failureSmoothing is the weight of a new outcome in the rate of failures.
	failureSmoothing = 0.2
	// loadReportTTL is how long a told load counts.
	loadReportTTL = time.Second
	// defaultSlots applies to servers that tell no number.
	defaultSlots = 4
	// sampleSize bounds the servers that are compared for one request.
	sampleSize = 8
	// failureHalfLife halves the rate of failures of a server that gets no
	// requests, so that it gets some again.
	failureHalfLife = 4 * time.Second
)

// Ejection of silent servers.
const (
	ejectionMin = 500 * time.Millisecond
	ejectionMax = 4 * time.Second
)

type state struct {
	inFlight int
	// running is the number of requests that the server told, waiting ones included.
	running    int
	reportedAt time.Duration
	failures   float64
	failedAt   time.Duration
	// ejection is the length of the last ejection, which ends at ejectedUntil.
	ejection     time.Duration
	ejectedUntil time.Duration
	usedAt       time.Duration
}

// Balancer holds what is known of servers. It is not safe for concurrent use.
type Balancer struct {
	zone    string
	rand    *rand.Rand
	servers map[string]*state
}

// New returns a balancer of a VM in a zone.
func New(zone string, seed uint64) *Balancer {
	return &Balancer{zone: zone, rand: rand.New(rand.NewPCG(seed, 0)), servers: map[string]*state{}}
}

// Pick returns the candidate with the lowest cost. It returns false if all are
// excluded. Ejected servers are chosen only if there is no other.
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

// ejectedCost is above the cost of any server that is not ejected.
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

// Start notes that a request goes to a server.
func (b *Balancer) Start(now time.Duration, id string) {
	s := b.state(id)
	s.inFlight++
	s.usedAt = now
}

// Report notes the load that a server told.
func (b *Balancer) Report(now time.Duration, id string, running int) {
	s := b.state(id)
	s.running, s.reportedAt = running, now
}

// Finish notes the outcome of a request.
func (b *Balancer) Finish(now time.Duration, id string, o Outcome) {
	s := b.state(id)
	s.inFlight = max(s.inFlight-1, 0)
	switch o {
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

// Retain forgets servers that are no longer listed.
func (b *Balancer) Retain(listed func(id string) bool) {
	for id, s := range b.servers {
		if s.inFlight == 0 && !listed(id) {
			delete(b.servers, id)
		}
	}
}
