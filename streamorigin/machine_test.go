package streamorigin

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/kv"
)

// Guards against memory that grows with the streams while the store is away for long: records that
// wait, those that are known, and queues of writes that are repeated.
func TestMemoryIsBounded(t *testing.T) {
	const limit = 8 << 20
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	m := newMachine("0123456789abcdef", func() time.Duration { return 0 })
	m.backoff = func(int) time.Duration { return 0 }
	long := strings.Repeat("x", 2*maxRequestBytes)
	var now time.Duration
	begin := func(i int) *entry {
		now += ms
		e := m.begin(now, fmt.Sprint(i, long), Origin{Version: "a version of 26 characters", Server: "server-of-some-length-123"}, time.Hour)
		m.firstEventPassed(e)
		return e
	}
	act := func(o writeOutcome) {
		var err error
		if o != writeAcknowledged {
			err = &kv.UnavailableError{}
		}
		switch m.next(now).kind {
		case stepGrant:
			m.granted(now, 1, err)
		case stepWrite:
			m.written(now, o)
		case stepWait:
		}
	}
	for i := range maxRecords { // With a sound store.
		begin(i)
		act(writeAcknowledged)
	}
	stored := m.dropped
	if stored != 0 {
		t.Errorf("%d records dropped with a sound store", stored)
	}
	for i := range 2 * maxRecords { // Without it, and it comes back from copies.
		begin(maxRecords + i)
		if i%8 == 0 {
			act(writeFailed)
		}
		m.eraChanged(kv.Era(i / 4000))
	}
	if len(m.records) > maxRecords || len(m.byKey) > maxRecords || len(m.toWrite) > maxWaiting+batchSize ||
		len(m.toRewrite) > maxRecords || len(m.toMarkPassed) > maxRecords {
		t.Errorf("%d records, %d keys, %d, %d and %d waiting", len(m.records), len(m.byKey), len(m.toWrite), len(m.toRewrite), len(m.toMarkPassed))
	}
	if want := int64(2*maxRecords - maxWaiting - batchSize); m.dropped < want || m.dropped > 2*maxRecords {
		t.Errorf("%d records dropped, want %d", m.dropped, want)
	}
	if took := heap() - before; took > limit {
		t.Errorf("%d bytes, limit %d", took, limit)
	} else {
		t.Logf("%d bytes", took)
	}
	for range 2 * maxRecords / batchSize {
		act(writeAcknowledged)
	}
	if len(m.toWrite)+len(m.toRewrite) != 0 {
		t.Errorf("%d and %d still wait", len(m.toWrite), len(m.toRewrite))
	}
	runtime.KeepAlive(m)
}

// Guards against events of a request that has the id of an earlier one of another version: the store
// may hold the earlier record alone.
func TestSecondRequestWithAnIDWaitsForItsRecord(t *testing.T) {
	m := newMachine("vm", func() time.Duration { return 0 })
	isSettled := func(e *entry) bool {
		select {
		case <-e.settled:
			return true
		default:
			return false
		}
	}
	m.begin(0, "request", Origin{Version: "v1"}, time.Minute)
	if !isSettled(m.begin(0, "request", Origin{Version: "v1"}, time.Minute)) {
		t.Error("a second request of the same version waits")
	}
	for _, version := range simVersions[1:] {
		e := m.begin(0, "request", Origin{Version: version}, time.Minute)
		if isSettled(e) {
			t.Errorf("events of %s do not wait", version)
		}
		if _, known, err := m.find(0, "request"); !known || err == nil {
			t.Errorf("found: %v", err)
		}
	}
	if !isSettled(m.begin(2*time.Minute, "request", Origin{Version: "v4"}, time.Minute)) {
		t.Error("a request waits after the lifetime of the others")
	}
}

// Guards against records that the store removes before the end of their lifetime, and against a
// lease for each record.
func TestLeasesCoverTheLifetimes(t *testing.T) {
	m := newMachine("vm", func() time.Duration { return 0 })
	ends, last := map[kv.LeaseID]time.Duration{}, kv.LeaseID(0)
	var now time.Duration
	write := func() {
		for {
			switch s := m.next(now); s.kind {
			case stepGrant:
				if s.ttl < time.Second || s.ttl > maxLease {
					t.Errorf("lease of %v", s.ttl)
				}
				last++
				ends[last] = now + s.ttl
				m.granted(now, last, nil)
			case stepWrite:
				for _, b := range m.batch {
					if ends[s.lease] < b.until {
						t.Errorf("%v: the lease ends at %v, the record at %v", now, ends[s.lease], b.until)
					}
				}
				m.written(now, writeAcknowledged)
			case stepWait:
				return
			}
		}
	}
	for i := range 900 {
		now += 100 * ms
		lifetime := time.Minute
		if i > 400 {
			lifetime = time.Hour
		}
		m.begin(now, fmt.Sprint(i), Origin{Version: "v1"}, lifetime)
		write()
	}
	if last > 5 {
		t.Errorf("%d leases in 90 s", last)
	}
}
