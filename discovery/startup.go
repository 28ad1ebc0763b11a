package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/wait"
)

// startup orders the first calls of a VM. A whole fleet starts at once after a
// loss of power, and the store's calls are limited, so a VM first reads what one
// call gives, then announces itself, and lists and watches only what it still
// lacks or is to read for others. At a first start there is nothing to read, so it
// announces itself at once.
type startup struct {
	// first is what the first read of the store gave, valid once wasRead is closed.
	first   *firstRead
	wasRead chan struct{}

	announcedOnce, listedOnce *sync.Once
	wasAnnounced, wasListed   chan struct{}
	// roleKnownAt is when the role of this VM is decided, valid once wasListed is closed.
	roleKnownAt *time.Time
}

// roleDecisionDelay is the time from a list of entry VMs to the decision who reads. A VM
// with a tenth of a core takes tens of milliseconds for it.
const roleDecisionDelay = 100 * time.Millisecond

func newStartup() startup {
	return startup{
		first: &firstRead{}, wasRead: make(chan struct{}),
		announcedOnce: &sync.Once{}, listedOnce: &sync.Once{},
		wasAnnounced: make(chan struct{}), wasListed: make(chan struct{}), roleKnownAt: &time.Time{},
	}
}

// firstRead is what one read of the first entries of the store gave a VM that
// starts.
type firstRead struct {
	// revision is that of the store.
	revision int64
	// servers and members say that all entries of that prefix are known.
	servers, members bool
	// selfRevision is the revision of the entry of an earlier start of this VM, 0 if there
	// is none.
	selfRevision int64
}

// recordFirstRead notes the outcome of the first read. It is called once.
func (s startup) recordFirstRead(r firstRead) {
	*s.first = r
	close(s.wasRead)
}

// awaitFirstRead waits for the first read and returns what it gave.
func (s startup) awaitFirstRead(ctx context.Context) firstRead {
	if !await(ctx, s.wasRead) {
		return firstRead{}
	}
	return *s.first
}

// markAnnounced notes that the entry of this VM was written, or that this failed.
func (s startup) markAnnounced() { s.announcedOnce.Do(func() { close(s.wasAnnounced) }) }

// markListed notes that the entry VMs were listed.
func (s startup) markListed() {
	s.listedOnce.Do(func() {
		*s.roleKnownAt = time.Now().Add(roleDecisionDelay)
		close(s.wasListed)
	})
}

// awaitAnnouncement waits for the first attempt to announce this VM.
func (s startup) awaitAnnouncement(ctx context.Context) { await(ctx, s.wasAnnounced) }

// awaitRole waits until it is known whether this VM is to read for others.
func (s startup) awaitRole(ctx context.Context) {
	if await(ctx, s.wasListed) {
		wait.Sleep(ctx, time.Until(*s.roleKnownAt))
	}
}

// await waits for a channel to close and reports whether ctx lasted.
func await(ctx context.Context, c <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c:
		return true
	}
}
