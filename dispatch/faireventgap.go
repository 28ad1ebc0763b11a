package dispatch

import "time"

const (
	// eventGapFraction is the fraction of the longest event gap allowed that the mean gap
	// may reach. The rest is left for prompts of other runs and for the network.
	eventGapFraction = 0.75
	// eventSamples is the number of first reports of streams from which the tokens per
	// event are learned.
	eventSamples = 64
)

// eventGaps counts the streams of an engine by the longest event gap that their routes
// allow. An event gap is the time between two events of a response. The zero value counts no
// streams.
type eventGaps struct {
	streams  map[time.Duration]int
	shortest time.Duration
}

// change adds or removes a stream. A gap of 0 has no limit.
func (g *eventGaps) change(gap time.Duration, by int) {
	if gap <= 0 {
		return
	}
	if g.streams == nil {
		g.streams = map[time.Duration]int{}
	}
	if g.streams[gap] += by; g.streams[gap] <= 0 {
		delete(g.streams, gap)
	}
	g.shortest = 0
	for x := range g.streams {
		g.shortest = shorterGap(g.shortest, x)
	}
}

// shorterGap returns the shorter of two gaps, of which 0 has no limit.
func shorterGap(a, b time.Duration) time.Duration {
	if a <= 0 || b > 0 && b < a {
		return max(b, 0)
	}
	return a
}

// eventTokens learns the number of tokens per event. The first report of a stream covers one
// event or more, so that the smallest number of many is that of one event.
type eventTokens struct {
	samples int
	// current is the smallest number of the samples that are being collected, last that of
	// the ones before, 0 if there are none.
	current, last int
}

// observe adds the number of tokens in the first report of a stream.
func (t *eventTokens) observe(tokens int) {
	if t.samples == 0 || tokens < t.current {
		t.current = tokens
	}
	if t.samples++; t.samples == eventSamples {
		t.last, t.samples = t.current, 0
	}
}

// perEvent returns the number of tokens per event, or 0 if it is not known yet.
func (t *eventTokens) perEvent() int {
	if t.last > 0 && t.samples > 0 {
		return min(t.last, t.current)
	}
	return t.last
}

// eventGapLimit returns the batch limit of an engine that follows from the longest event gap
// allowed, or false if there is no such limit.
func (f *fairPolicy) eventGapLimit(e *engine, gap time.Duration) (int, bool) {
	gap = shorterGap(gap, e.eventGaps.shortest)
	tokens := f.eventTokens.perEvent()
	if gap <= 0 || tokens == 0 {
		return 0, false
	}
	perToken := time.Duration(eventGapFraction * float64(gap) / float64(tokens))
	return f.tokenGaps.StreamsWithin(perToken, e.relativeTime)
}
