package tracegen

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/enginemodel"
	"github.com/vanillaarch/vanillaarch/replay"
)

// Parameters of the capacity measurement.
const (
	capacitySeed = 7
	// capacityWarmup and capacityEnd delimit the measurement interval.
	capacityWarmup = 100 * time.Second
	capacityEnd    = 1100 * time.Second
	// capacityRate is the number of requests per second in the sample.
	capacityRate = 20
)

// Capacity is the throughput of one engine with the request mix of a tenant,
// measured in a closed loop: each of a fixed number of concurrent requests is
// replaced when it ends.
type Capacity struct {
	TokensPerSecond   float64
	RequestsPerSecond float64
	// Concurrency is the number of concurrent requests in the measurement.
	Concurrency int
	Preemptions int64
}

func (c Capacity) String() string {
	return fmt.Sprintf("%.1f tokens/s and %.3f requests/s per engine, measured with %d requests in a closed loop",
		c.TokensPerSecond, c.RequestsPerSecond, c.Concurrency)
}

// MeasureCapacity runs one engine model in a closed loop at several numbers of
// concurrent requests. It returns all results, the best one first.
func MeasureCapacity(p Profile, s enginemodel.Settings) ([]Capacity, error) {
	sample := p.sample()
	mean := 0.0
	for _, a := range sample {
		mean += float64(a.Tokens) / float64(len(sample))
	}
	var results []Capacity
	for n := 8; n <= 64; n += 4 {
		e, err := enginemodel.New(s)
		if err != nil {
			return nil, err
		}
		tokens := closedLoop(e, s, sample, n)
		rate := float64(tokens) / (capacityEnd - capacityWarmup).Seconds()
		results = append(results, Capacity{
			TokensPerSecond: rate, RequestsPerSecond: rate / mean, Concurrency: n, Preemptions: e.Preemptions(),
		})
	}
	slices.SortStableFunc(results, func(a, b Capacity) int { return cmp.Compare(b.TokensPerSecond, a.TokensPerSecond) })
	return results, nil
}

// sample returns requests of the tenant's mix in order of arrival.
func (p Profile) sample() []replay.Arrival {
	var list []replay.Arrival
	for _, org := range p.orgs {
		g := newGenerator(p, org, capacitySeed, "capacity")
		list = append(list, g.arrivals(0, capacityEnd, capacityRate*org.demand/p.totalDemand())...)
	}
	sortByArrival(list)
	return list
}

// closedLoop keeps n requests at an engine and returns the tokens produced
// between the warm-up and the end.
func closedLoop(e *enginemodel.Engine, s enginemodel.Settings, sample []replay.Arrival, n int) int {
	start := time.Unix(0, 0)
	next, tokens := 0, 0
	startNext := func(now time.Time) {
		a := sample[next%len(sample)]
		e.Start(now, enginemodel.Spec{
			ID: fmt.Sprint(next), PromptTokens: a.PromptTokens, Prefix: replay.PrefixHashes(&a, next, s.BlockTokens), Length: a.Tokens,
		})
		next++
	}
	for range n {
		startNext(start)
	}
	for {
		due, ok := e.Due()
		if !ok || due.Sub(start) > capacityEnd {
			return tokens
		}
		e.Advance(due, func(ev enginemodel.Event) {
			if ev.Kind == enginemodel.KindToken && due.Sub(start) > capacityWarmup {
				tokens++
			}
			if ev.Last {
				e.Cancel(due, ev.ID)
				startNext(due)
			}
		})
	}
}
