// Package discovery keeps the configuration, the backend servers and the entry
// VMs of the control state up to date from the platform's store, and announces
// this VM there.
package discovery

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/retry"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/standby"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Store is the part of the platform's store that discovery uses.
type Store interface {
	kv.Getter
	kv.Swapper
	kv.Leaser
	kv.Lister
	kv.PrefixWatcher
	kv.Observable
}

// Codec encodes and decodes the entries of the store.
type Codec interface {
	// ConfigKey is the key of the operator's configuration. ConfigPrefix is a
	// key prefix that includes it.
	ConfigKey() string
	ConfigPrefix() string
	DecodeConfig(value []byte) (*route.Table, error)
	// EvacuationPrefix is the key prefix of the evacuated availability zones. It begins with
	// ConfigPrefix. DecodeEvacuation returns the name of the zone.
	EvacuationPrefix() string
	DecodeEvacuation(e kv.Entry) (zone string, err error)
	// ServerPrefix is the key prefix of backend servers, VMPrefix that of entry VMs.
	ServerPrefix() string
	VMPrefix() string
	DecodeServer(e kv.Entry) (vmlist.VM, error)
	DecodeVM(e kv.Entry) (vmlist.VM, error)
	EncodeVM(vm vmlist.VM) (key string, value []byte, err error)
}

// Duties assigns this VM its role in accessing the store: reader, standby that
// probes, or idle.
type Duties interface {
	Duty() standby.Duty
	// ProbeSucceeded records that the store has answered a probe. The argument is the
	// start time of the probe on the clock of package boottime.
	ProbeSucceeded(asked time.Duration)
	// PollInterval is the interval between reads of the configuration for a reader.
	PollInterval() time.Duration
}

// alwaysReader makes this VM a reader permanently. It is used without peers.
type alwaysReader struct{}

func (alwaysReader) Duty() standby.Duty           { return standby.Read }
func (alwaysReader) ProbeSucceeded(time.Duration) {}
func (alwaysReader) PollInterval() time.Duration  { return standby.IntervalsFor(0, 0, 0).Poll }

// Options are the parameters of a Follower.
type Options struct {
	// Self is the entry of this VM, which it announces to other entry VMs.
	Self  vmlist.VM
	Store Store
	Codec Codec
	Loop  *control.Loop
	// MinLease is the shortest lease duration that the store grants.
	MinLease time.Duration
	// FirstStart is set when the whole system starts for the first time. Only
	// readers then read the configuration and the backend servers.
	FirstStart bool
	// Duties determines what this VM reads from the store rather than receives
	// from peers. If it is nil, this VM is always a reader.
	Duties Duties
	// Intervals are the intervals for readers. The zero value selects the defaults.
	Intervals standby.Intervals
	// OnEntry is called with the entries that the first read returns for other keys than
	// those of VMs, backend servers and the configuration. It may be nil.
	OnEntry func(kv.Entry)
	// OnAnnounced is called when the entry of this VM has been written. It may be nil.
	OnAnnounced func()
	// Metrics receives the counters of calls to the store. If it is nil, they are
	// not exported.
	Metrics metrics.Registry
	Log     *zap.Logger
}

// Timing of the calls to the store.
const (
	// watchTimeout is how long a watch waits for a change. The store allows at
	// most 30 s.
	watchTimeout = 25 * time.Second
	// maxWatchLag is how long a watch of backend servers may lag behind the
	// position of a read. After that the servers are listed again.
	maxWatchLag = 200 * time.Millisecond
	// retryPauseMin and retryPauseMax limit the pause after a failed call, which
	// doubles with each consecutive failure. Rejected calls count against the
	// store's call limit like successful ones.
	retryPauseMin = 150 * time.Millisecond
	retryPauseMax = 900 * time.Millisecond
	// peerPauseMin and peerPauseMax limit the pause of a VM that receives updates
	// from peers as soon as one of them reaches the store. They are longer because
	// all VMs retry during an outage of the store.
	peerPauseMin = 700 * time.Millisecond
	peerPauseMax = 3 * time.Second
	// lapseGrace is how long the entry of a backend server that disappeared
	// around an outage of the store stays in use. A running server registers again
	// about 2 s after the outage. The grace period is shorter than 2 s because that
	// is also the shortest time after which leaving servers must get no new work.
	lapseGrace = 1700 * time.Millisecond
	// outageMargin is the time for the takeover by a standby to become known. If
	// no takeover is known after it, a failed read means that the store is
	// unavailable and not only unreachable from this VM.
	outageMargin = time.Second
	// outageWindow is how long after an outage a missing entry is assumed to have
	// lapsed rather than been removed.
	outageWindow = 3 * time.Second
	// memberWatchPause is the pause between watches of entry VMs. It batches the
	// registrations of many VMs that start at the same time.
	memberWatchPause = 300 * time.Millisecond
	// peerListTimeout is how long a VM waits after its start to receive the backend
	// servers from peers if the store does not return all of them in one page.
	peerListTimeout = 4 * time.Second
	// defaultLeaseDuration is the lease duration of the entry of this VM. It exceeds
	// the time for which the store may reject the calls of a VM, because peers
	// communicate only with listed VMs. A long lease does not delay failure
	// detection: peers detect within seconds that a listed VM is not running.
	defaultLeaseDuration = 2 * time.Minute
	// renewInterval is the interval between renewals of the lease.
	renewInterval = defaultLeaseDuration / 4
	// renewJitter is the period over which the VMs spread the renewal of their
	// leases after an outage of the store, in which leases may have expired, and announce
	// themselves again after its return from a copy. Together with control.ReturnSettleTime it is below
	// the time for which VMs that are not listed stay in use.
	renewJitter = 4 * time.Second
	// firstStartDelay is how long a VM waits before it lists the entry VMs when the
	// whole system starts for the first time. All VMs have then announced
	// themselves, and only the highest-ranked ones become readers.
	firstStartDelay = time.Second
	// unlistedRenewInterval is the interval between renewals while this VM is not
	// listed.
	unlistedRenewInterval = time.Second
	// revokeTimeout limits the revocation of the lease when the VM stops.
	revokeTimeout = 200 * time.Millisecond
	// pollJitterDivisor sets the jitter of reads of the configuration: a read may
	// start earlier by up to the interval divided by it.
	pollJitterDivisor = 8
	// roleCheckInterval is the interval between checks of whether this VM has to
	// access the store.
	roleCheckInterval = 100 * time.Millisecond
)

