package grant

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// request is a call of Acquire that waits for a ticket.
type request struct {
	admissionRequest dispatch.AdmissionRequest
	done             chan outcome
	// acquiredAt is when the request was made.
	acquiredAt time.Time

	// The fields below are owned by the control goroutine. A request either waits
	// at a dispatcher under its sequence or is parked on this VM.

	sequence     uint64
	dispatcherVM string
	group        string
	sentAt       time.Time
	received     bool
	// retryAt is the earliest time at which a parked request is retried.
	retryAt time.Time
	// avoided lists the engines, sorted by id, that were paused when the request was routed.
	avoided []string
	// excludedGroups lists the groups that have no engine for the request.
	excludedGroups []string
	ticket         *ticket
}

type outcome struct {
	ticket dispatch.Ticket
	err    error
}

// frontend is the side of the protocol that requests grants.
type frontend struct {
	m     *Manager
	local *dispatch.Local
	rand  *rand.Rand
	// sequence is the last sequence used. It starts from the clock, so that a
	// restarted VM does not reuse sequences.
	sequence uint64
	// waiting holds the requests at dispatchers, parked those at none.
	waiting map[uint64]*request
	parked  []*request
	held    map[uint64]*ticket
	// unreported holds the tickets of a bypass that were released before a dispatcher knew
	// them. Their organisations are not charged yet.
	unreported           []*ticket
	queuedByOrganisation map[string]int
	links                map[string]*link
	// queueLengths holds the last known queue length of each group.
	queueLengths map[string]uint32
	// declarationDue reports that a dispatcher may lack grants that this VM holds.
	declarationDue    bool
	lastProgressBatch time.Time
	counters          counters
}

// counters holds totals since the start of the process.
type counters struct {
	Grants, Bypasses, LateGrants int64
	// UnusableGrants were returned since the engine is leaving or does not respond,
	// PausedGrants since it has asked this VM for a pause.
	UnusableGrants, PausedGrants int64
}

func newFrontend(m *Manager) *frontend {
	f := &frontend{
		m: m, rand: rand.New(rand.NewPCG(m.opts.Seed, 0)), waiting: map[uint64]*request{}, held: map[uint64]*ticket{},
		queuedByOrganisation: map[string]int{}, links: map[string]*link{}, queueLengths: map[string]uint32{},
	}
	f.local = dispatch.NewLocal(m.opts.Loop.Snapshot, m.opts.LocalStreams, 0, 0).Restrict(f.bypassable)
	return f
}

// bypassable reports whether requests may use an engine during a bypass.
func (f *frontend) bypassable(vm vmlist.VM) bool {
	_, unavailable := f.m.unavailable(dispatch.AdmissionRequest{})[vm.ID]
	return f.m.opts.Breaker.Allowed(vm.ID) && !unavailable && slices.ContainsFunc(vm.Models, func(model string) bool {
		g := f.m.view.groupOf[modelEngine{model, vm.ID}]
		return g != nil && slices.Contains(f.m.view.candidates[model], g)
	})
}

// sequenceShift is the number of bits by which the start time in seconds is shifted
// for the first sequence. It leaves room for 2^24 requests per second of uptime.
const sequenceShift = 24

func (f *frontend) nextSequence() uint64 {
	if f.sequence == 0 {
		f.sequence = uint64(f.m.now.Unix()) << sequenceShift
	}
	f.sequence++
	return f.sequence
}

func (f *frontend) acquire(r *request) {
	r.acquiredAt = f.m.now
	total := len(f.waiting) + len(f.parked)
	if total >= f.m.opts.Queued || f.queuedByOrganisation[r.admissionRequest.Organisation] >= f.m.opts.QueuedPerOrganisation {
		r.done <- outcome{err: &dispatch.QueueFullError{Organisation: r.admissionRequest.Organisation}}
		return
	}
	f.queuedByOrganisation[r.admissionRequest.Organisation]++
	f.route(r)
}

// finish delivers the outcome of a request that waited.
func (f *frontend) finish(r *request, o outcome) {
	if f.queuedByOrganisation[r.admissionRequest.Organisation]--; f.queuedByOrganisation[r.admissionRequest.Organisation] == 0 {
		delete(f.queuedByOrganisation, r.admissionRequest.Organisation)
	}
	r.done <- o
}

