package streamorigin

import (
	"fmt"
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/retry"
)

const (
	// batchSize is the largest number of records in one write.
	batchSize = 32
	// minAgain is the part of a batch that is left to records that are written again.
	minAgain = 8
	// leaseWindow is the time for which a lease is used for new records.
	leaseWindow = 30 * time.Second
	// maxLease is the longest lease that the store grants.
	maxLease = 10 * time.Minute
	// maxLifetime bounds the lifetime of a record.
	maxLifetime = maxLease - leaseWindow
	// maxRecords bounds the records that a VM holds in memory, and maxWaiting those that wait for
	// their first write. At 10 streams a second, 5,700 begin within maxLifetime.
	maxRecords = 1 << 13
	maxWaiting = 1 << 11
	// storeShare is the part of the store's capacity, as a divisor, that the writes of all VMs may
	// take together.
	storeShare = 2
	// defaultWritesPerSecond is the capacity of a store that names none.
	defaultWritesPerSecond = 400
)

// Pauses after failed calls.
const (
	pauseMin = 150 * time.Millisecond
	pauseMax = 3 * time.Second
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

// isNew reports whether the current attempt is to be written.
func (e *entry) isNew() bool { return !e.isStored && !e.ended && !e.removed }

// isAgain reports whether the current attempt is to be written again.
func (e *entry) isAgain() bool { return e.lost && !e.ended && !e.removed }

// isPassed reports whether the store is to learn that events were passed on.
func (e *entry) isPassed() bool {
	return e.isStored && e.passed && !e.passedStored && !e.ended && !e.removed
}

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

// stepKind is what the owner of a machine is to do.
type stepKind int

const (
	// stepWait means to wait for a change, or until a time.
	stepWait stepKind = iota
	// stepGrant means to ask for a lease.
	stepGrant
	// stepWrite means to write.
	stepWrite
)

// step is what the owner of a machine is to do next.
type step struct {
	kind stepKind
	// until is when to ask for the next step at the latest, 0 if only after a change.
	until time.Duration
	ttl   time.Duration
	puts  []kv.Put
	lease kv.LeaseID
}

// machine decides what is written and when. It does no network I/O and starts no goroutines. The
// current time is always an argument, on one monotonic clock. It is not safe for concurrent use.
type machine struct {
	// id identifies the machine among all that ever ran.
	id       string
	interval func() time.Duration
	backoff  func(failures int) time.Duration

	begun   int
	records []*entry            // the oldest first
	byKey   map[string][]*entry // by prefix
	// fresh holds the entries that wait for their first write, again those that are written again,
	// and passed those of which the store is to learn that events were passed on.
	fresh, again, passed []*entry

	era      kv.Era
	lifetime time.Duration // the longest so far
	lease    heldLease
	// busy is set while a call is in progress, and outdated if the era has risen or the lease was
	// lost since it began.
	busy, outdated bool
	batch          []batchEntry
	callAt         time.Duration
	// asked is the lifetime that the lease asked for covers.
	asked    time.Duration
	failures int
	// notBefore is when the next call may be made.
	notBefore time.Duration
	// dropped counts the records that were given up before they were written.
	dropped int64
}

func newMachine(id string, interval func() time.Duration) *machine {
	return &machine{
		id: id, interval: interval, byKey: map[string][]*entry{},
		backoff: func(failures int) time.Duration { return retry.Backoff(failures, pauseMin, pauseMax) },
	}
}

// writeInterval returns the time between two writes of a VM.
func writeInterval(vms, writesPerSecond int) time.Duration {
	if writesPerSecond <= 0 {
		writesPerSecond = defaultWritesPerSecond
	}
	return storeShare * time.Duration(max(vms, 1)) * time.Second / time.Duration(writesPerSecond)
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
	m.setOrigin(e, o)
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

// setOrigin begins an attempt.
func (m *machine) setOrigin(e *entry, o Origin) {
	e.attempt++
	e.origin = o
	if o.Version == "" && e.sent == 0 && e.isSettled {
		// No record says the same.
		e.stored, e.isStored, e.settled, e.isSettled, e.passedStored = closed, true, closed, true, true
		return
	}
	m.fresh = append(m.fresh, e)
	for len(m.fresh) > maxWaiting {
		var oldest *entry
		oldest, m.fresh = pop(m.fresh)
		if oldest.isNew() && !oldest.inBatch { // One in a batch is queued again if the write fails.
			m.dropped++
			oldest.ended = true
		}
	}
}

// replace begins an attempt, unless the version is the same.
func (m *machine) replace(e *entry, o Origin) {
	if o.Version == e.origin.Version {
		e.origin = o
		return
	}
	if e.ended || e.removed {
		// Nothing is written any more. What is stored may be wrong, so nothing may be passed on.
		if e.sent > 0 {
			e.stored, e.settled, e.isStored, e.isSettled = make(chan struct{}), make(chan struct{}), false, false
		}
		e.origin = o
		return
	}
	e.stored, e.isStored, e.lost, e.passedStored = make(chan struct{}), false, false, false
	if e.sent > 0 || !e.isSettled {
		e.settled, e.isSettled = e.stored, false
	}
	m.setOrigin(e, o)
}

// firstEventPassed records that the first event was passed on.
func (m *machine) firstEventPassed(e *entry) {
	if e.passed {
		return
	}
	e.passed = true
	if e.isPassed() {
		m.queuePassed(e)
	}
}

func (m *machine) queuePassed(e *entry) {
	if len(m.passed) >= maxRecords {
		_, m.passed = pop(m.passed)
	}
	m.passed = append(m.passed, e)
}

func (m *machine) end(e *entry) { e.ended = true }

func (m *machine) remove(e *entry) {
	if e.removed {
		return
	}
	if e.isNew() {
		m.dropped++
	}
	e.removed = true
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

// eraChanged is called when the store has come back from a copy. Its leases and records since the
// copy are gone.
func (m *machine) eraChanged(era kv.Era) {
	if era <= m.era {
		return
	}
	m.era, m.lease, m.outdated = era, heldLease{}, m.busy
	for _, e := range m.records {
		m.loses(e)
	}
}

// loses records that the record of an entry may be missing from the store.
func (m *machine) loses(e *entry) {
	if !e.isStored || e.lost || e.sent != e.attempt {
		return
	}
	e.lost = true
	if e.isAgain() {
		m.again = append(m.again, e)
	}
}

// next returns what to do now. It must be called again after each change, and at step.until.
func (m *machine) next(now time.Duration) step {
	if m.busy {
		return step{kind: stepWait}
	}
	m.expire(now)
	m.fresh = m.trim(now, m.fresh, (*entry).isNew)
	m.again = m.trim(now, m.again, (*entry).isAgain)
	switch {
	case len(m.fresh)+len(m.again) == 0:
		return step{kind: stepWait}
	case now < m.notBefore:
		return step{kind: stepWait, until: m.notBefore}
	}
	m.busy, m.outdated, m.callAt = true, false, now
	if m.lease.id == 0 || now >= m.lease.until || m.lease.lifetime < m.lifetime {
		m.asked = m.lifetime
		return step{kind: stepGrant, ttl: m.asked + leaseWindow}
	}
	return step{kind: stepWrite, puts: m.takeBatch(now), lease: m.lease.id}
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

// available reports whether the last call did not fail, or nothing waits for a further one: without a
// record that waits, no call would show that the store is back.
func (m *machine) available() bool {
	return m.failures == 0 || !m.busy && len(m.fresh)+len(m.again) == 0
}
