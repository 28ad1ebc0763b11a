package streamorigin

import (
	"time"

	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/retry"
)

const (
	// batchSize is the largest number of records in one write.
	batchSize = 32
	// minRewrites is the number of records in a batch that first writes leave to those that are written
	// again, so that neither starves the other.
	minRewrites = 8
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

	// begun counts the records of this machine.
	begun   int
	records []*entry            // the oldest first
	byKey   map[string][]*entry // by prefix
	// toWrite holds the entries that wait for their first write, toRewrite those whose record the
	// store may have lost, and toMarkPassed those of which the store is to learn that events were
	// passed on.
	toWrite, toRewrite, toMarkPassed []*entry

	era      kv.Era
	lifetime time.Duration // the longest so far
	lease    heldLease
	// busy is set while a call is in progress, and outdated if the era has risen or the lease was
	// lost since it began.
	busy, outdated bool
	batch          []batchEntry
	// callBegan is when the last call began.
	callBegan time.Duration
	// askedLifetime is the lifetime that the lease asked for covers.
	askedLifetime time.Duration
	// failures counts the failed calls since the last successful write.
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

// eraChanged is called when the store has come back from a copy. Its leases and records since the
// copy are gone.
func (m *machine) eraChanged(era kv.Era) {
	if era <= m.era {
		return
	}
	m.era, m.lease, m.outdated = era, heldLease{}, m.busy
	for _, e := range m.records {
		m.markLost(e)
	}
}

// next returns what to do now. It must be called again after each change, and at step.until.
func (m *machine) next(now time.Duration) step {
	if m.busy {
		return step{kind: stepWait}
	}
	m.expire(now)
	m.toWrite = m.trim(now, m.toWrite, (*entry).needsWrite)
	m.toRewrite = m.trim(now, m.toRewrite, (*entry).needsRewrite)
	switch {
	case len(m.toWrite)+len(m.toRewrite) == 0:
		return step{kind: stepWait}
	case now < m.notBefore:
		return step{kind: stepWait, until: m.notBefore}
	}
	m.busy, m.outdated, m.callBegan = true, false, now
	if m.lease.id == 0 || now >= m.lease.until || m.lease.lifetime < m.lifetime {
		m.askedLifetime = m.lifetime
		return step{kind: stepGrant, ttl: m.askedLifetime + leaseWindow}
	}
	return step{kind: stepWrite, puts: m.takeBatch(now), lease: m.lease.id}
}

// available reports whether the last call did not fail, or nothing waits for a further one: without a
// record that waits, no call would show that the store is back.
func (m *machine) available() bool {
	return m.failures == 0 || !m.busy && len(m.toWrite)+len(m.toRewrite) == 0
}
