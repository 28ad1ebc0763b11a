package discovery

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/kv"
)

// settledVMAge is the age from which an entry VM that has announced itself in the current era shows
// that the era did not begin a moment ago: VMs that ran before its begin announce themselves
// after control.ReturnSettleTime, and others are younger. It leaves room for clocks that differ.
const settledVMAge = 10 * time.Second

// mayLackWrites reports whether the store may have come back from a copy a moment before a
// read, so that the read may have an older configuration than other VMs. A store without eras
// never does.
func (f *Follower) mayLackWrites(listing kv.Listing) bool {
	if listing.Era == 0 {
		return false
	}
	now := time.Now()
	for _, e := range listing.Entries {
		if !strings.HasPrefix(e.Key, f.opts.Codec.VMPrefix()) {
			continue
		}
		vm, err := f.opts.Codec.DecodeVM(e)
		if err == nil && vm.Era == int64(listing.Era) && now.Sub(time.UnixMilli(vm.Incarnation)) > settledVMAge {
			return false
		}
	}
	return true
}

// awaitSettled waits until a peer has sent its configuration, or until the store has had the
// time to get its newest one again. It then returns a read of the configuration.
func (f *Follower) awaitSettled(ctx context.Context, asked time.Duration, listing kv.Listing) (time.Duration, kv.Listing) {
	begin := boottime.Now()
	f.opts.Loop.Post(control.FirstEraBegan{At: begin})
	for f.opts.Loop.Snapshot().Routes == nil && boottime.Now()-begin < control.ReturnSettleTime && ctx.Err() == nil {
		wait.Sleep(ctx, roleCheckInterval)
	}
	fromPeer := f.opts.Loop.Snapshot().Routes != nil
	f.opts.Log.Info("first_configuration_awaited", zap.Bool("from_peer", fromPeer), zap.Duration("waited", boottime.Now()-begin),
		zap.Int64("era", int64(listing.Era)))
	if fromPeer {
		return asked, listing
	}
	var failures backoff
	for ctx.Err() == nil {
		again := boottime.Now()
		config, err := f.store.List(ctx, f.opts.Codec.ConfigPrefix(), kv.Linearizable)
		if err == nil {
			return again, config
		}
		failures.pause(ctx)
	}
	return asked, listing
}
