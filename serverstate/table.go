package serverstate

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Table holds the state of backend servers on this VM. It is safe for concurrent use.
//
// Servers that leave are remembered after they went missing from the list, since an
// entry may lapse in an outage and come back. Beyond Config.MaxServers such entries, the
// ones announced by other VMs are forgotten first, and of these the ones that went
// missing first; entries that are newer than the list are forgotten last. A leaving
// server is never forgotten while it is listed.
type Table struct {
	config Config

	mu sync.RWMutex
	// vms is the number of entry VMs.
	vms int
	// servers holds the entries of each id, a few at most.
	servers map[string][]*entry
	// unlistedCount is the number of entries whose server is not known to be listed.
	unlistedCount int
	generation    uint64
	rounds        uint64
	// leavingVersion changes with the entries that leave and their listing.
	leavingVersion uint64
}

// New returns an empty table. Settings that Validate rejects are moved into their limits.
func New(c Config) *Table {
	return &Table{config: c.withDefaults(), vms: 1, servers: map[string][]*entry{}}
}

// MaxPause returns the limit for ParsePause.
func (t *Table) MaxPause() time.Duration { return t.config.MaxPause }

// SetVMs sets the number of entry VMs, over which the end of a pause is spread.
func (t *Table) SetVMs(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms = max(n, 1)
}

