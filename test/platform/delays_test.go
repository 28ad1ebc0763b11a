package platform_test

import (
	"sync"
	"time"
)

// delays records for how long this process stood still.
type delays struct {
	mu      sync.Mutex
	samples []delay
}

type delay struct {
	at     time.Time
	length time.Duration
}

// measure samples the delays until done is closed.
func (d *delays) measure(done <-chan struct{}) {
	const interval = 10 * time.Millisecond
	for {
		due := time.Now().Add(interval)
		select {
		case <-done:
			return
		case <-time.After(interval):
		}
		if late := time.Since(due); late > interval {
			d.mu.Lock()
			d.samples = append(d.samples, delay{at: time.Now(), length: late})
			d.mu.Unlock()
		}
	}
}

// total returns for how much of a time the process stood still.
func (d *delays) total(from, to time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var total time.Duration
	for _, s := range d.samples {
		begin, end := laterOf(s.at.Add(-s.length), from), s.at
		if end.After(to) {
			end = to
		}
		total += max(end.Sub(begin), 0)
	}
	return total
}
