package discovery

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// followPrefix lists a prefix and then watches it.
func (f *Follower) followPrefix(ctx context.Context, s *section) {
	dependency := newDependency(f.opts.Log, "store "+s.prefix)
	after := f.awaitStart(ctx, s)
	reading := after != nil
	var failures backoff
	for ctx.Err() == nil {
		if f.suspended() && !f.lacksServers(s) {
			after, reading = nil, reading && f.isReader()
			wait.Sleep(ctx, roleCheckInterval)
			continue
		}
		if !reading {
			reading = true
			f.seed(s)
		}
		var err error
		if after == nil {
			after, err = f.relist(ctx, s)
		} else {
			after, err = f.watch(ctx, s, *after)
		}
		dependency.record(err)
		if err != nil {
			failures.pause(ctx)
			continue
		}
		failures.reset()
	}
}

// seed initializes a section from the control state when this VM becomes a reader.
func (f *Follower) seed(s *section) {
	snap := f.opts.Loop.Snapshot()
	current := snap.Servers
	if s.entryVMs {
		current = snap.Members
	}
	f.list.seed(s, snap.VMs.VMs, current.Revision)
}

// awaitStart waits until this VM may follow a prefix. It returns the position to watch
// from, or nil if the prefix still has to be listed. Entry VMs are listed after this VM
// has announced itself, and watches start only after that, because most VMs then learn
// that other VMs are the readers.
func (f *Follower) awaitStart(ctx context.Context, s *section) (after *kv.Position) {
	if s.entryVMs {
		f.start.awaitAnnouncement(ctx)
		if f.opts.FirstStart {
			wait.Sleep(ctx, firstStartDelay)
		}
	}
	first := f.start.awaitFirstRead(ctx)
	if s.entryVMs {
		if !first.members {
			return nil
		}
		f.start.awaitRole(ctx)
		return &first.position
	}
	if !first.servers {
		return f.listServersAtStart(ctx, s)
	}
	f.serversRequestedAt.Store(int64(boottime.Now()))
	f.start.awaitRole(ctx)
	return &first.position
}

// listServersAtStart lists the backend servers when this VM starts and returns the
// position to watch from, or nil if they still have to be listed. It reads only one
// page: if the pool is larger, the list is received from peers, because reading
// all pages on every starting VM would load the store's network link. When the
// whole system starts for the first time, only readers list the servers.
func (f *Follower) listServersAtStart(ctx context.Context, s *section) (after *kv.Position) {
	f.serversRequestedAt.Store(int64(boottime.Now()))
	var failures backoff
	for ctx.Err() == nil && !f.opts.FirstStart && f.opts.Loop.Snapshot().Servers.Revision == 0 {
		if f.unreachable.Load() {
			wait.Sleep(ctx, roleCheckInterval)
			continue
		}
		listing, err := f.store.ListPage(ctx, s.prefix, kv.Linearizable)
		if err != nil {
			f.opts.Log.Info("first_list_failed", zap.String("prefix", s.prefix), telemetry.Error(err))
			failures.pause(ctx)
			continue
		}
		if !listing.Partial {
			f.list.replace(s, listing)
			position := listing.Position()
			after = &position
		}
		break
	}
	f.start.awaitRole(ctx)
	return after
}

// lacksServers reports whether this VM has to read the backend servers itself,
// because it has received none from peers within peerListTimeout.
func (f *Follower) lacksServers(s *section) bool {
	if s.entryVMs || f.unreachable.Load() || f.opts.Loop.Snapshot().Servers.Revision > 0 {
		return false
	}
	return boottime.Now()-time.Duration(f.serversRequestedAt.Load()) > peerListTimeout
}

// relist reads all entries of a section again and returns the position to watch
// from.
func (f *Follower) relist(ctx context.Context, s *section) (*kv.Position, error) {
	listing, err := f.store.List(ctx, s.prefix, kv.Linearizable)
	if err != nil {
		return nil, err
	}
	f.list.replace(s, listing)
	if s.entryVMs {
		f.start.markListed()
	}
	f.start.awaitRole(ctx)
	position := listing.Position()
	return &position, nil
}

// watch waits for changes and returns the position to continue from, or nil if the
// prefix must be listed again.
func (f *Follower) watch(ctx context.Context, s *section, after kv.Position) (*kv.Position, error) {
	call, end := f.watches.begin(ctx, s, after)
	changes, err := f.store.watchFrom(call, s.prefix, after)
	if behind := end(); behind && err != nil && ctx.Err() == nil {
		f.opts.Log.Info("watch_behind", zap.String("prefix", s.prefix), zap.Int64("revision", after.Revision), zap.Int64("era", int64(after.Era)))
		return nil, nil
	}
	if _, ok := errors.Into[*kv.CompactedError](err); ok {
		f.opts.Log.Warn("list_history_lost", zap.String("prefix", s.prefix), zap.Int64("revision", after.Revision), zap.Int64("era", int64(after.Era)))
		return nil, nil
	}
	if err != nil {
		// List again: a later watch may report changes made in the meantime too
		// late, and entries may have lapsed.
		return nil, err
	}
	f.list.change(s, changes)
	if s.entryVMs {
		wait.Sleep(ctx, memberWatchPause)
	}
	position := changes.Position()
	return &position, nil
}
