// Package membership maintains each VM's view of which entry VMs are running. A
// VM sends heartbeats to a few peers and suspects the peers it monitors when it
// has not heard from them for the suspicion timeout. Suspicions are disseminated
// with the heartbeats; a suspected VM refutes them with a higher incarnation
// when it learns of them.
package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// Limits of the failure detector.
const (
	// maxStatuses limits the statuses in a message, about 20 bytes each.
	maxStatuses = 64
	// disseminationTime is how long heartbeats keep including a change.
	disseminationTime = 5 * time.Second
	// maxTimeoutDoublings limits the suspicion timeout for a VM that only other
	// VMs hear from: a timeout of 2 s grows to at most 64 s.
	maxTimeoutDoublings = 5
)

// Change reports that a VM became suspect or is no longer suspect.
type Change struct {
	VM      string
	Suspect bool
}

// Effects are the actions that the caller must perform after an event.
type Effects struct {
	Changes []Change
	// Push requests an immediate heartbeat to all targets.
	Push bool
	// Suspected is set if this VM has learnt that others suspect it.
	Suspected bool
}

// Detector is the failure detector of one VM. It is deterministic and not safe
// for concurrent use; the current time is passed as an argument.
type Detector struct {
	self         string
	fanout       int
	suspectAfter time.Duration
	incarnation  uint64
	targets      []string
	// watched holds the VMs that send heartbeats or acknowledgements to this one.
	watched map[string]*observation
	// records holds the status of all listed VMs except this one.
	records  map[string]*record
	lastTick time.Time
	// unannounced is set while peers do not know this VM.
	unannounced bool
	// messageCount is the number of calls of Statuses.
	messageCount uint64
}

type observation struct {
	lastHeard time.Time
	// refutations counts refuted suspicions since the last direct message from
	// the VM. Each one doubles the suspicion timeout.
	refutations int
}

type record struct {
	incarnation uint64
	suspect     bool
	changedAt   time.Time
	// lastMessage is the number of the latest message that included the current
	// status, or 0 if none has.
	lastMessage uint64
}

// NewDetector returns the failure detector of VM self. The incarnation must be
// higher than in any earlier run of the VM.
func NewDetector(self string, fanout int, suspectAfter time.Duration, incarnation uint64) *Detector {
	return &Detector{
		self: self, fanout: fanout, suspectAfter: suspectAfter, incarnation: incarnation,
		watched: map[string]*observation{}, records: map[string]*record{},
	}
}

// AwaitAnnouncement makes the detector suspect no VM before Announced is called,
// because peers do not answer a VM that they do not know.
func (c *Detector) AwaitAnnouncement() { c.unannounced = true }

// Announced records that peers can know this VM from now on. Their silence before does
// not count.
func (c *Detector) Announced(now time.Time) {
	c.unannounced = false
	for _, o := range c.watched {
		o.lastHeard = now
	}
}

// Targets returns the peers to which heartbeats are sent.
func (c *Detector) Targets() []string { return c.targets }

// Incarnation returns the incarnation of this VM.
func (c *Detector) Incarnation() uint64 { return c.incarnation }

// SetVMs replaces the ids of the entry VMs. While this VM is not listed, it
// suspects no other VM, because peers do not answer an unlisted VM.
func (c *Detector) SetVMs(now time.Time, ids []string) Effects {
	listed := slices.Contains(ids, c.self)
	if !listed {
		ids = append(slices.Clone(ids), c.self)
	}
	all := targets(ids, c.fanout)
	c.targets = all[c.self]
	watched := map[string]*observation{}
	for id, to := range all {
		if id == c.self || !listed || !slices.Contains(to, c.self) && !slices.Contains(c.targets, id) {
			continue
		}
		if watched[id] = c.watched[id]; watched[id] == nil {
			watched[id] = &observation{lastHeard: now}
		}
	}
	c.watched = watched
	e := Effects{Push: true}
	records := make(map[string]*record, len(ids))
	for _, id := range ids {
		if id != c.self {
			records[id] = cmp.Or(c.records[id], &record{})
		}
	}
	for id, r := range c.records {
		if records[id] == nil && r.suspect {
			e.Changes = append(e.Changes, Change{VM: id})
		}
	}
	c.records = records
	return e
}

