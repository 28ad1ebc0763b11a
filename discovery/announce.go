package discovery

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// heldLease is the lease of the entry of this VM, with the era in which it was granted. Its id
// may be that of another lease in a later era.
type heldLease struct {
	id  kv.LeaseID
	era kv.Era
}

// announce keeps the entry of this VM in the store under a lease until ctx ends.
// It then revokes the lease, so that peers learn immediately that the VM has
// stopped.
func (f *Follower) announce(ctx context.Context) {
	dependency := newDependency(f.opts.Log, "store lease")
	var lease heldLease
	var failures backoff
	entry := f.start.awaitFirstRead(ctx).selfRevision
	for ctx.Err() == nil {
		if f.unreachable.Load() {
			wait.Sleep(ctx, roleCheckInterval)
			continue
		}
		var err error
		switch {
		case lease.id == 0:
			lease, err = f.register(ctx, entry)
		case lease.era < f.era.current():
			f.opts.Log.Info("vm_lease_of_earlier_era", zap.Int64("lease", int64(lease.id)), zap.Int64("era", int64(lease.era)))
			lease = heldLease{}
			wait.Sleep(ctx, control.ReturnSettleTime+rand.N(renewJitter))
			continue
		default:
			err = f.opts.Store.KeepAlive(ctx, lease.id)
		}
		if isNotFound(err) && lease.id != 0 {
			f.opts.Log.Warn("vm_lease_lost", zap.Int64("lease", int64(lease.id)))
			lease = heldLease{}
			continue
		}
		dependency.record(err)
		f.start.markAnnounced()
		if err != nil {
			failures.pause(ctx)
			continue
		}
		failures.reset()
		f.awaitRenewal(ctx, lease.era)
	}
	f.revoke(lease)
}

// awaitRenewal waits until the lease of an era must be renewed. That is after renewInterval,
// or earlier if this VM is no longer listed, if the store has recovered from an
// outage in which leases may have expired, or if it has come back from a copy.
func (f *Follower) awaitRenewal(ctx context.Context, era kv.Era) {
	due := time.Now().Add(renewInterval)
	wait.Sleep(ctx, unlistedRenewInterval)
	for wasOut := false; ctx.Err() == nil && time.Now().Before(due) && f.listed() && era == f.era.current(); {
		out := f.storeUnavailable(boottime.Now())
		if wasOut && !out {
			wait.Sleep(ctx, rand.N(renewJitter))
			return
		}
		wasOut = wasOut || out
		wait.Sleep(ctx, roleCheckInterval)
	}
}

// storeUnavailable reports whether no VM has reached the store for longer than it
// takes a standby to take over from a reader.
func (f *Follower) storeUnavailable(now time.Duration) bool {
	return now-f.opts.Loop.Snapshot().RoutesConfirmed > f.opts.Intervals.TakeoverAge+outageMargin
}

// listed reports whether the current list of entry VMs contains this VM. It is
// true if there is no list yet. Only the goroutine of announce may call it.
func (f *Follower) listed() bool {
	members := f.opts.Loop.Snapshot().Members
	if members != f.checkedMembers {
		self := func(vm vmlist.VM) bool { return vm.ID == f.opts.Self.ID }
		f.checkedMembers, f.selfListed = members, members.Revision == 0 || slices.ContainsFunc(members.VMs, self)
	}
	return f.selfListed
}

// revoke revokes the lease when the VM stops. If that fails, peers suspect the VM
// until the lease expires. A lease of an earlier era may be that of another VM now.
func (f *Follower) revoke(lease heldLease) {
	if lease.id == 0 || f.unreachable.Load() {
		return
	}
	if lease.era < f.era.current() {
		f.opts.Log.Info("vm_lease_left", zap.Int64("lease", int64(lease.id)), zap.Int64("era", int64(lease.era)))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := f.opts.Store.RevokeLease(ctx, lease.id); err != nil {
		f.opts.Log.Info("vm_lease_left", telemetry.Error(err))
	}
}

func (f *Follower) leaseDuration() time.Duration { return max(defaultLeaseDuration, f.opts.MinLease) }

// register writes the entry of this VM under a new lease. It replaces the entry
// from an earlier run of the VM, whose revision is expected. If the store comes back from a
// copy meanwhile, the lease may be that of another VM, and the error is a *kv.EraError.
func (f *Follower) register(ctx context.Context, expected int64) (heldLease, error) {
	before := f.era.current()
	lease, err := f.opts.Store.GrantLease(ctx, f.leaseDuration())
	if err != nil {
		return heldLease{}, err
	}
	self, era := f.opts.Self, f.era.current()
	if before > 0 && before != era {
		return heldLease{}, &kv.EraError{Want: before, Got: era}
	}
	self.Era = int64(era)
	key, value, err := f.opts.Codec.EncodeVM(self)
	if err != nil {
		return heldLease{}, err
	}
	_, err = f.opts.Store.CompareAndSwap(ctx, key, value, expected, lease)
	if conflict, ok := errors.Into[*kv.ConflictError](err); ok {
		_, err = f.opts.Store.CompareAndSwap(ctx, key, value, conflict.Revision, lease)
	}
	if err != nil {
		return heldLease{}, err
	}
	if now := f.era.current(); now != era {
		return heldLease{}, &kv.EraError{Want: era, Got: now}
	}
	f.opts.Log.Info("vm_announced", zap.String("key", key), zap.Int64("lease", int64(lease)), zap.Int64("era", int64(era)))
	if f.opts.OnAnnounced != nil {
		f.opts.OnAnnounced()
	}
	return heldLease{lease, era}, nil
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
