package discovery

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// announce keeps the entry of this VM under a lease until ctx ends.
func (f *Follower) announce(ctx context.Context) {
	dependency := newDependency(f.opts.Log, "store lease")
	var lease kv.LeaseID
	var failures backoff
	for ctx.Err() == nil {
		if f.unreachable.Load() {
			wait.Sleep(ctx, roleCheck)
			continue
		}
		var err error
		if lease == 0 {
			lease, err = f.register(ctx)
		} else if err = f.opts.Store.KeepAlive(ctx, lease); isNotFound(err) {
			lease = 0
			continue
		}
		f.note(dependency, err)
		if err != nil {
			failures.pause(ctx)
			continue
		}
		failures.reset()
		wait.Sleep(ctx, f.leaseTime()/3)
	}
}

func (f *Follower) leaseTime() time.Duration { return max(leaseTime, f.opts.MinLease) }

// register writes the entry of this VM under a new lease. An entry of an
// earlier run of the VM is replaced.
func (f *Follower) register(ctx context.Context) (kv.LeaseID, error) {
	key, value, err := f.opts.Codec.EncodeMember(f.opts.Self)
	if err != nil {
		return 0, err
	}
	lease, err := f.opts.Store.GrantLease(ctx, f.leaseTime())
	if err != nil {
		return 0, err
	}
	_, err = f.opts.Store.CompareAndSwap(ctx, key, value, 0, lease)
	if conflict, ok := errors.Into[*kv.ConflictError](err); ok {
		_, err = f.opts.Store.CompareAndSwap(ctx, key, value, conflict.Revision, lease)
	}
	if err != nil {
		return 0, err
	}
	f.opts.Log.Info("vm_announced", zap.String("key", key))
	return lease, nil
}

func isNotFound(err error) bool {
	_, ok := errors.Into[*kv.NotFoundError](err)
	return ok
}

func sortVMs(vms []vmlist.VM) {
	slices.SortFunc(vms, func(a, b vmlist.VM) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.ID, b.ID))
	})
}