// Receive processes the incarnation and the statuses of a heartbeat or an
// acknowledgement.
func (c *Detector) Receive(now time.Time, from string, incarnation uint64, statuses []*peerpb.Status) Effects {
	var e Effects
	if o := c.watched[from]; o != nil {
		o.lastHeard, o.refutations = now, 0
	}
	c.applyStatus(now, from, incarnation, false, &e)
	for _, s := range statuses {
		c.applyStatus(now, s.GetVm(), s.GetIncarnation(), s.GetSuspect(), &e)
	}
	return e
}

func (c *Detector) applyStatus(now time.Time, vm string, incarnation uint64, suspect bool, e *Effects) {
	if vm == c.self {
		// The highest incarnation cannot be exceeded: incrementing it would
		// overflow, and an incarnation must never decrease.
		if suspect && incarnation >= c.incarnation && incarnation < math.MaxUint64 {
			c.incarnation = incarnation + 1
			e.Push, e.Suspected = true, true
		}
		return
	}
	r := c.records[vm]
	if r == nil || !supersedes(incarnation, suspect, r) {
		return
	}
	r.incarnation = incarnation
	if r.suspect == suspect {
		return
	}
	c.setSuspect(now, vm, suspect, e)
	if o := c.watched[vm]; o != nil && !suspect && now.Sub(o.lastHeard) > c.suspectAfter {
		o.lastHeard = now
		o.refutations = min(o.refutations+1, maxTimeoutDoublings)
	}
}

func supersedes(incarnation uint64, suspect bool, r *record) bool {
	return incarnation > r.incarnation || incarnation == r.incarnation && suspect && !r.suspect
}

func (c *Detector) setSuspect(now time.Time, vm string, suspect bool, e *Effects) {
	r := c.records[vm]
	r.suspect, r.changedAt, r.lastMessage = suspect, now, 0
	e.Changes = append(e.Changes, Change{VM: vm, Suspect: suspect})
	e.Push = true
}

// Tick marks watched VMs as suspect that have not been heard from in time. It
// must be called at least twice per suspicion timeout: a longer gap means that
// this VM itself was paused, and is not counted as silence of the peers.
func (c *Detector) Tick(now time.Time) Effects {
	var e Effects
	gap := now.Sub(c.lastTick)
	paused := !c.lastTick.IsZero() && gap > c.suspectAfter/2
	c.lastTick = now
	if c.unannounced {
		return e
	}
	for id, o := range c.watched {
		if paused {
			o.lastHeard = o.lastHeard.Add(gap)
		}
		if !c.records[id].suspect && now.Sub(o.lastHeard) > c.suspectAfter<<o.refutations {
			c.setSuspect(now, id, true, &e)
		}
	}
	return e
}

// Statuses returns the statuses to include in the next heartbeat. Changes that
// have not been sent come first, the most recent ones leading, followed by the
// least recently sent ones. Each change is thus sent soon, even if a network
// partition causes more changes than fit into one message.
func (c *Detector) Statuses(now time.Time) []*peerpb.Status {
	var ids []string
	for id, r := range c.records {
		if r.suspect || !r.changedAt.IsZero() && now.Sub(r.changedAt) < disseminationTime {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		x, y := c.records[a], c.records[b]
		return cmp.Or(cmp.Compare(x.lastMessage, y.lastMessage), y.changedAt.Compare(x.changedAt), cmp.Compare(a, b))
	})
	c.messageCount++
	var out []*peerpb.Status
	for _, id := range ids[:min(len(ids), maxStatuses)] {
		c.records[id].lastMessage = c.messageCount
		out = append(out, c.status(id))
	}
	return out
}

// Corrections returns the statuses that supersede those of a received heartbeat,
// including a suspicion of its sender.
func (c *Detector) Corrections(from string, incarnation uint64, statuses []*peerpb.Status) []*peerpb.Status {
	var out []*peerpb.Status
	correct := func(vm string, incarnation uint64, suspect bool) {
		r := c.records[vm]
		if r != nil && supersedes(r.incarnation, r.suspect, &record{incarnation: incarnation, suspect: suspect}) {
			out = append(out, c.status(vm))
		}
	}
	correct(from, incarnation, false)
	for _, s := range statuses[:min(len(statuses), maxStatuses)] {
		correct(s.GetVm(), s.GetIncarnation(), s.GetSuspect())
	}
	return out
}

func (c *Detector) status(id string) *peerpb.Status {
	r := c.records[id]
	return &peerpb.Status{Vm: id, Incarnation: r.incarnation, Suspect: r.suspect}
}

// Suspects returns the sorted ids of suspect VMs.
func (c *Detector) Suspects() []string {
	var ids []string
	for id, r := range c.records {
		if r.suspect {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
