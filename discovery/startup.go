package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/kv"
)

// startup orders the first calls of a VM to the store. After a power failure all
// VMs start at the same time, and the store limits calls. A VM therefore reads one
// page of all keys first, then announces itself, and lists and watches only what
// is still missing or what it has to read as a reader. At the first start of the
// system there is nothing to read, so it announces itself immediately.
type startup struct {
	// first is the result of the first read of the store. It is valid once wasRead
	// is closed.
	first   *firstRead
	wasRead chan struct{}

	announcedOnce, listedOnce *sync.Once
	wasAnnounced, wasListed   chan struct{}
	// roleKnownAt is the time at which the role of this VM is decided. It is valid
	// once wasListed is closed.
	roleKnownAt *time.Time
}

// roleDecisionDelay is the time allowed for choosing the readers after the entry
// VMs were listed. It takes tens of milliseconds on a VM with a tenth of a core.
const roleDecisionDelay = 100 * time.Millisecond

func newStartup() startup {
	return startup{
		first: &firstRead{}, wasRead: make(chan struct{}),
		announcedOnce: &sync.Once{}, listedOnce: &sync.Once{},
		wasAnnounced: make(chan struct{}), wasListed: make(chan struct{}), roleKnownAt: &time.Time{},
	}
}

// firstRead is the result of reading the first page of all keys at the start of a
// VM.
type firstRead struct {
	// position is the position of the store at the read.
	position kv.Position
	// servers and members report whether the read contained all entries of that
	// prefix.
	servers, members bool
	// selfRevision is the revision of the entry from an earlier run of this VM, or
	// 0 if there is none.
	selfRevision int64
}

// recordFirstRead stores the result of the first read. It must be called once.
func (s startup) recordFirstRead(r firstRead) {
	*s.first = r
	close(s.wasRead)
}

// awaitFirstRead waits for the first read and returns its result, or the zero
// value if ctx ends first.
func (s startup) awaitFirstRead(ctx context.Context) firstRead {
	if !await(ctx, s.wasRead) {
		return firstRead{}
	}
	return *s.first
}

// markAnnounced records that an attempt to write the entry of this VM has finished,
// successfully or not.
func (s startup) markAnnounced() { s.announcedOnce.Do(func() { close(s.wasAnnounced) }) }

// markListed records that the entry VMs have been listed.
func (s startup) markListed() {
	s.listedOnce.Do(func() {
		*s.roleKnownAt = time.Now().Add(roleDecisionDelay)
		close(s.wasListed)
	})
}

// awaitAnnouncement waits for the first attempt to announce this VM.
func (s startup) awaitAnnouncement(ctx context.Context) { await(ctx, s.wasAnnounced) }

// awaitRole waits until the role of this VM is decided.
func (s startup) awaitRole(ctx context.Context) {
	if await(ctx, s.wasListed) {
		wait.Sleep(ctx, time.Until(*s.roleKnownAt))
	}
}

// await waits for c to be closed. It returns false if ctx ends first.
func await(ctx context.Context, c <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c:
		return true
	}
}
