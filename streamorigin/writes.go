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
	// first is set if no write of the attempt was acknowledged before.
	first bool
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

// takeBatch takes the entries of the next write from the queues, and returns the write.
func (m *machine) takeBatch(now time.Duration) (puts []kv.Put) {
	m.batch = nil
	m.toWrite, puts = m.fillBatch(now, puts, m.toWrite, (*entry).needsWrite, batchSize-min(len(m.toRewrite), minRewrites))
	m.toRewrite, puts = m.fillBatch(now, puts, m.toRewrite, (*entry).needsRewrite, batchSize)
	m.toWrite, puts = m.fillBatch(now, puts, m.toWrite, (*entry).needsWrite, batchSize)
	m.toMarkPassed, puts = m.fillBatch(now, puts, m.toMarkPassed, (*entry).needsPassedMark, batchSize)
	return puts
}

// fillBatch moves entries from the head of a queue to the batch until that holds limit entries. It
// returns the rest of the queue and the puts.
func (m *machine) fillBatch(now time.Duration, puts []kv.Put, queue []*entry, wanted func(*entry) bool, limit int) ([]*entry, []kv.Put) {
	for len(queue) > 0 && len(puts) < limit {
		var e *entry
		e, queue = pop(queue)
		if now >= e.until {
			m.remove(e)
		}
		if e.inBatch || !wanted(e) {
			continue
		}
		put, err := m.documentOf(e).put(e.prefix)
		if err != nil {
			continue // A document of strings and numbers can always be encoded.
		}
		puts = append(puts, put)
		m.batch = append(m.batch, batchEntry{entry: e, attempt: e.attempt, passed: e.passed, first: !e.isStored})
		e.inBatch, e.sent = true, e.attempt
	}
	return queue, puts
}

// documentOf returns the value of the record of an entry.
func (m *machine) documentOf(e *entry) document {
	return document{
		Request: e.request, Writer: e.writer, Attempt: e.attempt, Version: e.origin.Version,
		Server: e.origin.Server, Incarnation: e.origin.Incarnation, Era: m.era, Passed: e.passed,
	}
}

// granted handles the result of the call for a lease.
func (m *machine) granted(now time.Duration, id kv.LeaseID, err error) {
	m.busy = false
	if err != nil {
		m.callFailed(now)
		return
	}
	if m.outdated {
		return // The lease may be one of the earlier era, whose id is given out again.
	}
	m.lease = heldLease{id: id, until: m.callBegan + leaseWindow, lifetime: m.askedLifetime}
}

// callFailed sets the time of the next call after one that failed.
func (m *machine) callFailed(now time.Duration) {
	m.failures++
	m.notBefore = max(m.callBegan+m.interval(), now+m.backoff(m.failures))
	for _, e := range m.records {
		m.notStored(e)
	}
}

// written handles the result of a write. It returns the number of records that were acknowledged for the first time.
func (m *machine) written(now time.Duration, outcome writeOutcome) int {
	m.busy = false
	batch := m.batch
	m.batch = nil
	for _, b := range batch {
		b.inBatch = false
	}
	if outcome != writeAcknowledged {
		m.callFailed(now)
		m.requeue(batch)
		if outcome == writeLeaseMissing && !m.outdated {
			m.leaseLost()
		}
		return 0
	}
	m.failures, m.notBefore = 0, m.callBegan+m.interval()
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

// acknowledged handles an entry of a write that took effect.
func (m *machine) acknowledged(b batchEntry) {
	e := b.entry
	if b.attempt != e.attempt {
		m.requeue([]batchEntry{b})
		return
	}
	if !e.isStored {
		e.isStored = true
		close(e.stored)
		m.settle(e)
	}
	e.lost, e.passedStored = false, b.passed
	if m.outdated {
		m.markLost(e)
	}
	if e.needsPassedMark() {
		m.queuePassedMark(e)
	}
}

// requeue puts the entries of a write that failed, or of an attempt that was replaced meanwhile,
// back to the head of their queues.
func (m *machine) requeue(batch []batchEntry) {
	var toWrite, toRewrite []*entry
	for _, b := range batch {
		switch {
		case b.needsWrite():
			toWrite = append(toWrite, b.entry)
		case b.needsRewrite():
			toRewrite = append(toRewrite, b.entry)
		case b.needsPassedMark():
			m.queuePassedMark(b.entry)
		}
	}
	m.toWrite = append(toWrite, m.toWrite...)
	m.toRewrite = append(toRewrite, m.toRewrite...)
}

// leaseLost is called when the store does not know the lease any more. Its records are gone, and
// probably those under earlier leases.
func (m *machine) leaseLost() {
	m.lease = heldLease{}
	for _, e := range m.records {
		m.markLost(e)
	}
}
