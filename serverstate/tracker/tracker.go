// Package tracker connects the table of package serverstate to the answers of backend
// servers, the control loop and the other entry VMs.
//
// A server that leaves is known to the request path of this VM as soon as the answer is
// observed. It then counts as leaving in snapshots, so that all parts that choose
// servers follow, and is announced to the other VMs: at once to a few peers, which
// forward it, and by a digest in heartbeats for VMs that missed it. Pauses concern a
// single VM and are not announced.
package tracker

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/peer"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Limits of the exchange with other VMs.
const (
	// gossipFanout is the number of peers to which a VM sends a departure that it did not
	// know. Each VM receives it from as many, so that the loss of one message hardly matters.
	gossipFanout = 3
	// syncInterval is the minimum time between two messages to a peer because its digest
	// differs. Digests differ for a moment while a departure spreads.
	syncInterval = 500 * time.Millisecond
	// maxMessageServers bounds the servers of one message.
	maxMessageServers = 512
)

// Options are the dependencies of a Tracker.
type Options struct {
	VM string
	// MaxPause bounds the pauses of servers, 0 for the default.
	MaxPause  time.Duration
	Loop      *control.Loop
	Transport peer.Transport
	// Ask asks a server whether it leaves. If it is nil, a new start of a server that has
	// left is not used by VMs that got an answer of its.
	Ask AskFunc
	// Peers returns the VMs to which departures are sent, which forward them to theirs.
	Peers   func() []string
	Metrics metrics.Registry
	Log     *zap.Logger
}

// Tracker tracks what backend servers say of themselves. Observe, Check and Table may be
// used by any goroutine; the rest of its state is owned by the control goroutine.
type Tracker struct {
	opts  Options
	table *serverstate.Table
	// digest identifies the announced departures, for heartbeats.
	digest atomic.Uint64
	// published is the version of the leaving servers in the control state.
	published uint64
	// syncedAt holds when the departures were last sent to a peer because its digest
	// differed.
	syncedAt map[string]time.Duration
	pauses   pauses
	verifier verifier
	counters counters
}

// New returns a tracker that knows of no departure.
func New(o Options) *Tracker {
	t := &Tracker{opts: o, table: serverstate.New(serverstate.Config{VM: o.VM, MaxPause: o.MaxPause}), syncedAt: map[string]time.Duration{}}
	t.counters = newCounters(o.Metrics, t.States)
	return t
}

// Table returns the table, for the request path.
func (t *Tracker) Table() *serverstate.Table { return t.table }

// ServerOf returns the identity of a listed server.
func ServerOf(vm vmlist.VM) serverstate.Server {
	return serverstate.Server{ID: vm.ID, Incarnation: vm.Incarnation}
}

// Check returns nil if this VM may send a request to a server now, else a
// *serverstate.LeavingError or a *serverstate.PausedError.
func (t *Tracker) Check(vm vmlist.VM) error {
	now, s := boottime.Now(), ServerOf(vm)
	err := t.table.Check(now, s)
	if isUnverified(err) {
		t.pauses.add(s, now+pauseRetention) // so that dispatchers do not grant it to this VM
	}
	return err
}

// Answer is the head of an answer of a backend server.
type Answer struct {
	// Server is the server that answered, with the incarnation that was listed when the
	// request was sent. The server may have started again since that list.
	Server serverstate.Server
	// Call names what was answered, such as "request" or "report". Request is the id of
	// the request, "" if it has none.
	Call, Request string
	Status        int
	Notice        backend.ServerNotice
	// Slots is the number of requests that the server runs concurrently, 0 if unknown.
	Slots int
}

// Observe records what a server announces in an answer. It must be called before
// anything else is done with the answer. Later checks on this VM see the result.
func (t *Tracker) Observe(a Answer) {
	if a.Notice.IsZero() {
		return
	}
	now := boottime.Now()
	pause, _ := serverstate.ParsePause(a.Notice.RetryAfter, t.table.MaxPause())
	c := t.table.Observe(now, a.Server, serverstate.Observation{Leaving: a.Notice.Leaving, Pause: pause, Slots: a.Slots})
	t.counters.count(c)
	if c.Paused || c.Extended {
		t.pauses.add(c.Server, c.ResumeAt+pauseRetention)
	}
	t.logAnswer(now, c, a)
	if c.Leaving {
		t.opts.Loop.Post(event{t, func(s *control.State) { t.adopt(s, "", []serverstate.Server{c.Server}) }})
	}
}