// route sends a request to a dispatcher, or bypasses one that does not respond.
func (f *frontend) route(r *request) {
	f.skipPaused(r)
	g := f.chooseGroup(r)
	if g == nil {
		f.finish(r, outcome{err: f.noEngine(r)})
		return
	}
	if l := f.link(g.owner); l.silent || !f.sendGrantRequest(l, g, r) {
		f.bypass(r)
	}
}

// sendGrantRequest sends a grant request. It returns false if the message cannot be sent.
func (f *frontend) sendGrantRequest(l *link, g *group, r *request) bool {
	r.sequence, r.dispatcherVM, r.group, r.sentAt, r.received = f.nextSequence(), l.vm, g.name, f.m.now, false
	f.waiting[r.sequence] = r
	err := f.m.send(l.vm, &peerpb.Dispatch{
		Group:   g.name,
		Message: &peerpb.Dispatch_GrantRequest{GrantRequest: encodeGrantRequest(r.sequence, r.requestFor(g, f.m.now))},
	})
	if err != nil {
		delete(f.waiting, r.sequence)
		return false
	}
	l.expectResponse(f.m.now)
	l.requireSync()
	return true
}

// bypass admits a request without its dispatcher, or parks it.
func (f *frontend) bypass(r *request) {
	if r.admissionRequest.Spare {
		f.finish(r, outcome{err: &dispatch.NoBackendError{Model: r.admissionRequest.Model}})
		return
	}
	t, err := f.local.Try(r.admissionRequest)
	switch {
	case err != nil:
		f.finish(r, outcome{err: f.noEngine(r)})
	case t == nil:
		f.parked = append(f.parked, r)
	default:
		f.counters.Bypasses++
		f.deliver(r, &ticket{sequence: f.nextSequence(), target: t.Backend(), priority: t.Priority(), local: t})
		f.declarationDue = true
	}
}

// deliver hands a ticket to the caller of Acquire.
func (f *frontend) deliver(r *request, t *ticket) {
	t.m, t.admissionRequest = f.m, r.admissionRequest
	f.held[t.sequence], r.ticket = t, t
	f.finish(r, outcome{ticket: t})
}

// withdraw withdraws a request from its dispatcher.
func (f *frontend) withdraw(r *request) {
	delete(f.waiting, r.sequence)
	// The next complete keepalive recovers a lost withdrawal.
	_ = f.m.send(r.dispatcherVM, &peerpb.Dispatch{
		Message: &peerpb.Dispatch_Withdraw{Withdraw: &peerpb.Withdraw{Sequence: r.sequence}},
	})
}

// abandon ends a request whose caller cancelled it or timed out.
func (f *frontend) abandon(r *request) {
	switch {
	case r.ticket != nil:
		r.ticket.once.Do(func() { f.release(r.ticket) })
		return
	case f.waiting[r.sequence] == r:
		f.withdraw(r)
	default:
		i := slices.Index(f.parked, r)
		if i < 0 {
			return // already ended with an error
		}
		f.parked = slices.Delete(f.parked, i, i+1)
	}
	f.finish(r, outcome{err: &dispatch.QueueTimeoutError{Model: r.admissionRequest.Model}})
}

// release removes a released ticket and reports it to the dispatcher that knows it.
func (f *frontend) release(t *ticket) {
	delete(f.held, t.sequence)
	if t.local != nil {
		t.local.Release(int(t.tokens.Load()))
	}
	if t.unknownBypass() && len(f.unreported) < maxUnreportedTickets {
		f.unreported = append(f.unreported, t)
		f.declarationDue = true
	}
	if t.knownBy != "" {
		l := f.link(t.knownBy)
		p := t.takeReport()
		p.finished = true
		p.unreachable = p.tokens == 0 && !f.m.opts.Breaker.Allowed(t.target.ID)
		p.failed = p.tokens == 0 && t.failed.Load()
		l.finished = append(l.finished, p)
		f.flush(l)
	}
}
