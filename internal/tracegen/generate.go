package tracegen

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaarch/vanillaarch/replay"
)

// Bounds of prompt and output lengths, in tokens.
const (
	maxPrompt = 4000
	maxOutput = 8000
	minTokens = 8
)

// The arrival rate of an organisation is multiplied by a log-normal factor, drawn
// anew for each window.
const (
	burstWindow = 10 * time.Second
	burstSigma  = 0.35
)

// Flood adds requests of one organisation.
type Flood struct {
	Organisation string
	From, Until  time.Duration
	// Load is the added load, as a fraction of the engines' capacity.
	Load float64
}

// Options are the parameters of a trace.
type Options struct {
	Name     string
	Seed     uint64
	Duration time.Duration
	// Load is the demand of the arrivals, as a fraction of the engines' capacity.
	Load   float64
	Flood  *Flood
	Faults []replay.Fault
}

// durationMargin multiplies the duration for which arrivals are generated. Output
// lengths are heavy-tailed, so the expected number of arrivals may not reach the load.
const durationMargin = 1.5

// Generate returns a trace whose true output lengths add up to the load, times the
// capacity of the engines, times the duration. The arrivals of each organisation
// come from a separate random source, so that a flood does not change the others.
func Generate(p Profile, c Capacity, o Options) *replay.Trace {
	t := &replay.Trace{Faults: o.Faults, Header: replay.Header{
		Name: o.Name, Model: p.Model, Engines: p.Engines, DurationMS: o.Duration.Milliseconds(),
		OneWayMicros: p.OneWayMicros, Seed: o.Seed, Shares: p.shares(),
		Note: fmt.Sprintf("load %.2f of %s", o.Load, c),
	}}
	t.Arrivals = p.baseArrivals(c, o)
	if o.Flood != nil {
		t.Arrivals = append(t.Arrivals, p.floodArrivals(c, o)...)
	}
	sortByArrival(t.Arrivals)
	return t
}

func sortByArrival(list []replay.Arrival) {
	slices.SortStableFunc(list, func(a, b replay.Arrival) int { return cmp.Compare(a.AtMicros, b.AtMicros) })
}

// baseArrivals generates the requests of all organisations. It truncates them where the
// load is reached and scales their arrival times to the duration.
func (p Profile) baseArrivals(c Capacity, o Options) []replay.Arrival {
	rate := o.Load * c.RequestsPerSecond * float64(p.Engines)
	var list []replay.Arrival
	for _, org := range p.orgs {
		g := newGenerator(p, org, o.Seed, "base")
		until := time.Duration(durationMargin * float64(o.Duration))
		list = append(list, g.arrivals(0, until, rate*org.demand/p.totalDemand())...)
	}
	sortByArrival(list)
	tokens, target := 0, int(o.Load*c.TokensPerSecond*float64(p.Engines)*o.Duration.Seconds())
	for i := range list {
		if tokens += list[i].Tokens; tokens >= target {
			list = list[:i+1]
			break
		}
	}
	stretch := float64(o.Duration.Microseconds()) / float64(list[len(list)-1].AtMicros)
	for i := range list {
		list[i].AtMicros = int64(float64(list[i].AtMicros) * stretch)
	}
	return list
}

// floodArrivals generates the added requests of one organisation.
func (p Profile) floodArrivals(c Capacity, o Options) []replay.Arrival {
	for _, org := range p.orgs {
		if org.name == o.Flood.Organisation {
			rate := o.Flood.Load * c.RequestsPerSecond * float64(p.Engines)
			return newGenerator(p, org, o.Seed, "flood").arrivals(o.Flood.From, o.Flood.Until, rate)
		}
	}
	return nil
}

func (p Profile) totalDemand() float64 {
	sum := 0.0
	for _, o := range p.orgs {
		sum += o.demand
	}
	return sum
}

func (p Profile) shares() []replay.TenantShare {
	s := replay.TenantShare{
		Tenant: p.Tenant, Share: 1, Organisations: map[string]float64{},
		StallTime: p.weights[0], Preemptions: p.weights[1], InterTokenLatency: p.weights[2],
	}
	for _, o := range p.orgs {
		s.Organisations[o.name] = o.weight
	}
	return []replay.TenantShare{s}
}

// generator generates the requests of one organisation.
type generator struct {
	profile Profile
	org     organisation
	rand    *rand.Rand
}

func newGenerator(p Profile, o organisation, seed uint64, purpose string) *generator {
	return &generator{profile: p, org: o, rand: rand.New(rand.NewPCG(seed, xxhash.Sum64String(o.name+"/"+purpose)))}
}

// arrivals generates a Poisson process whose rate varies around a mean, in requests
// per second.
func (g *generator) arrivals(from, until time.Duration, rate float64) []replay.Arrival {
	var list []replay.Arrival
	for window := from; window < until; window += burstWindow {
		end := min(window+burstWindow, until)
		// Subtracting half the variance gives the factor a mean of 1.
		factor := math.Exp(g.rand.NormFloat64()*burstSigma - burstSigma*burstSigma/2)
		for at := window; ; {
			at += time.Duration(g.rand.ExpFloat64() / (rate * factor) * float64(time.Second))
			if at >= end {
				break
			}
			list = append(list, g.arrival(at))
		}
	}
	return list
}

func (g *generator) arrival(at time.Duration) replay.Arrival {
	long := &g.profile.routes[1]
	r := &g.profile.routes[0]
	if g.rand.Float64() < long.fraction*g.org.longRouteFactor {
		r = long
	}
	own := g.lognormal(r.promptMedian, r.promptSigma, maxPrompt)
	return replay.Arrival{
		AtMicros: at.Microseconds(), Tenant: g.profile.Tenant, Organisation: g.org.name, Route: r.name, Model: g.profile.Model,
		PromptTokens: g.org.prefixTokens + own, Prefix: g.org.name, PrefixTokens: g.org.prefixTokens,
		MaxTokens: maxOutput,
		Tokens:    g.lognormal(r.outputMedian*g.org.lengthFactor, r.outputSigma, maxOutput),
	}
}

func (g *generator) lognormal(median, sigma float64, limit int) int {
	x := int(median * math.Exp(g.rand.NormFloat64()*sigma))
	return min(max(x, minTokens), limit)
}
