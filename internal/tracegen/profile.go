// Package tracegen generates traces for replays. The same profile and seed give
// the same trace.
package tracegen

// route describes one kind of request of a tenant.
type route struct {
	name string
	// fraction is the fraction of an organisation's requests on this route.
	fraction float64
	// promptMedian is in tokens, without the organisation's prefix.
	promptMedian, promptSigma float64
	// outputMedian is in tokens.
	outputMedian, outputSigma float64
}

// organisation is a customer of a tenant.
type organisation struct {
	name string
	// demand is its relative rate of requests, weight its relative entitlement.
	demand, weight float64
	// prefixTokens is the length of the prefix shared by its prompts.
	prefixTokens int
	// lengthFactor scales its output lengths, longRouteFactor scales the fraction of its requests
	// on the long route, relative to the profile.
	lengthFactor, longRouteFactor float64
}

// Profile describes the workload of a tenant. The prompts of short and long
// routes overlap and share the organisation's prefix, so that the length of an
// output cannot be predicted on arrival.
type Profile struct {
	Tenant       string
	Model        string
	Engines      int
	OneWayMicros int64
	routes       []route
	orgs         []organisation
	// weights of stall time, preemptions and inter-token latency.
	weights [3]float64
}

// Profiles returns the profiles by tenant name.
func Profiles() map[string]Profile {
	a, b := rafmagnstilbod(), fellos()
	return map[string]Profile{a.Tenant: a, b.Tenant: b}
}

// rafmagnstilbod mixes short panel lookups with long quote drafts.
func rafmagnstilbod() Profile {
	return Profile{
		Tenant: "rafmagnstilbod", Model: "quote-7b", Engines: 14, OneWayMicros: 500,
		routes: []route{
			{name: "lookup", fraction: 0.65, promptMedian: 300, promptSigma: 0.7, outputMedian: 45, outputSigma: 0.6},
			{name: "quote", fraction: 0.35, promptMedian: 450, promptSigma: 0.7, outputMedian: 600, outputSigma: 0.9},
		},
		orgs:    organisations("raf", 352),
		weights: [3]float64{3, 1, 1},
	}
}

// fellos mixes short questions with long specifications.
func fellos() Profile {
	return Profile{
		Tenant: "fellos", Model: "spec-13b", Engines: 12, OneWayMicros: 1500,
		routes: []route{
			{name: "question", fraction: 0.7, promptMedian: 250, promptSigma: 0.8, outputMedian: 70, outputSigma: 0.7},
			{name: "specification", fraction: 0.3, promptMedian: 500, promptSigma: 0.8, outputMedian: 1000, outputSigma: 0.8},
		},
		orgs:    organisations("fel", 512),
		weights: [3]float64{1, 1, 3},
	}
}

// organisations returns ten organisations, three of them large.
func organisations(prefix string, prefixTokens int) []organisation {
	orgs := []organisation{
		{demand: 8, weight: 4, lengthFactor: 1.0, longRouteFactor: 1.0},
		{demand: 6, weight: 4, lengthFactor: 1.3, longRouteFactor: 1.2},
		{demand: 5, weight: 3, lengthFactor: 0.8, longRouteFactor: 0.9},
		{demand: 2, weight: 1, lengthFactor: 1.6, longRouteFactor: 1.4},
		{demand: 2, weight: 1, lengthFactor: 0.7, longRouteFactor: 0.6},
		{demand: 1.5, weight: 1, lengthFactor: 1.0, longRouteFactor: 1.0},
		{demand: 1.5, weight: 1, lengthFactor: 2.0, longRouteFactor: 0.5},
		{demand: 1, weight: 1, lengthFactor: 0.6, longRouteFactor: 1.6},
		{demand: 1, weight: 1, lengthFactor: 1.2, longRouteFactor: 0.3},
		{demand: 0.5, weight: 1, lengthFactor: 1.0, longRouteFactor: 1.0},
	}
	for i := range orgs {
		orgs[i].name = prefix + "-" + string(rune('a'+i))
		orgs[i].prefixTokens = prefixTokens + 64*(i%4)
	}
	return orgs
}
