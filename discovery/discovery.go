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

// Codec translates the entries of the store.
type Codec interface {
	// ConfigKey is the key of the operator's configuration, ConfigPrefix one
	// that covers it.
	ConfigKey() string
	ConfigPrefix() string
	DecodeConfig(value []byte) (*route.Table, error)
	// ServerPrefix covers the entries of backend servers, VMPrefix those of entry VMs.
	ServerPrefix() string
	VMPrefix() string
	DecodeServer(e kv.Entry) (vmlist.VM, error)
	DecodeMember(e kv.Entry) (vmlist.VM, error)
	EncodeMember(vm vmlist.VM) (key string, value []byte, err error)
}

// Duties decides what a VM asks of the store.
type Duties interface {
	Duty() standby.Duty
	// Reached notes that the store has answered a probe that began at a time on
	// the clock of package boottime.
	Reached(asked time.Duration)
	// Poll is the time between reads of the configuration while the duty is to read.
	Poll() time.Duration
}

// allDuties are those of a VM without peers.
type allDuties struct{}

func (allDuties) Duty() standby.Duty    { return standby.Read }
func (allDuties) Reached(time.Duration) {}
func (allDuties) Poll() time.Duration   { return standby.TimesFor(0, 0, 0).Poll }

// Options are the parameters of a Follower.
type Options struct {
	// Self is announced to other entry VMs.
	Self  vmlist.VM
	Store Store
	Codec Codec
	Loop  *control.Loop
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
	// FirstStart says that the whole system starts for the first time. VMs then
	// leave it to the readers to read the configuration and the backend servers.
	FirstStart bool
	// Duties says what this VM reads from the store, and what it hears from
	// peers. Nil means that it reads always.
	Duties Duties
	// Times are the intervals of those that read. The zero value stands for the default.
	Times standby.Times
	// Metrics holds the counters of calls to the store. Nil means that nobody reads them.
	Metrics metrics.Registry
	Log     *zap.Logger
}

// Times of the calls to the store.
const (
	// watchTimeout is how long a watch waits for a change. The store allows 30 s.
	watchTimeout = 25 * time.Second
	// maxWatchLag is how long a watch of backend servers may be behind the revision
	// of a read. After that the servers are listed again.
	maxWatchLag = 200 * time.Millisecond
	// retryPauseMin and retryPauseMax bound the pause after a failed call, which
	// doubles with each failure in a row. Calls that the store refuses cost as
	// much as others.
	retryPauseMin = 150 * time.Millisecond
	retryPauseMax = 900 * time.Millisecond
	// peerPauseMin and peerPauseMax are the same for a VM that hears from peers as
	// soon as one of them reaches the store. While the store is out, all VMs ask.
	peerPauseMin = 700 * time.Millisecond
	peerPauseMax = 3 * time.Second
	// lapseGrace is how long the entry of a backend server that went missing
	// around an outage of the store is still used. A living server is back about
	// two seconds after the outage; the least bound for leaving servers is two
	// seconds as well, so the grace stays below it.
	lapseGrace = 1700 * time.Millisecond
	// outageMargin is the time after which a takeover by another VM would have
	// been heard of. If none was, a failed read means that the store is out and
	// not just this VM cut off.
	outageMargin = time.Second
	// outageWindow is how long after an outage missing entries may have lapsed.
	outageWindow = 3 * time.Second
	// memberWatchPause is the time between watches of entry VMs. When a fleet starts,
	// many register within it.
	memberWatchPause = 300 * time.Millisecond
	// memberGrace is how long the entry of an entry VM is still used after it
	// went missing around an outage. Peers notice by themselves whether it runs,
	// so it only has to be longer than renewSpread and the time to hear of the
	// return of the store.
	memberGrace = 10 * time.Second
	// peerListTimeout is how long after its start a VM waits for peers to tell the
	// backend servers of a pool that the store does not give in one answer.
	peerListTimeout = 4 * time.Second
	// defaultLeaseDuration is the lease of the entry of this VM. It outlasts the time for
	// which the store may refuse a VM: peers talk only to VMs that are listed,
	// and notice within seconds if one of those does not run.
	defaultLeaseDuration = 2 * time.Minute
	// renewInterval is the time between renewals of the lease.
	renewInterval = defaultLeaseDuration / 4
	// renewJitter is the time within which all VMs renew their leases after an
	// outage of the store, which may have ended them.
	renewJitter = 4 * time.Second
	// firstStartDelay is how long a VM of a system that starts for the first time waits
	// before it lists the entry VMs, so that all have announced themselves and only
	// the highest ranked ones take themselves for readers.
	firstStartDelay = time.Second
	// unlistedRenewInterval is the time between renewals of a VM that is not listed.
	unlistedRenewInterval = time.Second
	// revokeTimeout bounds the end of the lease when the VM stops.
	revokeTimeout = 200 * time.Millisecond
	// pollJitterDivisor is the part of the time between polls by which one may come sooner.
	pollJitterDivisor = 8
	// roleCheckInterval is the time between looks at whether this VM reads from the store now.
	roleCheckInterval = 100 * time.Millisecond
)