// States returns the listed servers that leave, are paused, get few requests after a
// pause or must be asked before they are used, by id.
func (t *Tracker) States(now time.Duration) []serverstate.State {
	var states []serverstate.State
	backends := t.opts.Loop.Snapshot().Backends
	for _, s := range t.table.Snapshot(now) {
		vm, listed := backends[s.Server.ID]
		switch {
		case !listed:
		case vm.MayBe(s.Server.Incarnation):
			states = append(states, s)
		case s.ResumeAt != 0:
			// The pause of another start may hold for the one that is listed.
			paused, ok := errors.Into[*serverstate.PausedError](t.table.Check(now, ServerOf(vm)))
			if ok && !paused.Unverified && !paused.Resuming {
				states = append(states, serverstate.State{Server: ServerOf(vm), PausedUntil: s.PausedUntil, ResumeAt: paused.Until, Listed: true})
			}
		}
	}
	for _, vm := range t.unverified(now) {
		states = append(states, serverstate.State{Server: ServerOf(vm), Unverified: true, Listed: true})
	}
	slices.SortStableFunc(states, func(a, b serverstate.State) int { return strings.Compare(a.Server.ID, b.Server.ID) })
	return states
}

// Receive handles a message of a peer.
func (t *Tracker) Receive(from string, in *peerpb.Departures) {
	t.opts.Loop.Post(event{t, func(s *control.State) { t.merge(s, from, decode(in)) }})
}

// Digest identifies the departures that this VM announces, 0 if there are none.
func (t *Tracker) Digest() uint64 { return t.digest.Load() }

// ReceiveDigest handles the digest in a heartbeat of a peer. If it differs from that of
// this VM, the peer gets all departures: it may have started after they were sent, or a
// message may have been lost.
func (t *Tracker) ReceiveDigest(from string, digest uint64) {
	if own := t.Digest(); own != 0 && digest != own {
		t.opts.Loop.Post(event{t, func(*control.State) { t.sync(from) }})
	}
}

// Run applies changes of the VM list, and asks servers whose start may have said that it
// leaves, until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	changed := t.opts.Loop.Subscribe()
	var last *vmlist.List
	tick := time.NewTicker(verifyCheckInterval)
	defer tick.Stop()
	for {
		if snap := t.opts.Loop.Snapshot(); snap.VMs != last {
			last = snap.VMs
			t.opts.Loop.Post(event{t, t.applyList})
		}
		if t.opts.Ask != nil {
			t.verify(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
		}
	}
}

// event is a control message that changes the state of the tracker.
type event struct {
	t     *Tracker
	apply func(*control.State)
}

// Apply implements control.Message.
func (e event) Apply(s *control.State) { e.apply(s) }

// merge adopts the departures that a peer announced.
func (t *Tracker) merge(s *control.State, from string, servers []serverstate.Server) {
	now := boottime.Now()
	var news []serverstate.Server
	for _, c := range t.table.Merge(now, from, servers) {
		t.counters.count(c)
		t.logAnnouncement(c)
		news = append(news, c.Server)
	}
	if len(news) > 0 {
		t.adopt(s, from, news)
	}
}

// adopt publishes departures that are new on this VM and forwards them to peers other
// than the one that announced them.
func (t *Tracker) adopt(s *control.State, from string, servers []serverstate.Server) {
	t.publish(s)
	peers := t.opts.Peers()
	for _, id := range peers[:min(len(peers), gossipFanout)] {
		if id != from {
			t.send(id, servers)
		}
	}
}

// publish makes leaving servers count as leaving in snapshots, and updates the digest, if
// they have changed. Most lists change none of them.
func (t *Tracker) publish(s *control.State) {
	version := t.table.LeavingVersion()
	if version == t.published {
		return
	}
	t.published = version
	leaving := control.LeavingServers{}
	for _, state := range t.table.Snapshot(boottime.Now()) {
		if state.Leaving {
			leaving[state.Server.ID] = append(leaving[state.Server.ID], state.Server.Incarnation)
		}
	}
	control.ServersLeaving{Servers: leaving}.Apply(s)
	t.digest.Store(digest(t.table.Leaving()))
}

// applyList tells the table which servers are listed, and by how many VMs they are used.
func (t *Tracker) applyList(s *control.State) {
	var servers []serverstate.Server
	vms := map[string]bool{}
	for _, vm := range s.VMs.VMs {
		if vm.Role == vmlist.RoleEntry {
			vms[vm.ID] = true
			continue
		}
		servers = append(servers, ServerOf(vm))
	}
	t.table.SetVMs(len(vms))
	t.table.Retain(boottime.Now(), servers)
	t.adoptHeld(s)
	t.publish(s)
	for id := range t.syncedAt {
		if !vms[id] {
			delete(t.syncedAt, id)
		}
	}
}

// heldSource names the source of departures that this VM knows from before a return of the store.
const heldSource = "store"

// adoptHeld announces the servers that had said that they leave, and that the store, which has come
// back from a copy, lists as ready. VMs that have started since know it from nobody else.
func (t *Tracker) adoptHeld(s *control.State) {
	var servers []serverstate.Server
	for _, vm := range s.HeldLeaving() {
		servers = append(servers, ServerOf(vm))
	}
	if len(servers) > 0 {
		t.merge(s, heldSource, servers)
	}
}

// sync sends all departures to a peer.
func (t *Tracker) sync(to string) {
	now := boottime.Now()
	if last, synced := t.syncedAt[to]; synced && now-last < syncInterval {
		return
	}
	t.syncedAt[to] = now
	t.counters.syncs.Inc(1)
	t.send(to, t.table.Leaving())
}
