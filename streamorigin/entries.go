package streamorigin

import (
	"fmt"
	"slices"
	"time"
)

// entry is the state of a Record.
type entry struct {
	request, prefix, writer string
	attempt                 int
	origin                  Origin
	// until is the end of the lifetime.
	until time.Duration
	// sent is the last attempt of which a write was begun, 0 if none.
	sent int
	// stored is closed once the store has acknowledged the current attempt, and settled once
	// events may be passed on. They may be the same channel.
	stored, settled     chan struct{}
	isStored, isSettled bool
	// settlesOnFailure is set while the entry settles as well if a call of the machine fails.
	settlesOnFailure bool
	// passed is set once the first event was passed on, and passedStored once the record in the
	// store says so.
	passed, passedStored bool
	// lost is set while the acknowledged record may be missing from the store.
	lost bool
	// ended is set when the stream has ended, and removed when the VM doesn't hold the record.
	ended, removed bool
	// inBatch is set while the entry is part of the write in progress.
	inBatch bool
}

// needsWrite reports whether the current attempt waits for its first write.
func (e *entry) needsWrite() bool { return !e.isStored && !e.ended && !e.removed }

// needsRewrite reports whether the record is to be written again, since the store may have lost it.
func (e *entry) needsRewrite() bool { return e.lost && !e.ended && !e.removed }

// needsPassedMark reports whether the stored record is to be marked as that of a stream whose first
// event was passed on.
func (e *entry) needsPassedMark() bool {
	return e.isStored && e.passed && !e.passedStored && !e.ended && !e.removed
}

func (m *machine) begin(now time.Duration, request string, o Origin, lifetime time.Duration) *entry {
	lifetime = min(lifetime, maxLifetime)
	m.lifetime = max(m.lifetime, lifetime)
	m.expire(now)
	m.begun++
	e := &entry{
		request: shortened(request), prefix: requestPrefix(request), writer: fmt.Sprintf("%s-%d", m.id, m.begun),
		until: now + lifetime, stored: make(chan struct{}), settled: closed, isSettled: true,
	}
	same := m.byKey[e.prefix]
	if slices.ContainsFunc(same, func(other *entry) bool { return other.attempt > 1 || other.origin.Version != o.Version }) {
		// The store may hold another version under the same id.
		e.settled, e.isSettled = e.stored, false
	}
	m.records = append(m.records, e)
	m.byKey[e.prefix] = append(same, e)
	m.beginAttempt(e, o)
	if len(m.records) > maxRecords {
		var oldest *entry
		oldest, m.records = pop(m.records)
		m.remove(oldest)
	}
	return e
}

// pop removes the head of a queue, so that the queue's memory does not keep it.
func pop(queue []*entry) (head *entry, rest []*entry) {
	head, queue[0] = queue[0], nil
	return head, queue[1:]
}

// closed is the channel of a state that was reached from the start.
var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// beginAttempt sets the origin of an entry and queues its write.
func (m *machine) beginAttempt(e *entry, o Origin) {
	e.attempt++
	e.origin = o
	if o.Version == "" && e.sent == 0 && e.isSettled {
		// Without a record, the version is unknown as well.
		e.stored, e.isStored, e.settled, e.isSettled, e.passedStored = closed, true, closed, true, true
		return
	}
	m.toWrite = append(m.toWrite, e)
	m.limitWaiting()
}

// limitWaiting gives up the oldest entries that wait for their first write if there are too many.
func (m *machine) limitWaiting() {
	for len(m.toWrite) > maxWaiting {
		var oldest *entry
		oldest, m.toWrite = pop(m.toWrite)
		if oldest.needsWrite() && !oldest.inBatch { // One in a batch is queued again if the write fails.
			m.dropped++
			oldest.ended = true
			m.notStored(oldest)
		}
	}
}

