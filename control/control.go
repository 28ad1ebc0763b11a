// Package control runs the single goroutine that owns a VM's control state.
// It receives typed messages and publishes immutable snapshots, which traffic
// goroutines read through an atomic pointer.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// mailboxSize bounds messages that wait for the control goroutine. Traffic
// goroutines block when it is full.
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
	// Servers and Members are the backend servers and the entry VMs where they
	// are listed apart. VMs then joins them.
	Servers, Members *vmlist.List
	// Routes is the operator's configuration of a deployment on a platform,
	// RoutesContent its source, and RoutesConfirmed the last time at which the
	// store is known to have held it, on the clock of package boottime.
	Routes          *route.Table
	RoutesContent   []byte
	RoutesConfirmed time.Duration
	// Suspect holds the ids of entry VMs that peers have not heard from, and
	// suspectsVersion counts its changes.
	Suspect         map[string]bool
	suspectsVersion int

	// listFromPeer says that the platform has not confirmed the VM list yet, and
	// contradictions counts its answers with a lower revision.
	listFromPeer   bool
	contradictions int
	// listCeiling is the lowest revision that is refused from peers, or 0.
	listCeiling int64

	log   *zap.Logger
	dirty bool
}

// Changed makes the loop publish a new snapshot after the message.
func (s *State) Changed() { s.dirty = true }

// Snapshot is an immutable view of the control state.
type Snapshot struct {
	Signed *bundle.Signed
	// Bundle is nil until a bundle is in force.
	Bundle *bundle.Index
	VMs    *vmlist.List
	// Servers and Members are those of State.
	Servers, Members *vmlist.List
	// Routes, RoutesContent and RoutesConfirmed are those of State.
	Routes          *route.Table
	RoutesContent   []byte
	RoutesConfirmed time.Duration
	// VMListCeiling is the lowest revision that is refused from peers, or 0.
	VMListCeiling int64
	// Engines maps a model to the live engines that have it loaded.
	Engines map[string][]vmlist.VM
	// Services maps a service to its live backend servers.
	Services map[string][]vmlist.VM
	// Backends holds all listed backend servers by id, leaving ones included.
	Backends map[string]vmlist.VM
	// EntryVMs holds live entry VMs that are not suspect, in the order of the list.
	EntryVMs []vmlist.VM
	index    *vmIndex
	// suspectsVersion is that of State.
	suspectsVersion int
}

// SameBackends reports whether two snapshots have the same backend servers
// with the same models.
func (s *Snapshot) SameBackends(other *Snapshot) bool {
	return s.VMs == other.VMs && s.index == other.index
}

// SameEntryVMs reports whether two snapshots have the same live entry VMs. It may
// report false for equal ones.
func (s *Snapshot) SameEntryVMs(other *Snapshot) bool {
	return s.index == other.index && s.suspectsVersion == other.suspectsVersion
}

// Loop is the control goroutine.
type Loop struct {
	mailbox  chan Message
	snapshot atomic.Pointer[Snapshot]
	state    State
	done     chan struct{}
	now      func() time.Time

	subscribersMu sync.Mutex
	subscribers   []chan struct{}
}

// NewLoop returns a loop that must be run with Run.
func NewLoop(log *zap.Logger, now func() time.Time) *Loop {
	l := &Loop{
		mailbox: make(chan Message, mailboxSize),
		state:   State{VMs: &vmlist.List{}, Servers: &vmlist.List{}, Members: &vmlist.List{}, Suspect: map[string]bool{}, log: log},
		done:    make(chan struct{}),
		now:     now,
	}
	l.publish()
	return l
}

// Snapshot returns the latest view.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// Subscribe returns a channel that signals new snapshots. Signals that nobody
// has taken yet count as one.
func (l *Loop) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	l.subscribersMu.Lock()
	defer l.subscribersMu.Unlock()
	l.subscribers = append(l.subscribers, c)
	return c
}

// Post sends a message. It returns false when the loop has ended.
func (l *Loop) Post(m Message) bool {
	select {
	case l.mailbox <- m:
		return true
	case <-l.done:
		return false
	}
}

// Every posts a message at an interval until ctx ends.
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

// newSnapshot returns the view of a state. It shares what depends on the VM
// list and the models alone with the previous view while these are the same, so
// that other changes do not cost time in proportion to the fleet.
func newSnapshot(s *State, previous *Snapshot) *Snapshot {
	snap := &Snapshot{
		Signed: s.Signed, Bundle: s.Bundle, VMs: s.VMs, Servers: s.Servers, Members: s.Members, VMListCeiling: s.listCeiling,
		Routes: s.Routes, RoutesContent: s.RoutesContent, RoutesConfirmed: s.RoutesConfirmed, suspectsVersion: s.suspectsVersion,
	}
	if previous != nil && previous.VMs == s.VMs && sameModels(previous.Bundle, s.Bundle) {
		snap.index = previous.index
	} else {
		snap.index = newVMIndex(s.VMs.VMs, modelVersions(s.Bundle))
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
