// Package stillness measures for how long a process stood still, so that tests can tell a program
// that waits from a machine that does not run it.
package stillness

import (
	"sync"
	"time"
)

const (
	// period is the time between two readings of the clock.
	period = 5 * time.Millisecond
	// tolerance is the delay of a reading that is not counted, since timers are late by up to some
	// milliseconds on an idle machine as well.
	tolerance = 5 * time.Millisecond
)

// interval is a time in which the process did not run.
type interval struct{ from, to time.Time }

// Meter records when its process stood still. It is safe for concurrent use.
type Meter struct {
	end  chan struct{}
	done sync.WaitGroup

	mu sync.Mutex
	// last is the last reading of the clock.
	last      time.Time
	intervals []interval
}

// Start returns a Meter that measures until Stop is called.
func Start() *Meter {
	m := &Meter{end: make(chan struct{}), last: time.Now()}
	m.done.Go(m.run)
	return m
}

func (m *Meter) run() {
	timer := time.NewTimer(period)
	defer timer.Stop()
	for {
		select {
		case <-m.end:
			return
		case <-timer.C:
		}
		m.record(time.Now())
		timer.Reset(period)
	}
}

// record adopts a reading of the clock. The process stood still for what exceeds the period since the last one.
func (m *Meter) record(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if due := m.last.Add(period); now.Sub(due) > tolerance {
		m.intervals = append(m.intervals, interval{due, now})
	}
	m.last = now
}

// Stop ends the measurement.
func (m *Meter) Stop() {
	close(m.end)
	m.done.Wait()
}

// Between returns for how long the process stood still between two times.
func (m *Meter) Between(from, to time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var total time.Duration
	for _, i := range append(m.intervals[:len(m.intervals):len(m.intervals)], m.current()) {
		total += max(earlier(i.to, to).Sub(later(i.from, from)), 0)
	}
	return total
}

// current returns the interval that has not ended, which is empty if the next reading is not late.
func (m *Meter) current() interval {
	now, due := time.Now(), m.last.Add(period)
	if now.Sub(due) <= tolerance {
		return interval{due, due}
	}
	return interval{due, now}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
