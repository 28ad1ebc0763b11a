package streamorigin

import (
	"time"

	"github.com/vanillaarch/vanillaarch/kv"
)

// batchEntry is an entry in a write, in the state that is written.
type batchEntry struct {
	*entry
	attempt int
	passed  bool
	first   bool
}

// heldLease is a lease for new records.
type heldLease struct {
	id kv.LeaseID
	// until is when it is no longer used, and lifetime the longest lifetime that it covers then.
	until, lifetime time.Duration
}

// trim removes the entries at the head of a queue that need no write any more.
func (m *machine) trim(now time.Duration, queue []*entry, wanted func(*entry) bool) []*entry {
	for len(queue) > 0 {
		e := queue[0]
		if now >= e.until {
			m.remove(e)
		}
		if wanted(e) {
			break
		}
		_, queue = pop(queue)
	}
	return queue
}

// takeBatch begins a write.
func (m *machine) takeBatch(now time.Duration) []kv.Put {
	m.batch = nil
	var puts []kv.Put
	take := func(queue []*entry, wanted func(*entry) bool, limit int) []*entry {
		for len(queue) > 0 && len(puts) < limit {
			var e *entry
			e, queue = pop(queue)
			if now >= e.until {
				m.remove(e)
			}
			if e.inBatch || !wanted(e) {
				continue
			}
			d := document{
				Request: e.request, Writer: e.writer, Attempt: e.attempt, Version: e.origin.Version,
				Server: e.origin.Server, Incarnation: e.origin.Incarnation, Era: m.era, Passed: e.passed,
			}
			put, err := d.put(e.prefix)
			if err != nil {
				continue // A document of strings and numbers can always be encoded.
			}
			puts = append(puts, put)
			m.batch = append(m.batch, batchEntry{entry: e, attempt: e.attempt, passed: e.passed, first: !e.isStored})
			e.inBatch, e.sent = true, e.attempt
		}
		return queue
	}
	m.fresh = take(m.fresh, (*entry).isNew, batchSize-min(len(m.again), minAgain))
	m.again = take(m.again, (*entry).isAgain, batchSize)
	m.fresh = take(m.fresh, (*entry).isNew, batchSize)
	m.passed = take(m.passed, (*entry).isPassed, batchSize)
	return puts
}

// granted ends the call for a lease.
func (m *machine) granted(now time.Duration, id kv.LeaseID, err error) {
	m.busy = false
	if err != nil {
		m.fails(now)
		return
	}
	if m.outdated {
		return // The lease may be one of the earlier era, whose id is given out again.
	}
	m.lease = heldLease{id: id, until: m.callAt + leaseWindow, lifetime: m.asked}
}

// fails plans the next call after a failed one.
func (m *machine) fails(now time.Duration) {
	m.failures++
	m.notBefore = max(m.callAt+m.interval(), now+m.backoff(m.failures))
}

// written ends a write. It returns the number of records that were acknowledged for the first time.
func (m *machine) written(now time.Duration, outcome writeOutcome) int {
	m.busy = false
	batch := m.batch
	m.batch = nil
	for _, b := range batch {
		b.inBatch = false
	}
	if outcome != writeAcknowledged {
		m.fails(now)
		m.requeue(batch)
		if outcome == writeLeaseMissing && !m.outdated {
			m.leaseLost()
		}
		return 0
	}
	m.failures, m.notBefore = 0, m.callAt+m.interval()
	count := 0
	for _, b := range batch {
		if b.first {
			count++
		}
		m.acknowledged(b)
	}
	return count
}

// writeOutcome is what came of a write.
type writeOutcome int

const (
	// writeFailed means that a write had no effect, or that it isn't known.
	writeFailed writeOutcome = iota
	// writeAcknowledged means that a write took effect.
	writeAcknowledged
	// writeLeaseMissing means that a write had no effect because the store has no such lease.
	writeLeaseMissing
)

func (m *machine) acknowledged(b batchEntry) {
	e := b.entry
	if b.attempt != e.attempt {
		m.requeue([]batchEntry{b})
		return
	}
	if !e.isStored {
		e.isStored = true
		close(e.stored)
		e.isSettled = true
	}
	e.lost, e.passedStored = false, b.passed
	if m.outdated {
		m.loses(e)
	}
	if e.isPassed() {
		m.queuePassed(e)
	}
}

// requeue puts the entries of a write that failed, or of an attempt that was replaced meanwhile,
// back to the head of their queues.
func (m *machine) requeue(batch []batchEntry) {
	var fresh, again []*entry
	for _, b := range batch {
		switch {
		case b.isNew():
			fresh = append(fresh, b.entry)
		case b.isAgain():
			again = append(again, b.entry)
		case b.isPassed():
			m.queuePassed(b.entry)
		}
	}
	m.fresh = append(fresh, m.fresh...)
	m.again = append(again, m.again...)
}

// leaseLost is called when the store does not know the lease any more. Its records are gone, and
// probably those under earlier leases.
func (m *machine) leaseLost() {
	m.lease = heldLease{}
	for _, e := range m.records {
		m.loses(e)
	}
}
