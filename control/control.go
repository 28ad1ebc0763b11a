// Package control runs the single goroutine that owns a VM's control state.
// The goroutine applies typed messages and publishes immutable snapshots, which
// request-handling goroutines read through an atomic pointer.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/evacuation"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// mailboxSize is the capacity of the message channel. Senders block when it is
// full.
const mailboxSize = 4096

// Message changes control state. Apply runs on the control goroutine and must not block.
type Message interface {
	Apply(s *State)
}

// State is owned by the control goroutine.
type State struct {
	Now    time.Time
	Signed *bundle.Signed
	Bundle *bundle.Index
	VMs    *vmlist.List
	// Servers and Members hold the backend servers and the entry VMs if the
	// platform lists them separately. VMs is then their concatenation.
	Servers, Members *vmlist.List
	// Routes is the operator's configuration of a deployment on a platform and
	// RoutesContent its source text. RoutesConfirmed is the last time at which the store is known
	// to have held it, and RoutesNewest the last one at which it is known to have been the newest
	// one, which the store does not show right after its return from a copy. Both are on the clock
	// of package boottime.
	Routes                        *route.Table
	RoutesContent                 []byte
	RoutesConfirmed, RoutesNewest time.Duration
	// Era is the highest era of the platform's store that this VM knows of. SettledAt is when the
	// store counts as complete again after its return from a copy, on the clock of package
	// boottime, 0 if this VM has seen no return.
	Era       int64
	SettledAt time.Duration
	// Suspect holds the ids of entry VMs that peers have not heard from.
	// suspectsVersion is incremented with each change of it.
	Suspect         map[string]bool
	suspectsVersion int
	// leaving holds the backend servers that have announced that they leave.
	// leavingVersion is incremented with each change of it.
	leaving        LeavingServers
	leavingVersion int
	// Evacuations are the availability zones whose backend servers get no new work, nil if there
	// have been none. uncheckedZones are those of which it is not known yet whether they have a
	// server.
	Evacuations    *evacuation.State
	uncheckedZones []evacuation.Zone

	// missing holds, by id, the VMs that are in use although the store, which has come back from
	// a copy, does not list them yet.
	missing map[string]missingVM
	// departed records the servers that have left, for the same case.
	departed departed

	// listFromPeer is set while the VM list comes from a peer and the platform
	// has not confirmed it. contradictions counts consecutive platform reads
	// that returned a lower revision.
	listFromPeer   bool
	contradictions int
	// listCeiling is the lowest VM list revision that is rejected from peers, or
	// 0 if there is no limit.
	listCeiling int64

	log   *zap.Logger
	dirty bool
}

// Changed marks the state as modified, so that the loop publishes a new snapshot
// after the current message.
func (s *State) Changed() { s.dirty = true }

// Snapshot is an immutable view of the control state.
type Snapshot struct {
	Signed *bundle.Signed
	// Bundle is nil until a bundle or a configuration has been applied.
	Bundle *bundle.Index
	VMs    *vmlist.List
	// Servers and Members are copied from State.
	Servers, Members *vmlist.List
	// Routes, RoutesContent, RoutesConfirmed and RoutesNewest are copied from State.
	Routes                        *route.Table
	RoutesContent                 []byte
	RoutesConfirmed, RoutesNewest time.Duration
	// Era and SettledAt are copied from State.
	Era       int64
	SettledAt time.Duration
	// Retaining is set while something is kept from an earlier era for a time.
	Retaining bool
	// VMListCeiling is the lowest VM list revision that is rejected from peers,
	// or 0 if there is no limit.
	VMListCeiling int64
	// Evacuations is copied from State.
	Evacuations *evacuation.State
	// Engines maps a model to the live engines that have it loaded.
	Engines map[string][]vmlist.VM
	// Services maps a service to its live backend servers.
	Services map[string][]vmlist.VM
	// Backends holds all listed backend servers by id, including those that are
	// leaving. A server that has announced its departure in an answer has
	// StateLeaving, also if the list says otherwise. A live server of an evacuated zone has
	// StateEvacuated.
	Backends map[string]vmlist.VM
	// EntryVMs holds live entry VMs that are not suspect, in list order.
	EntryVMs []vmlist.VM
	index    *vmIndex
	// suspectsVersion and leavingVersion are copied from State.
	suspectsVersion, leavingVersion int
}

// SameBackends reports whether two snapshots have the same backend servers
// with the same models.
func (s *Snapshot) SameBackends(other *Snapshot) bool {
	return s.VMs == other.VMs && s.index == other.index
}

