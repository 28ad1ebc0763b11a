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

// list holds the entries of backend servers and those of entry VMs. They are
// watched apart, so each has a revision of its own.
type list struct {
	opts Options
	// afterOutage says whether entries may have lapsed in an outage of the store.
	afterOutage func() bool

	mu               sync.Mutex
	servers, members *section
}

// sourceStore is the source of lists that this VM has read itself.
const sourceStore = "store"

// A published list has the revision of the store, shifted, and below it how much
// is certain. A list that still holds lapsed entries is below one of the same
// revision that holds none: a VM that was cut off alone takes servers that left
// for lapsed ones, and must not hide what others know.
const (
	revisionShift = 8
	maxFreshness  = 1<<revisionShift - 1
)

// section holds the entries of one prefix.
type section struct {
	prefix string
	// entryVMs says that the section holds entry VMs, and no backend servers.
	entryVMs bool
	decode   func(kv.Entry) (vmlist.VM, error)
	// grace is how long an entry that lapsed in an outage is still used.
	grace   time.Duration
	entries map[string]vmlist.VM
	// lapsed maps entries that went missing around an outage to the time at
	// which they count as gone.
	lapsed map[string]time.Duration
	// revision is that of the store, expired counts changes without one since.
	revision, expired int64
	// post puts a list in force.
	post func(*vmlist.List)
}

func newList(o Options, afterOutage func() bool) *list {
	section := func(prefix string, entryVMs bool, decode func(kv.Entry) (vmlist.VM, error), post func(*vmlist.List)) *section {
		grace := lapseGrace
		if entryVMs {
			grace = memberGrace
		}
		return &section{
			prefix: prefix, entryVMs: entryVMs, decode: decode, grace: grace, post: post,
			entries: map[string]vmlist.VM{}, lapsed: map[string]time.Duration{},
		}
	}
	return &list{
		opts: o, afterOutage: afterOutage,
		servers: section(o.Codec.ServerPrefix(), false, o.Codec.DecodeServer, func(l *vmlist.List) {
			o.Loop.Post(control.ServersListed{List: l, Source: sourceStore})
		}),
		members: section(o.Codec.VMPrefix(), true, o.Codec.DecodeMember, func(l *vmlist.List) {
			o.Loop.Post(control.MembersListed{List: l, Source: sourceStore})
		}),
	}
}

// seed begins with the entries in force, which peers may have told, so that
// those that lapse in an outage are known.
func (l *list) seed(s *section, vms []vmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.entries, s.lapsed = map[string]vmlist.VM{}, map[string]time.Duration{}
	for _, vm := range vms {
		if (vm.Role == vmlist.RoleEntry) == s.entryVMs {
			s.entries[s.prefix+vm.ID] = vm
		}
	}
}

// replace takes a complete listing.
func (l *list) replace(s *section, listing kv.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := s.entries
	lapsed := s.lapsed
	s.entries, s.lapsed = map[string]vmlist.VM{}, map[string]time.Duration{}
	for _, e := range listing.Entries {
		l.set(s, e, old)
	}
	l.opts.Log.Info("entries_listed", zap.String("prefix", s.prefix), zap.Int("entries", len(listing.Entries)),
		zap.Int("known", len(old)), zap.Int64("revision", listing.Revision))
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
	s.advance(listing.Revision)
	s.publish()
}

// handleMissing handles an entry that is no longer there. Around an outage it is kept
// for a while, since a living server registers again, unless it was leaving.
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

// change takes events of a watch.
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
		s.advance(changes.Changes[n-1].Revision)
		s.publish()
	}
}

// set decodes one entry and logs how it differs from the old ones. The first
// listing is not compared. An entry that cannot be read names no server to use.
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

// expireLapsed ends the grace of lapsed entries.
func (l *list) expireLapsed(ctx context.Context) {
	for wait.Sleep(ctx, roleCheckInterval) {
		l.expire(boottime.Now())
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

// advance notes the revision of the store that the entries have reached.
func (s *section) advance(revision int64) {
	if revision > s.revision {
		s.revision, s.expired = revision, 0
	}
}

// freshness rises as lapsed entries expire, and is highest without them.
func (s *section) freshness() int64 {
	if len(s.lapsed) == 0 {
		return maxFreshness
	}
	return min(s.expired, maxFreshness-1)
}

// publish posts the list of a section. The lock must be held.
func (s *section) publish() {
	out := &vmlist.List{Revision: s.revision<<revisionShift + s.freshness()}
	for _, vm := range s.entries {
		out.VMs = append(out.VMs, vm)
	}
	sortVMs(out.VMs)
	s.post(out)
}