// Follower applies changes in the store to the control state and announces this
// VM in the store.
type Follower struct {
	opts  Options
	store fencedStore
	list  *list
	// lastOutageAt is the last time at which the store was found to be unavailable,
	// on the clock of package boottime, or 0.
	lastOutageAt atomic.Int64
	// unreachable is set while the last read of the configuration has failed. No
	// other calls to the store are made until a read succeeds.
	unreachable atomic.Bool
	// watches are the pending watches.
	watches openWatches
	// configPosition is the position of the last read of the configuration, from which the
	// watch starts, nil if there is none to start from.
	configPosition atomic.Pointer[kv.Position]
	// eraBegin is the position of the first read of the configuration in the current era. Only
	// confirmConfig uses it.
	eraBegin kv.Position
	// serversRequestedAt is the time at which this VM first needed the backend
	// servers, on the clock of package boottime.
	serversRequestedAt atomic.Int64
	start              startup
	calls              *callCounters
	// rejectedEvacuations holds the keys of evacuations that could not be decoded.
	rejectedEvacuations loggedKeys
	era                 eraWatch
	// checkedMembers is the list of entry VMs that method listed last searched, and
	// selfListed the result.
	checkedMembers *vmlist.List
	selfListed     bool
}

// New returns a follower. The caller must run its Tasks.
func New(o Options) *Follower {
	if o.Duties == nil {
		o.Duties = alwaysReader{}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Intervals == (standby.Intervals{}) {
		o.Intervals = standby.IntervalsFor(0, 0, 0)
	}
	f := &Follower{opts: o, start: newStartup(), calls: newCallCounters(o.Metrics), era: eraWatch{loop: o.Loop}}
	f.store = fencedStore{Store: o.Store, era: &f.era}
	o.Store.Observe(func(kind kv.CallKind, era kv.Era, err error) {
		f.calls.observe(kind, err)
		if f.era.observe(era) {
			f.watches.endBefore(era)
		}
	})
	f.list = newList(o, f.afterOutage)
	return f
}

// afterOutage reports whether the store was unavailable recently.
func (f *Follower) afterOutage() bool {
	out := time.Duration(f.lastOutageAt.Load())
	return out > 0 && boottime.Now()-out < outageWindow
}

// recordFailedRead handles a failed read of the configuration. It records an
// outage only if no other VM reaches the store either: while others do, a missing
// entry means that the server has left.
func (f *Follower) recordFailedRead(now time.Duration) {
	if f.storeUnavailable(now) {
		f.lastOutageAt.Store(int64(now))
	}
}

// Tasks returns the background tasks of the follower.
func (f *Follower) Tasks() []func(context.Context) {
	return []func(context.Context){
		f.watchConfig, f.confirmConfig, f.announce,
		func(ctx context.Context) { f.followPrefix(ctx, f.list.servers) },
		func(ctx context.Context) { f.followPrefix(ctx, f.list.members) },
		f.list.expireLapsed,
		func(ctx context.Context) { f.calls.report(ctx, f.opts.Log) },
	}
}

// backoff computes the pauses between retries of consecutive failed calls.
type backoff struct{ failures int }

// pause waits before a failed call is retried.
func (b *backoff) pause(ctx context.Context) bool { return wait.Sleep(ctx, b.next()) }

// next returns the pause before a failed call is retried.
func (b *backoff) next() time.Duration {
	b.failures++
	return retry.Backoff(b.failures, retryPauseMin, retryPauseMax)
}

// pauseForPeers is the longer pause of a VM that receives updates from peers.
func (b *backoff) pauseForPeers(ctx context.Context) bool {
	b.failures++
	return wait.Sleep(ctx, retry.Backoff(b.failures, peerPauseMin, peerPauseMax))
}

func (b *backoff) reset() { b.failures = 0 }

// isReader reports whether this VM reads from the store, either on behalf of its
// peers or because it receives no updates from them.
func (f *Follower) isReader() bool { return f.opts.Duties.Duty() == standby.Read }

// suspended reports whether this VM must not list or watch for now, because other
// VMs do so or because the store is unreachable.
func (f *Follower) suspended() bool { return !f.isReader() || f.unreachable.Load() }