// SameEntryVMs reports whether two snapshots have the same live entry VMs. It
// compares versions, so it may return false for equal sets.
func (s *Snapshot) SameEntryVMs(other *Snapshot) bool {
	return s.index == other.index && s.suspectsVersion == other.suspectsVersion
}

// ConfirmedWithin reports whether the configuration was confirmed as the newest one within a time
// before now.
func (s *Snapshot) ConfirmedWithin(now, limit time.Duration) bool {
	return now-s.RoutesNewest <= limit
}

// ConfirmedForPeers returns the last confirmation of the era that the lists of this VM announce, by
// which peers tell confirmations from before and after a return apart.
func (s *Snapshot) ConfirmedForPeers() time.Duration {
	if s.SettledAt > 0 && vmlist.EraOf(s.Servers.Revision) < s.Era {
		return s.RoutesNewest
	}
	return s.RoutesConfirmed
}

// EntryVMCount returns the number of live entry VMs that are listed or kept, including suspect ones.
func (s *Snapshot) EntryVMCount() int { return len(s.index.entryVMs) }

// Loop applies messages to the control state, one at a time, and publishes
// snapshots.
type Loop struct {
	mailbox  chan Message
	snapshot atomic.Pointer[Snapshot]
	state    State
	done     chan struct{}
	now      func() time.Time

	subscribersMu sync.Mutex
	subscribers   []chan struct{}
}

// NewLoop returns a loop. Call Run to process messages.
func NewLoop(log *zap.Logger, now func() time.Time) *Loop {
	l := &Loop{
		mailbox: make(chan Message, mailboxSize),
		state:   State{VMs: &vmlist.List{}, Servers: &vmlist.List{}, Members: &vmlist.List{}, Suspect: map[string]bool{}, missing: map[string]missingVM{}, departed: newDeparted(), log: log},
		done:    make(chan struct{}),
		now:     now,
	}
	l.publish()
	return l
}

// Snapshot returns the latest published snapshot.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Subscribe returns a channel that signals new snapshots. Signals that have not
// been received yet are coalesced into one.
func (l *Loop) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	l.subscribersMu.Lock()
	defer l.subscribersMu.Unlock()
	l.subscribers = append(l.subscribers, c)
	return c
}

// Post enqueues a message. It returns false if the loop has ended.
func (l *Loop) Post(m Message) bool {
	select {
	case l.mailbox <- m:
		return true
	case <-l.done:
		return false
	}
}

// Every posts a message at a fixed interval until ctx or the loop ends.
func (l *Loop) Every(ctx context.Context, interval time.Duration, m Message) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !l.Post(m) {
				return
			}
		}
	}
}

// Run applies messages until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.mailbox:
			l.state.Now = l.now()
			m.Apply(&l.state)
			if l.state.dirty {
				l.state.dirty = false
				l.publish()
			}
		}
	}
}

func (l *Loop) publish() {
	l.snapshot.Store(newSnapshot(&l.state, l.snapshot.Load()))
	l.subscribersMu.Lock()
	defer l.subscribersMu.Unlock()
	for _, c := range l.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// newSnapshot builds the snapshot of a state. While the VM list and the models
// are unchanged it reuses the previous snapshot's index, so that other changes
// do not take time proportional to the number of VMs.
func newSnapshot(s *State, previous *Snapshot) *Snapshot {
	snap := &Snapshot{
		Signed: s.Signed, Bundle: s.Bundle, VMs: s.VMs, Servers: s.Servers, Members: s.Members, VMListCeiling: s.listCeiling,
		Routes: s.Routes, RoutesContent: s.RoutesContent, RoutesConfirmed: s.RoutesConfirmed, RoutesNewest: s.RoutesNewest, Era: s.Era, SettledAt: s.SettledAt, Retaining: s.retains(),
		suspectsVersion: s.suspectsVersion, leavingVersion: s.leavingVersion, Evacuations: s.Evacuations,
	}
	if previous != nil && previous.VMs == s.VMs && previous.leavingVersion == s.leavingVersion && previous.Evacuations.SameZones(s.Evacuations) && sameModels(previous.Bundle, s.Bundle) {
		snap.index = previous.index
	} else {
		snap.index = newVMIndex(s.VMs.VMs, modelVersions(s.Bundle), s.allLeaving(), s.Evacuations)
	}
	snap.Engines, snap.Services, snap.Backends = snap.index.engines, snap.index.services, snap.index.backends
	if previous != nil && snap.SameEntryVMs(previous) {
		snap.EntryVMs = previous.EntryVMs
		return snap
	}
	for _, vm := range snap.index.entryVMs {
		if !s.Suspect[vm.ID] {
			snap.EntryVMs = append(snap.EntryVMs, vm)
		}
	}
	return snap
}
