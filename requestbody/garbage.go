package requestbody

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillaarch/vanillaarch/membudget"
)

const (
	// minLargeBytes is the size from which a buffer counts until it was collected. Without that, 16
	// bodies of 4 MB that follow each other at once take as much again as the budget.
	minLargeBytes = 256 << 10
	// minCollectionInterval is the time between two collections that a lack of memory starts.
	minCollectionInterval = 50 * time.Millisecond
)

// largeBuffer is a large buffer of a body.
type largeBuffer struct {
	data  []byte
	bytes int64
}

// newLargeBuffer returns a buffer that counts until it was collected.
func (r *Request) newLargeBuffer(ctx context.Context, size int64) (*largeBuffer, error) {
	r.large = true
	memory := r.m.budget.Reserve(r.owner)
	memory.Leave(r.m.SmallPartBytes)
	if err := r.m.await(ctx, r, size, func() error { return memory.RaiseBody(size) }); err != nil {
		return nil, err
	}
	data := make([]byte, size)
	runtime.AddCleanup(&data[0], r.m.garbage.collected, freedMemory{memory, size})
	return &largeBuffer{data: data[:0], bytes: size}, nil
}

// freedMemory is the memory of a buffer that was collected.
type freedMemory struct {
	*membudget.Reservation
	bytes int64
}

// garbage counts the large buffers that nobody uses and that were not collected yet.
type garbage struct {
	bytes atomic.Int64
	// mu is held during a collection, begun is when the latest one began.
	mu    sync.Mutex
	begun time.Time
}

func (g *garbage) add(bytes int64) { g.bytes.Add(bytes) }

func (g *garbage) waiting() int64 { return g.bytes.Load() }

// collected returns the memory of a buffer that the collector has freed.
func (g *garbage) collected(m freedMemory) {
	g.bytes.Add(-m.bytes)
	m.Release()
}

// collect starts a collection unless there is nothing to collect, another one is in progress or
// the latest one was a short time ago.
func (g *garbage) collect() {
	if g.waiting() == 0 || !g.mu.TryLock() {
		return
	}
	defer g.mu.Unlock()
	if time.Since(g.begun) >= minCollectionInterval {
		g.begun = time.Now()
		runtime.GC()
	}
}