// Follower follows the store.
type Follower struct {
	opts Options
	list *list
	// lastOutageAt is the last time at which the store was found to be out, on the clock
	// of package boottime.
	lastOutageAt atomic.Int64
	// unreachable says that the last read of the configuration failed. Until it
	// succeeds, nothing else is asked of the store.
	unreachable atomic.Bool
	// watches are the calls that wait for changes of lists.
	watches openWatches
	// configRevision is the revision of the store at the last read of the
	// configuration, from which its watch continues.
	configRevision atomic.Int64
	// serversRequestedAt is when this VM asked for backend servers first, on the clock of
	// package boottime.
	serversRequestedAt atomic.Int64
	start              startup
	calls              *callCounters
	// checkedMembers is the list of entry VMs in which listed has looked last, and found
	// whether it has this VM.
	checkedMembers *vmlist.List
	selfListed     bool
}

// New returns a follower. Run must be called.
func New(o Options) *Follower {
	if o.Duties == nil {
		o.Duties = allDuties{}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Times == (standby.Times{}) {
		o.Times = standby.TimesFor(0, 0, 0)
	}
	f := &Follower{opts: o, start: newStartup(), calls: newCallCounters(o.Metrics)}
	o.Store.Observe(f.calls.observe)
	f.list = newList(o, f.afterOutage)
	return f
}

// afterOutage reports whether the store was out recently.
func (f *Follower) afterOutage() bool {
	out := time.Duration(f.lastOutageAt.Load())
	return out > 0 && boottime.Now()-out < outageWindow
}

// recordFailedRead takes a read of the configuration that failed. While other VMs
// succeed, servers that go missing have left.
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

// backoff spaces the attempts of one series of failed calls.
type backoff struct{ failures int }

// pause waits before a failed call is repeated.
func (b *backoff) pause(ctx context.Context) bool {
	b.failures++
	return wait.Sleep(ctx, retry.Backoff(b.failures, retryPauseMin, retryPauseMax))
}

// pauseForPeers is the pause of a VM that need not be the first to reach the store.
func (b *backoff) pauseForPeers(ctx context.Context) bool {
	b.failures++
	return wait.Sleep(ctx, retry.Backoff(b.failures, peerPauseMin, peerPauseMax))
}

func (b *backoff) reset() { b.failures = 0 }

// isReader reports whether this VM reads for others, or for itself since no peer
// tells it anything.
func (f *Follower) isReader() bool { return f.opts.Duties.Duty() == standby.Read }

// suspended reports whether this VM is to list and watch nothing for now: others do
// it, or the store does not answer.
func (f *Follower) suspended() bool { return !f.isReader() || f.unreachable.Load() }
