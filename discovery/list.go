package discovery

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// list holds the entries of backend servers and of entry VMs. They are watched
// separately, so each section has its own revision.
type list struct {
	opts Options
	// afterOutage reports whether entries may have lapsed in an outage of the store.
	afterOutage func() bool

	mu               sync.Mutex
	servers, members *section
}

// section holds the entries of one prefix.
type section struct {
	prefix string
	// entryVMs is true for entry VMs and false for backend servers.
	entryVMs bool
	decode   func(kv.Entry) (vmlist.VM, error)
	// grace is how long an entry stays in use after it lapsed in an outage.
	grace   time.Duration
	entries map[string]vmlist.VM
	// lapsed maps the keys of entries that disappeared around an outage to the
	// time at which they are removed.
	lapsed map[string]time.Duration
	// position is the position of the store that the entries reflect. expired counts the
	// changes by expiry of lapsed entries since then, which have no store revision.
	position kv.Position
	expired  int64
	// post sends a list to the control loop.
	post func(*vmlist.List)
}

func newList(o Options, afterOutage func() bool) *list {
	section := func(prefix string, entryVMs bool, decode func(kv.Entry) (vmlist.VM, error), post func(*vmlist.List)) *section {
		grace := lapseGrace
		if entryVMs {
			grace = control.MissingMemberGrace
		}
		return &section{
			prefix: prefix, entryVMs: entryVMs, decode: decode, grace: grace, post: post,
			entries: map[string]vmlist.VM{}, lapsed: map[string]time.Duration{},
		}
	}
	return &list{
		opts: o, afterOutage: afterOutage,
		servers: section(o.Codec.ServerPrefix(), false, o.Codec.DecodeServer, func(l *vmlist.List) {
			o.Loop.Post(control.ServersListed{List: l, Source: eraSource})
		}),
		members: section(o.Codec.VMPrefix(), true, o.Codec.DecodeVM, func(l *vmlist.List) {
			o.Loop.Post(control.MembersListed{List: l, Source: eraSource})
		}),
	}
}

// seed initializes a section with the current entries, which may come from peers,
// so that entries that lapse in an outage can be detected. revision is that of their list.
func (l *list) seed(s *section, vms []vmlist.VM, revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if era := kv.Era(vmlist.EraOf(revision)); s.position.Era < era {
		s.position = kv.Position{Era: era}
	}
	s.entries, s.lapsed = map[string]vmlist.VM{}, map[string]time.Duration{}
	for _, vm := range vms {
		if (vm.Role == vmlist.RoleEntry) == s.entryVMs {
			s.entries[s.prefix+vm.ID] = vm
		}
	}
}

// replace applies a complete listing.
func (l *list) replace(s *section, listing kv.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := s.entries
	lapsed := s.lapsed
	if s.position.Era < listing.Era {
		// The control state keeps what a copy lacks, on all VMs and not only on those that list.
		old, lapsed = nil, nil
	}
	s.entries, s.lapsed = map[string]vmlist.VM{}, map[string]time.Duration{}
	for _, e := range listing.Entries {
		l.set(s, e, old)
	}
	l.opts.Log.Info("entries_listed", zap.String("prefix", s.prefix), zap.Int("entries", len(listing.Entries)),
		zap.Int("known", len(old)), zap.Int64("revision", listing.Revision), zap.Int64("era", int64(listing.Era)))
	for key, vm := range old {
		if _, listed := s.entries[key]; listed {
			continue
		}
		if until, waits := lapsed[key]; waits {
			s.entries[key], s.lapsed[key] = vm, until
			continue
		}
		l.handleMissing(s, key, vm)
	}
	s.advance(listing.Position())
	s.publish()
}

// handleMissing handles an entry that is no longer in the store. Around an outage
// the entry is kept for the grace period, because a running server registers
// again. Entries of leaving servers are removed immediately.
func (l *list) handleMissing(s *section, key string, vm vmlist.VM) {
	if vm.State != vmlist.StateLive || !l.afterOutage() {
		l.opts.Log.Info("entry_removed", zap.String("backend", vm.ID))
		delete(s.entries, key)
		return
	}
	s.entries[key] = vm
	s.lapsed[key] = boottime.Now() + s.grace
	l.opts.Log.Info("entry_lapsed", zap.String("backend", vm.ID), zap.Duration("kept_for", s.grace))
}

// change applies the changes reported by a watch.
func (l *list) change(s *section, changes kv.Changes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes.Changes {
		delete(s.lapsed, c.Key)
		if !c.Removed {
			l.set(s, c.Entry, s.entries)
			continue
		}
		if vm, known := s.entries[c.Key]; known {
			l.handleMissing(s, c.Key, vm)
		}
	}
	if n := len(changes.Changes); n > 0 {
		s.advance(kv.Position{Era: changes.Era, Revision: changes.Changes[n-1].Revision})
		s.publish()
	}
}

// set decodes and stores an entry, and logs a change of its state or incarnation
// unless this is the first listing. An entry that cannot be decoded is removed.
func (l *list) set(s *section, e kv.Entry, old map[string]vmlist.VM) {
	vm, err := s.decode(e)
	if err != nil {
		delete(s.entries, e.Key)
		l.opts.Log.Warn("entry_rejected", zap.String("key", e.Key), zap.Int64("revision", e.Revision), telemetry.Error(err))
		return
	}
	if was := old[e.Key]; len(old) > 0 && (was.State != vm.State || was.Incarnation != vm.Incarnation) {
		l.opts.Log.Info("entry_changed", zap.String("backend", vm.ID), zap.String("state", string(vm.State)),
			zap.String("address", vm.Address), zap.Int64("incarnation", vm.Incarnation), zap.Int64("revision", e.Revision))
	}
	s.entries[e.Key] = vm
}

// expireLapsed periodically removes lapsed entries whose grace period has ended.
func (l *list) expireLapsed(ctx context.Context) {
	for wait.Sleep(ctx, roleCheckInterval) {
		l.expire(boottime.Now())
		if l.opts.Loop.Snapshot().Retaining {
			l.opts.Loop.Post(control.EndRetention{})
		}
	}
}

func (l *list) expire(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range []*section{l.servers, l.members} {
		before := len(s.lapsed)
		for key, until := range s.lapsed {
			if now >= until {
				delete(s.lapsed, key)
				delete(s.entries, key)
			}
		}
		if len(s.lapsed) < before {
			s.expired++
			s.publish()
		}
	}
}

// advance records the position of the store that the entries reflect.
func (s *section) advance(position kv.Position) {
	if s.position.Before(position) {
		s.position, s.expired = position, 0
	}
}

// freshness returns the freshness of the published list. It increases as lapsed entries
// expire and is vmlist.MaxFreshness if there are none: a list that still holds lapsed entries
// orders before a list of the same position without them. An isolated VM mistakes removed
// servers for lapsed ones, and its list must not override the lists of other VMs.
func (s *section) freshness() int64 {
	if len(s.lapsed) == 0 {
		return vmlist.MaxFreshness
	}
	return min(s.expired, vmlist.MaxFreshness-1)
}

// publish posts the list of a section. The caller must hold the lock.
func (s *section) publish() {
	out := &vmlist.List{Revision: vmlist.NewRevision(int64(s.position.Era), s.position.Revision, s.freshness())}
	for _, vm := range s.entries {
		out.VMs = append(out.VMs, vm)
	}
	sortVMs(out.VMs)
	s.post(out)
}
