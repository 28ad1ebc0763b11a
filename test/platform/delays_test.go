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

// longest returns the longest delay that fell into a time.
func (d *delays) longest(from, to time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var longest time.Duration
	for _, s := range d.samples {
		if s.at.After(from) && s.at.Add(-s.length).Before(to) {
			longest = max(longest, s.length)
		}
	}
	return longest
}
