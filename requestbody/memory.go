// Package requestbody reads the bodies of requests into memory that all requests of a VM share,
// and decides which incomplete body gives way when a request finds no memory.
//
// Memory counts as it is received: a body that was announced and never sent takes little. Large
// buffers count until the collector has freed them.
package requestbody

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/membudget"
)

const (
	// maxWait bounds the wait for memory that others hold. A caller whose request is not read
	// gives up after a second.
	maxWait = 500 * time.Millisecond
	// pollInterval is the time between two attempts to get it.
	pollInterval = 10 * time.Millisecond
	// pollsPerSearch is the number of attempts between two searches for bodies that give way,
	// since each of many waiting requests looks at all incomplete bodies.
	pollsPerSearch = 10
)

// Options of a Memory.
type Options struct {
	// LimitBytes bounds what all requests hold.
	LimitBytes int64
	// SmallPartBytes is the part of it that only requests of up to SmallRequestBytes, head and
	// body, may take.
	SmallPartBytes, SmallRequestBytes int64
	// Now returns the time. By default it is monotonic, and stands still while the machine is
	// suspended: bodies make no progress then.
	Now func() time.Duration
}

// Memory is the memory that the requests of a VM share. It is safe for concurrent use.
type Memory struct {
	Options
	budget  *membudget.Budget
	garbage garbage

	mu sync.Mutex
	// incomplete holds the requests whose body is being read.
	incomplete map[*Request]struct{}
	// leaving is the memory of bodies that gave way and are not dropped yet.
	leaving int64
}

// New returns a memory.
func New(o Options) *Memory {
	if o.Now == nil {
		begun := time.Now()
		o.Now = func() time.Duration { return time.Since(begun) }
	}
	return &Memory{Options: o, budget: membudget.New(o.LimitBytes, 0), incomplete: map[*Request]struct{}{}}
}

// Used returns the bytes that count, and Limit their limit.
func (m *Memory) Used() int64 { return m.budget.Used() }

// Limit returns the limit in bytes.
func (m *Memory) Limit() int64 { return m.budget.Limit() }

// Reserve returns a request of an owner, which is the organisation or the address of the caller.
// It holds nothing at first.
func (m *Memory) Reserve(owner string) *Request {
	return &Request{m: m, owner: owner, memory: m.budget.Reserve(owner)}
}

// await raises what a request holds by a number of bytes. Incomplete bodies of others give way, or
// it waits for memory that others hold. raise returns a *membudget.ExceededError while there is
// none.
func (m *Memory) await(ctx context.Context, r *Request, bytes int64, raise func() error) error {
	err := raise()
	if err == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for poll := 0; ; poll++ {
		if evicted := m.evictedBy(r); evicted != nil {
			return evicted
		}
		if poll%pollsPerSearch == 0 {
			m.makeRoom(r, bytes, poll == 0)
		}
		m.garbage.collect()
		r.progressAt.Store(int64(m.Now())) // The caller doesn't pause, this VM does.
		if !wait.Sleep(ctx, pollInterval) {
			return err
		}
		if err = raise(); err == nil {
			return nil
		}
	}
}

// makeRoom lets incomplete bodies give way until those that leave hold as much as r lacks. Garbage
// counts as free if it can be expected to be collected.
func (m *Memory) makeRoom(r *Request, bytes int64, withGarbage bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lacks := bytes + m.budget.Used() + r.leaves() - m.budget.Limit() - m.leaving
	if withGarbage {
		lacks -= m.garbage.waiting()
	}
	for lacks > 0 {
		victim := m.victim(r, bytes)
		if victim == nil {
			return
		}
		m.evict(victim, r)
		lacks -= victim.bytes
	}
}

// evict lets a body give way to r. The caller holds m.mu, so that end is not called after the
// request has ended.
func (m *Memory) evict(victim, r *Request) {
	victim.evicted = &membudget.EvictedError{
		Owner: victim.owner, OwnerBytes: m.budget.OwnerBytes(victim.owner), Bytes: victim.bytes, For: r.owner,
	}
	delete(m.incomplete, victim)
	m.leaving += victim.bytes
	victim.end()
}

// evictedBy returns the *membudget.EvictedError of a request that gave way, nil of any other.
func (m *Memory) evictedBy(r *Request) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.evicted == nil {
		return nil
	}
	return r.evicted
}

// began lets the body of a request give way from now on.
func (m *Memory) began(r *Request, bytes int64, b Body) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.bytes, r.shared, r.end = bytes, b.Shared, b.End
	m.incomplete[r] = struct{}{}
}

// grew records what an incomplete body holds.
func (m *Memory) grew(r *Request, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.evicted == nil {
		r.bytes += bytes
	}
}

// ended protects the body of a request from now on. It returns a *membudget.EvictedError if the
// body gave way before.
func (m *Memory) ended(r *Request) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.incomplete, r)
	if r.evicted == nil {
		return nil
	}
	m.leaving -= r.bytes
	return r.evicted
}
