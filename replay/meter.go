package replay

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// meter collects the metrics of a replay.
type meter struct {
	opts  Options
	end   time.Time
	total *tally
	orgs  map[string]*tally
}

// tally accumulates the metrics of one organisation's requests, or of all requests.
type tally struct {
	tenant, organisation string
	weight               float64
	requests             int
	outcomes             [outcomeUnfinished + 1]int
	preemptions          int
	// rejections counts rejected submissions; one request can have several.
	rejections        int
	resumes, restarts int
	// windowTokens counts tokens delivered during the arrival period, tokens all.
	windowTokens, tokens    int64
	firstToken, stalls, gap *hdrhistogram.Histogram
}

func newTally(tenant, organisation string) *tally {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
	return &tally{tenant: tenant, organisation: organisation, firstToken: h(), stalls: h(), gap: h()}
}

func newMeter(t *Trace, o Options) *meter {
	m := &meter{opts: o, end: epoch.Add(t.Header.duration()), total: newTally("", ""), orgs: map[string]*tally{}}
	m.total.weight = 1
	for _, s := range t.Header.Shares {
		sum := 0.0
		for _, org := range sortedKeys(s.Organisations) {
			sum += s.Organisations[org]
		}
		for org, weight := range s.Organisations {
			m.orgs[org] = newTally(s.Tenant, org)
			m.orgs[org].weight = s.Share * weight / sum
		}
	}
	for i := range t.Arrivals {
		a := &t.Arrivals[i]
		if m.orgs[a.Organisation] == nil {
			m.orgs[a.Organisation] = newTally(a.Tenant, a.Organisation)
		}
		m.orgs[a.Organisation].requests++
		m.total.requests++
	}
	return m
}

// updateTallies calls f for the total and for the organisation of a request.
func (m *meter) updateTallies(q *request, f func(*tally)) {
	f(m.total)
	f(m.orgs[q.arrival.Organisation])
}

func (m *meter) preempted(q *request) { m.updateTallies(q, func(t *tally) { t.preemptions++ }) }
func (m *meter) rejected(q *request)  { m.updateTallies(q, func(t *tally) { t.rejections++ }) }
func (m *meter) resumed(q *request)   { m.updateTallies(q, func(t *tally) { t.resumes++ }) }
func (m *meter) restarted(q *request) { m.updateTallies(q, func(t *tally) { t.restarts++ }) }

// token records the delivery of a token to a caller. It must be called before the
// offset and lastData of the request are updated.
func (m *meter) token(q *request, at time.Time) {
	wait := at.Sub(q.lastData)
	if q.offset == 0 || wait >= m.opts.StallThreshold {
		q.stallTime += wait
	}
	org := m.orgs[q.arrival.Organisation]
	for _, t := range [...]*tally{m.total, org} {
		if q.offset == 0 {
			record(t.firstToken, wait)
		} else {
			record(t.gap, wait)
		}
		t.tokens++
		if !at.After(m.end) {
			t.windowTokens++
		}
	}
}

// ended records the end of a request. The wait before a failure counts as stall
// time, and so does the wait of a rejected caller until it gives up, so that a
// policy cannot improve its stall time by rejecting requests.
func (m *meter) ended(q *request, o requestOutcome, now time.Time) {
	if wait := now.Sub(q.lastData); o != outcomeComplete && (q.offset == 0 || wait >= m.opts.StallThreshold) {
		q.stallTime += wait
	}
	m.updateTallies(q, func(t *tally) {
		t.outcomes[o]++
		record(t.stalls, q.stallTime)
	})
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 0), histogramMax)) // in range, never fails
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
