package grant

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// request is a call of Acquire that waits for a ticket.
type request struct {
	admissionRequest dispatch.AdmissionRequest
	done             chan outcome

	// The fields below are owned by the control goroutine. A request either waits
	// at a dispatcher under its sequence or is parked on this VM.

	sequence     uint64
	dispatcherVM string
	group        string
	sentAt       time.Time
	received     bool
	// retryAt is the earliest time at which a parked request is retried.
	retryAt time.Time
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
	waiting              map[uint64]*request
	parked               []*request
	held                 map[uint64]*ticket
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
type counters struct{ Grants, Bypasses, LateGrants int64 }

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
	return f.m.opts.Breaker.Allowed(vm.ID) && slices.ContainsFunc(vm.Models, func(model string) bool {
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
	g := f.chooseGroup(r)
	if g == nil {
		f.finish(r, outcome{err: &dispatch.NoBackendError{Model: r.admissionRequest.Model}})
		return
	}
	if l := f.link(g.owner); l.silent || !f.sendGrantRequest(l, g, r) {
		f.bypass(r)
	}
}

// chooseGroup chooses a group by the power of two choices: the one of two random
// groups with the shorter queue per engine. Groups whose dispatcher does not
// respond are used only if there is no other.
func (f *frontend) chooseGroup(r *request) *group {
	var silent, responsive []*group
	for _, g := range f.m.view.candidates[r.admissionRequest.Model] {
		switch {
		case !g.hasUsableEngine(r.admissionRequest.Excluded) || slices.Contains(r.excludedGroups, g.name):
		case f.link(g.owner).silent:
			silent = append(silent, g)
		default:
			responsive = append(responsive, g)
		}
	}
	if len(responsive) == 0 {
		responsive = silent
	}
	switch len(responsive) {
	case 0:
		return nil
	case 1:
		return responsive[0]
	}
	i := f.rand.IntN(len(responsive))
	j := (i + 1 + f.rand.IntN(len(responsive)-1)) % len(responsive)
	a, b := responsive[i], responsive[j]
	if int(f.queueLengths[b.name])*len(a.engines) < int(f.queueLengths[a.name])*len(b.engines) {
		return b
	}
	return a
}

// sendGrantRequest sends a grant request. It returns false if the message cannot be sent.
func (f *frontend) sendGrantRequest(l *link, g *group, r *request) bool {
	r.sequence, r.dispatcherVM, r.group, r.sentAt, r.received = f.nextSequence(), l.vm, g.name, f.m.now, false
	f.waiting[r.sequence] = r
	err := f.m.send(l.vm, &peerpb.Dispatch{
		Group:   g.name,
		Message: &peerpb.Dispatch_GrantRequest{GrantRequest: encodeGrantRequest(r.sequence, r.admissionRequest)},
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
		f.finish(r, outcome{err: err})
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

func (f *frontend) received(from, group string, b *peerpb.Received) {
	f.queueLengths[group] = b.Waiting
	for _, s := range b.Sequences {
		if r := f.waiting[s]; r != nil && r.dispatcherVM == from {
			r.received = true
		}
	}
}

// granted handles a grant. A grant without a waiting request is returned at once.
func (f *frontend) granted(from string, b *peerpb.Grant) {
	if t := f.held[b.Sequence]; t != nil && t.knownBy == from {
		return // duplicate message
	}
	r := f.waiting[b.Sequence]
	if r == nil || r.dispatcherVM != from {
		f.counters.LateGrants++
		f.returnGrant(from, b.Sequence)
		return
	}
	delete(f.waiting, b.Sequence)
	vm, ok := f.m.view.snap.Backends[b.Backend]
	if !ok || vm.State != vmlist.StateLive || !f.m.opts.Breaker.Allowed(vm.ID) {
		// The dispatcher does not know yet that the engine is leaving or does not respond.
		f.returnGrant(from, b.Sequence)
		r.admissionRequest.Excluded = append(slices.Clone(r.admissionRequest.Excluded), b.Backend)
		f.route(r)
		return
	}
	f.counters.Grants++
	if !r.received {
		f.queueLengths[r.group] = 0 // granted without queueing
	}
	g := f.m.view.groupOf[modelEngine{r.admissionRequest.Model, vm.ID}]
	f.declarationDue = f.declarationDue || g != nil && (g.owner != from || g.name != r.group)
	f.deliver(r, &ticket{
		sequence: b.Sequence, target: backend.Target{ID: vm.ID, Address: vm.Address}, priority: int(b.Priority),
		knownBy: from, group: r.group,
	})
}

// returnGrant returns an unused grant to its dispatcher.
func (f *frontend) returnGrant(from string, sequence uint64) {
	l := f.link(from)
	l.finished = append(l.finished, streamProgress{sequence: sequence, finished: true})
	l.requireSync()
	f.flush(l)
}

func (f *frontend) rejected(from string, b *peerpb.GrantRejected) {
	r := f.waiting[b.Sequence]
	if r == nil || r.dispatcherVM != from {
		return
	}
	delete(f.waiting, b.Sequence)
	switch b.Reason {
	case peerpb.RejectReason_REJECT_REASON_QUEUE_FULL:
		f.finish(r, outcome{err: &dispatch.QueueFullError{Organisation: r.admissionRequest.Organisation}})
	case peerpb.RejectReason_REJECT_REASON_NO_BACKEND:
		r.excludedGroups = append(r.excludedGroups, r.group)
		f.route(r)
	default:
		r.retryAt = f.m.now.Add(viewMismatchRetryDelay)
		f.parked = append(f.parked, r)
	}
}

// tick applies timeouts and sends the messages that are due.
func (f *frontend) tick() {
	for _, l := range f.links {
		if l.overdue(f.m.now, f.m.opts.BypassAfter) {
			f.markSilent(l)
		}
	}
	for _, s := range f.waitingSequences(func(r *request) bool {
		return !r.received && f.m.now.Sub(r.sentAt) >= f.m.opts.BypassAfter
	}) {
		r := f.waiting[s]
		f.withdraw(r)
		f.bypass(r)
	}
	f.retryParked()
	if f.declarationDue {
		f.declareAll()
	}
	f.keepalives()
	f.reportFirstTokens()
	if f.m.now.Sub(f.lastProgressBatch) >= progressInterval {
		f.lastProgressBatch = f.m.now
		f.reportProgress()
	}
}

// retryParked routes parked requests again, in order of arrival.
func (f *frontend) retryParked() {
	parked := f.parked
	f.parked = nil
	for _, r := range parked {
		if f.m.now.Before(r.retryAt) {
			f.parked = append(f.parked, r)
			continue
		}
		f.route(r)
	}
}

// markSilent marks a dispatcher as not responding and bypasses it for its waiting
// requests.
func (f *frontend) markSilent(l *link) {
	l.silent = true
	f.m.opts.Log.Warn("dispatcher_bypassed", zap.String("peer", l.vm), zap.Duration("silent_for", f.m.now.Sub(l.unansweredSince)))
	for _, s := range f.waitingSequences(func(r *request) bool { return r.dispatcherVM == l.vm }) {
		r := f.waiting[s]
		f.withdraw(r)
		f.bypass(r)
	}
}

// waitingSequences returns the sequences of matching requests in order of arrival.
func (f *frontend) waitingSequences(match func(*request) bool) []uint64 {
	var out []uint64
	for s, r := range f.waiting {
		if match(r) {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return out
}

// resetTimeouts restarts all response timeouts after a pause of this VM.
func (f *frontend) resetTimeouts() {
	for _, l := range f.links {
		if !l.unansweredSince.IsZero() {
			l.unansweredSince = f.m.now
		}
	}
	for _, r := range f.waiting {
		r.sentAt = f.m.now
	}
}

// adoptGroups moves waiting requests and grants to the dispatchers of a new view.
func (f *frontend) adoptGroups() {
	for _, s := range f.waitingSequences(func(r *request) bool { return !f.waitsAtOwner(r) }) {
		r := f.waiting[s]
		f.withdraw(r)
		f.route(r)
	}
	f.forgetDeclarations()
	for vm, l := range f.links {
		if !f.m.view.entryVMs[vm] && l.settled() && !f.owns(vm) {
			delete(f.links, vm)
		}
	}
	for name := range f.queueLengths {
		if f.m.view.groups[name] == nil {
			delete(f.queueLengths, name)
		}
	}
	f.declarationDue = true
}

// waitsAtOwner reports whether a request waits at the owner of its group.
func (f *frontend) waitsAtOwner(r *request) bool {
	g := f.m.view.groups[r.group]
	return g != nil && g.owner == r.dispatcherVM
}

// owns reports whether a VM owns a group in the current view.
func (f *frontend) owns(vm string) bool {
	for _, g := range f.m.view.groups {
		if g.owner == vm {
			return true
		}
	}
	return false
}

// rejectReason maps an error of a policy to a reject reason of the protocol.
func rejectReason(err error) peerpb.RejectReason {
	var full *dispatch.QueueFullError
	if errors.As(err, &full) {
		return peerpb.RejectReason_REJECT_REASON_QUEUE_FULL
	}
	return peerpb.RejectReason_REJECT_REASON_NO_BACKEND
}
