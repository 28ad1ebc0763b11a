package claim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/kv"
)

// fault is the failure that faultyStore injects into one operation.
type fault int

const (
	noFault      fault = iota
	rejected           // no effect; the caller gets a definite error
	requestLost        // no effect; the caller gets an ambiguous error
	responseLost       // takes effect; the caller gets an ambiguous error
	delayed            // takes effect later; the caller gets an ambiguous error at once
	slow               // takes effect later; the caller waits for the response
	faultCount
)

// Latencies of faultyStore.
const (
	operationLatency = time.Millisecond
	maxDelay         = 5 * time.Second
)

// faultyStore holds one key. Each operation takes the next fault of the script, and
// succeeds when the script is used up.
type faultyStore struct {
	mu            sync.Mutex
	script        []fault
	delays        []time.Duration
	value         []byte
	revision      int64 // 0 while the key is absent
	writes        int64
	lease         kv.LeaseID
	leaseExpiries []time.Time // entry i is that of lease i+1
	pending       sync.WaitGroup
	turns         turns
	// log holds a line for each operation that took effect.
	log []string
}

// unused returns a store with the same faults. It must be called before the first
// operation.
func (s *faultyStore) unused() *faultyStore {
	return &faultyStore{script: s.script, delays: s.delays, turns: turns{ties: s.turns.ties}}
}

// nextFault waits for the turn of an operation and returns its fault and its delay.
func (s *faultyStore) nextFault(ctx context.Context) (fault, time.Duration) {
	time.Sleep(operationLatency)
	s.turns.take(simulatedAttempt(ctx), false)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.script) == 0 {
		return noFault, 0
	}
	f, d := s.script[0], s.delays[0]
	s.script, s.delays = s.script[1:], s.delays[1:]
	return f, d
}

// clearFaults discards the rest of the script.
func (s *faultyStore) clearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = nil
}

// apply runs an operation under a fault. It returns false if the caller does not
// learn the result.
func (s *faultyStore) apply(ctx context.Context, f fault, delay time.Duration, op func()) bool {
	if ctx.Err() != nil {
		f = requestLost
	}
	applyLocked := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		defer s.record(f)
		if s.lease != 0 && !time.Now().Before(s.leaseExpiries[s.lease-1]) {
			s.value, s.revision, s.lease = nil, 0, 0
		}
		op()
	}
	switch f {
	case rejected, requestLost:
	case delayed:
		s.pending.Go(func() {
			time.Sleep(delay)
			s.turns.take(simulatedAttempt(ctx), true)
			applyLocked()
		})
	case slow:
		time.Sleep(delay)
		s.turns.take(simulatedAttempt(ctx), false)
		applyLocked()
	default:
		applyLocked()
	}
	return f == noFault || f == slow
}

// record adds a line to the log. The identifiers of attempts are random, so it has
// no values.
func (s *faultyStore) record(f fault) {
	s.log = append(s.log, fmt.Sprintf("%s fault %d revision %d lease %d", time.Now().Format(time.StampNano), f, s.revision, s.lease))
}

func (s *faultyStore) Get(ctx context.Context, key string) (entry kv.Entry, err error) {
	f, delay := s.nextFault(ctx)
	if f == delayed {
		f = noFault // A read has no effect that could be delayed.
	}
	known := s.apply(ctx, f, delay, func() {
		if entry = (kv.Entry{Key: key, Value: s.value, Revision: s.revision}); s.revision == 0 {
			err = &kv.NotFoundError{Key: key}
		}
	})
	if !known {
		return kv.Entry{}, &kv.UnavailableError{Op: "get"}
	}
	return entry, err
}

func (s *faultyStore) swap(key string, value []byte, prev int64, lease kv.LeaseID) (int64, error) {
	if s.revision != prev {
		return 0, &kv.ConflictError{Key: key, Revision: s.revision}
	}
	if lease != 0 && !time.Now().Before(s.leaseExpiries[lease-1]) {
		return 0, &kv.NotFoundError{Key: key}
	}
	s.writes++
	s.value, s.revision, s.lease = value, s.writes, lease
	return s.revision, nil
}

func (s *faultyStore) CompareAndSwap(ctx context.Context, key string, value []byte, prev int64, lease kv.LeaseID) (int64, error) {
	var revision int64
	var err error
	if attempt, ok := ctx.Value(simulatedKey{}).(*simulated); ok {
		time.Sleep(attempt.writeDelay)
		attempt.writeDelay = 0
	}
	f, delay := s.nextFault(ctx)
	if s.apply(ctx, f, delay, func() { revision, err = s.swap(key, value, prev, lease) }) {
		return revision, err
	}
	if f == rejected {
		return 0, &kv.UnavailableError{Op: "put"}
	}
	return 0, &kv.UncertainError{Key: key}
}

func (s *faultyStore) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	var id kv.LeaseID
	f, delay := s.nextFault(ctx)
	known := s.apply(ctx, f, delay, func() {
		s.leaseExpiries = append(s.leaseExpiries, time.Now().Add(ttl))
		id = kv.LeaseID(len(s.leaseExpiries))
	})
	if !known {
		return 0, &kv.UnavailableError{Op: "lease"}
	}
	return id, nil
}