// Observe records what an answer of a server says. It returns what changed, for the log.
// It must be called for each answer that says something, whatever its status.
func (t *Table) Observe(now time.Duration, s Server, o Observation) Change {
	if !o.Leaving && o.Pause == (Pause{}) {
		return Change{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(now, s)
	var c Change
	if o.Leaving {
		t.leave(now, e, "", &c)
		e.disputed, e.heardAt = true, now
	}
	if o.Pause.Delay > 0 {
		e.pause(now, t, o, &c)
	}
	noteworthy := c.Paused || o.Pause.Invalid || o.Pause.Limited
	if noteworthy && e.mayLog(now) {
		c.Log, c.Pause = true, o.Pause
	}
	if c != (Change{}) {
		c.Server = s
	}
	t.evict()
	return c
}

// leave marks a server as leaving.
func (t *Table) leave(now time.Duration, e *entry, announcedBy string, c *Change) {
	if e.leaving != nil {
		// The server's own word counts for more than an announcement when entries are evicted.
		if announcedBy == "" && e.leaving.AnnouncedBy != "" {
			e.leaving = &LeavingError{Server: e.server, Since: e.leaving.Since}
		}
		return
	}
	e.leaving = &LeavingError{Server: e.server, Since: now, AnnouncedBy: announcedBy}
	t.leavingVersion++
	c.Server, c.Leaving, c.AnnouncedBy, c.Log = e.server, true, announcedBy, true
}

// Merge records the leaving servers that another VM announced, and returns what changed.
func (t *Table) Merge(now time.Duration, from string, leaving []Server) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, s := range leaving[:min(len(leaving), t.config.MaxServers)] {
		if s.ID == "" || len(s.ID) > maxIDBytes {
			continue
		}
		var c Change
		t.leave(now, t.entry(now, s), from, &c)
		if !c.Zero() {
			changes = append(changes, c)
		}
	}
	t.evict()
	return changes
}

// Check returns nil if a request may be sent to a server now, else a *LeavingError or a
// *PausedError. It takes no place among the requests that are limited after a pause.
func (t *Table) Check(now time.Duration, s Server) error {
	t.mu.RLock()
	defer t.mu.RUnlock()
	_, err := t.check(now, s)
	return err
}

// Start must be called right before each request is sent. It returns the error of Check
// if the request must not be sent, else the started request for Finish.
func (t *Table) Start(now time.Duration, s Server) (StartedRequest, error) {
	t.mu.RLock()
	limited, err := t.check(now, s)
	t.mu.RUnlock()
	if err != nil || limited == nil {
		return StartedRequest{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	limited, err = t.check(now, s)
	if err != nil || limited == nil {
		return StartedRequest{}, err
	}
	limited.resume.inFlight++
	return StartedRequest{server: limited.server, round: limited.resume.round}, nil
}

// Finish must be called once for each started request, when the head of the answer has
// come or the attempt has ended. answered is set if the server took the request; an answer
// that asks for a pause is observed first, and makes the started request void.
func (t *Table) Finish(started StartedRequest, answered bool) {
	if started.round == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(started.server)
	if e == nil || e.resume.round != started.round {
		return
	}
	e.resume.finish(answered)
}

// check returns why a request must not be sent, or else the entry that limits the
// requests in flight, nil if none does.
func (t *Table) check(now time.Duration, s Server) (limited *entry, err error) {
	var (
		paused     *PausedError
		limitedAt  time.Duration
		unverified bool
	)
	for _, e := range t.servers[s.ID] {
		otherStart := e.isOtherStart(s.Incarnation)
		if !otherStart && !e.covers(now, s.Incarnation) {
			continue
		}
		if e.leaving != nil && !otherStart {
			return nil, e.leaving
		}
		unverified = unverified || otherStart && e.disputed
		end := e.resumeAt(otherStart)
		if e.holds(now, end) && (paused == nil || end > paused.Until) {
			paused = e.pausedError(end)
		}
		if e.limitedFrom(now, end) {
			limited, limitedAt = e, end
		}
	}
	if paused != nil {
		return nil, paused
	}
	if unverified {
		return nil, &PausedError{Server: s, Until: now + verifyInterval, Unverified: true}
	}
	if limited != nil && limited.resume.inFlight >= limited.resume.limitAfter(now-limitedAt) {
		return nil, &PausedError{Server: limited.server, Until: now + returnInterval, Resuming: true}
	}
	return limited, nil
}

// Disputed returns the ids of the servers of which another start than the one that was
// listed may have said that it leaves, in order.
func (t *Table) Disputed() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var ids []string
	for id, entries := range t.servers {
		if slices.ContainsFunc(entries, func(e *entry) bool { return e.disputed }) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Verify records that a start of a server answered a request that was sent at sentAt, and
// did not say that it leaves. A server that leaves says so in all its answers, so this
// start has sent none of those that had arrived by then. It returns whether that settles
// anything.
func (t *Table) Verify(s Server, sentAt time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	settled := false
	for _, e := range t.servers[s.ID] {
		if e.disputed && e.isOtherStart(s.Incarnation) && e.heardAt < sentAt {
			e.disputed, settled = false, true
		}
	}
	return settled
}

func (t *Table) find(s Server) *entry {
	for _, e := range t.servers[s.ID] {
		if e.server.Incarnation == s.Incarnation {
			return e
		}
	}
	return nil
}

// entry returns the entry of a server, which it adds if there is none.
func (t *Table) entry(now time.Duration, s Server) *entry {
	if e := t.find(s); e != nil {
		return e
	}
	s.ID = strings.Clone(s.ID) // does not keep the message alive from which it was decoded
	e := &entry{server: s, since: now}
	t.servers[s.ID] = append(t.servers[s.ID], e)
	t.unlistedCount++
	t.limitLifetimes(s.ID, e)
	return e
}

// LeavingVersion changes whenever the result of Leaving or the leaving servers of Snapshot
// may have changed, so that callers need not compute them for each list.
func (t *Table) LeavingVersion() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.leavingVersion
}

// Leaving returns the leaving servers to announce to other VMs: those that are listed
// and those that are newer than the list, in the order of their ids.
func (t *Table) Leaving() []Server {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var leaving []Server
	for _, entries := range t.servers {
		for _, e := range entries {
			if e.leaving != nil && e.listing != unlisted {
				leaving = append(leaving, e.server)
			}
		}
	}
	slices.SortFunc(leaving, compareServers)
	return leaving
}

// Snapshot returns the servers that leave, are paused or get few requests after a pause,
// in the order of their ids.
func (t *Table) Snapshot(now time.Duration) []State {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var states []State
	for _, entries := range t.servers {
		for _, e := range entries {
			if s := e.state(now); s.Leaving || s.ResumeAt != 0 || s.InFlightLimit != 0 {
				states = append(states, s)
			}
		}
	}
	slices.SortFunc(states, func(a, b State) int { return compareServers(a.Server, b.Server) })
	return states
}

func (e *entry) state(now time.Duration) State {
	s := State{Server: e.server, Listed: e.listing == listed}
	if e.leaving != nil {
		s.Leaving, s.LeavingSince, s.AnnouncedBy = true, e.leaving.Since, e.leaving.AnnouncedBy
	}
	if e.inPause(now) {
		s.PausedUntil, s.ResumeAt = e.pausedUntil, e.paused.Until
	}
	if e.limited(now) {
		s.InFlightLimit = e.resume.limitAfter(now - e.paused.Until)
	}
	return s
}

func compareServers(a, b Server) int {
	return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}