// replace changes the origin of an entry. It begins an attempt, unless the version is the same.
func (m *machine) replace(e *entry, o Origin) {
	if o.Version == e.origin.Version {
		e.origin = o
		return
	}
	if e.ended || e.removed {
		// Nothing is written any more. What is stored may be wrong, so nothing may be passed on.
		if e.sent > 0 {
			e.stored, e.settled, e.isStored, e.isSettled = make(chan struct{}), make(chan struct{}), false, false
			e.settlesOnFailure = false
		}
		e.origin = o
		return
	}
	e.stored, e.isStored, e.lost, e.passedStored = make(chan struct{}), false, false, false
	if e.sent == 0 {
		m.notStored(e) // The store can't hold another version, so the new one alone decides.
	}
	if e.sent > 0 || !e.isSettled {
		m.requireStored(e)
	}
	m.beginAttempt(e, o)
}

// requireStored makes the entry settle once it is stored.
func (m *machine) requireStored(e *entry) {
	if !e.isStored {
		e.settled, e.isSettled, e.settlesOnFailure = e.stored, false, false
	}
}

// preferStored makes the entry settle once it is stored or a call has failed, unless it waits already.
func (m *machine) preferStored(e *entry) {
	if !e.isStored && e.isSettled && m.available() {
		e.settled, e.isSettled, e.settlesOnFailure = make(chan struct{}), false, true
	}
}

// notStored settles an entry that does not have to be stored, since the store does not take it for now.
func (m *machine) notStored(e *entry) {
	if e.settlesOnFailure {
		m.settle(e)
	}
}

// settle lets the events of the entry pass on.
func (m *machine) settle(e *entry) {
	if e.settlesOnFailure {
		close(e.settled)
	}
	e.isSettled, e.settlesOnFailure = true, false
}

// firstEventPassed records that the first event was passed on.
func (m *machine) firstEventPassed(e *entry) {
	if e.passed {
		return
	}
	e.passed = true
	if e.needsPassedMark() {
		m.queuePassedMark(e)
	}
}

func (m *machine) queuePassedMark(e *entry) {
	if len(m.toMarkPassed) >= maxRecords {
		_, m.toMarkPassed = pop(m.toMarkPassed)
	}
	m.toMarkPassed = append(m.toMarkPassed, e)
}

func (m *machine) end(e *entry) { e.ended = true }

func (m *machine) remove(e *entry) {
	if e.removed {
		return
	}
	if e.needsWrite() {
		m.dropped++
	}
	e.removed = true
	m.notStored(e)
	rest := slices.DeleteFunc(m.byKey[e.prefix], func(other *entry) bool { return other == e })
	if len(rest) == 0 {
		delete(m.byKey, e.prefix)
		return
	}
	m.byKey[e.prefix] = rest
}

// expire removes records at the end of their lifetime, the oldest first. Those behind one with a
// longer lifetime stay until it ends, unless a look-up finds them.
func (m *machine) expire(now time.Duration) {
	for len(m.records) > 0 && (m.records[0].removed || now >= m.records[0].until) {
		var oldest *entry
		oldest, m.records = pop(m.records)
		m.remove(oldest)
	}
}

// find returns what this VM itself has begun. known is false if that is nothing. The error is an
// *UnknownError or an *AmbiguousError.
func (m *machine) find(now time.Duration, request string) (o Origin, known bool, err error) {
	for _, e := range m.byKey[requestPrefix(request)] {
		if now >= e.until {
			continue
		}
		if known && e.origin.Version != o.Version {
			return Origin{}, true, &AmbiguousError{Request: request, Reason: "two requests of this VM"}
		}
		o, known = e.origin, true
	}
	if known && !isKnown(o.Version) {
		return Origin{}, true, &UnknownError{Request: request, Recorded: true}
	}
	return o, known, nil
}

// markLost marks the record of an entry as one that may be missing from the store.
func (m *machine) markLost(e *entry) {
	if !e.isStored || e.lost || e.sent != e.attempt {
		return
	}
	e.lost = true
	if e.needsRewrite() {
		m.toRewrite = append(m.toRewrite, e)
	}
}
