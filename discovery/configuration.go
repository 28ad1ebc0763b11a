package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/standby"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// confirmConfig reads the configuration once at startup, so that a restarted VM
// need not wait for peers. After that it reads periodically while this VM is a
// reader, and probes the store when the confirmations from peers are too old.
func (f *Follower) confirmConfig(ctx context.Context) {
	if f.opts.FirstStart {
		f.start.recordFirstRead(firstRead{})
		f.start.awaitRole(ctx)
	} else if asked, listing, err := f.readFirstPage(ctx); err == nil {
		if f.mayLackWrites(listing) {
			asked, listing = f.awaitSettled(ctx, asked, listing)
		}
		f.handleConfigRead(ctx, f.opts.Duties.Duty(), asked, listing)
	}
	dependency := newDependency(f.opts.Log, "store configuration")
	var failures backoff
	for ctx.Err() == nil {
		duty := f.opts.Duties.Duty()
		if duty == standby.Idle {
			f.unreachable.Store(false)
			wait.Sleep(ctx, roleCheckInterval)
			continue
		}
		asked := boottime.Now()
		listing, err := f.store.List(ctx, f.opts.Codec.ConfigPrefix(), kv.Linearizable)
		dependency.record(err)
		f.unreachable.Store(err != nil)
		if err != nil {
			f.recordFailedRead(boottime.Now())
			f.watches.endLists()
			if duty == standby.Read {
				f.pauseUntilReturn(ctx, &failures)
			} else {
				failures.pauseForPeers(ctx)
			}
			continue
		}
		failures.reset()
		f.handleConfigRead(ctx, duty, asked, listing)
	}
}

// handleConfigRead applies the result of a configuration read and waits until the
// next read is due. If there is no configuration yet, the watch reports the first
// one.
func (f *Follower) handleConfigRead(ctx context.Context, duty standby.Duty, asked time.Duration, listing kv.Listing) {
	position := listing.Position()
	f.applyEvacuations(listing, "read") // Before the watch may report changes after the position.
	f.configPosition.Store(&position)
	f.recordEraWrites(listing)
	f.applyConfigEntries(listing, "read", asked)
	if duty == standby.Probe {
		f.opts.Log.Info("store_probed", zap.Duration("confirmation_age", asked-f.opts.Loop.Snapshot().RoutesConfirmed))
		f.opts.Duties.ProbeSucceeded(asked)
	}
	wait.Sleep(ctx, maxWatchLag)
	f.watches.endBehind(position)
	poll := f.opts.Duties.PollInterval()
	f.awaitNextRead(ctx, asked, max(poll-maxWatchLag, maxWatchLag)-rand.N(poll/pollJitterDivisor))
}

// recordEraWrites reports a configuration that was written in the current era: its revision is above
// that of the first read of the era.
func (f *Follower) recordEraWrites(listing kv.Listing) {
	if listing.Era != f.eraBegin.Era {
		f.eraBegin = listing.Position()
	}
	for _, e := range listing.Entries {
		if e.Key == f.opts.Codec.ConfigKey() && e.Revision > f.eraBegin.Revision {
			f.reportWritten(listing.Era)
		}
	}
}

// reportWritten reports that the configuration has been written in an era, while the store does not
// count as complete.
func (f *Follower) reportWritten(era kv.Era) {
	if now := boottime.Now(); now < f.opts.Loop.Snapshot().SettledAt {
		f.opts.Loop.Post(control.ConfigurationWritten{Era: int64(era), At: now})
	}
}

// pauseUntilReturn waits before a failed read is repeated. It ends when another call or a peer tells
// that the store has come back from a copy: only a write after the first read of an era shows that
// the operator has written in it.
func (f *Follower) pauseUntilReturn(ctx context.Context, failures *backoff) {
	era := f.era.current()
	for due := boottime.Now() + failures.next(); ctx.Err() == nil && f.era.current() == era; {
		left := due - boottime.Now()
		if left <= 0 {
			return
		}
		wait.Sleep(ctx, min(left, roleCheckInterval))
	}
}

// awaitNextRead waits for an interval after a read that began at asked. It ends earlier when the
// store has settled after its return from a copy, since only reads from then on confirm.
func (f *Follower) awaitNextRead(ctx context.Context, asked, interval time.Duration) {
	for due := boottime.Now() + interval; ctx.Err() == nil; {
		left := due - boottime.Now()
		if settled := f.opts.Loop.Snapshot().SettledAt; settled > asked {
			left = min(left, settled-boottime.Now())
		}
		if left <= 0 {
			return
		}
		wait.Sleep(ctx, min(left, roleCheckInterval))
	}
}

// applyConfig makes a configuration of an era current. If it cannot be decoded, the previous
// one stays current.
func (f *Follower) applyConfig(value []byte, era int64, source string, confirmed time.Duration) {
	snap := f.opts.Loop.Snapshot()
	if snap.Routes != nil && string(snap.RoutesContent) == string(value) {
		if confirmed > 0 {
			f.opts.Loop.Post(control.RoutesConfirmed{Version: snap.Routes.Version, At: confirmed, Era: era})
		}
		return
	}
	table, err := f.opts.Codec.DecodeConfig(value)
	if err != nil {
		f.opts.Log.Error("configuration_rejected", zap.String("source", source), telemetry.Error(err))
		return
	}
	f.opts.Loop.Post(control.RoutesReceived{Table: table, Content: value, Source: source, Confirmed: confirmed, Era: era})
}

// watchConfig applies new configurations as soon as they are written. It watches
// from the position that confirmConfig has read.
func (f *Follower) watchConfig(ctx context.Context) {
	f.start.awaitRole(ctx)
	var after *kv.Position
	var failures backoff
	for ctx.Err() == nil {
		if f.suspended() {
			after = nil
			f.configPosition.Store(nil)
			wait.Sleep(ctx, roleCheckInterval)
			continue
		}
		if after == nil {
			after = f.configPosition.Load()
		}
		if after == nil || after.Era < f.era.current() {
			after = nil // The next read of the configuration is of the current era.
			wait.Sleep(ctx, roleCheckInterval)
			continue
		}
		call, end := f.watches.begin(ctx, nil, *after)
		changes, err := f.store.watchFrom(call, f.opts.Codec.ConfigPrefix(), *after)
		behind := end()
		if _, ok := errors.Into[*kv.CompactedError](err); ok || behind && err != nil {
			f.opts.Log.Warn("configuration_history_lost", zap.Int64("revision", after.Revision), zap.Int64("era", int64(after.Era)))
			f.configPosition.CompareAndSwap(after, nil)
			after = nil
			continue
		}
		if err != nil {
			failures.pause(ctx)
			continue
		}
		failures.reset()
		position := changes.Position()
		after = &position
		for _, c := range changes.Changes {
			f.applyEvacuationChange(c, changes.Era)
			if !c.Removed && c.Key == f.opts.Codec.ConfigKey() {
				f.reportWritten(changes.Era)
				f.applyConfigEntries(kv.Listing{Entries: []kv.Entry{c.Entry}, Era: changes.Era}, "watch", 0)
			}
		}
	}
}

// applyConfigEntries applies the configuration if it is among the entries of a listing.
func (f *Follower) applyConfigEntries(listing kv.Listing, source string, confirmed time.Duration) {
	for _, e := range listing.Entries {
		if e.Key == f.opts.Codec.ConfigKey() {
			f.applyConfig(e.Value, int64(listing.Era), source, confirmed)
		}
	}
}
