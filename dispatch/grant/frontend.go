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

// request is a caller that waits for a ticket.
type request struct {
	ask  dispatch.AdmissionRequest
	done chan outcome

	// The fields below are owned by the control goroutine. A request either
	// waits at a dispatcher under its sequence, or is parked.

	sequence uint64
	to       string
	group    string
	sent     time.Time
	received bool
	// retryAt delays a parked request.
	retryAt time.Time
	// avoid lists groups without an engine for the request.
	avoid  []string
	ticket *ticket
}

type outcome struct {
	ticket dispatch.Ticket
	err    error
}

// frontend is the side of the protocol that asks for grants.
type frontend struct {
	m     *Manager
	local *dispatch.Local
	rand  *rand.Rand
	// sequence is the last one used. It starts from the clock, so that a
	// restarted VM does not use a sequence again.
	sequence uint64
	// waiting holds requests at dispatchers, parked those at none.
	waiting map[uint64]*request
	parked  []*request
	held    map[uint64]*ticket
	queued  map[string]int
	links   map[string]*link
	// lengths holds the last known queue length of each group.
	lengths map[string]uint32
	// declareDue says that a dispatcher may lack grants that this VM holds.
	declareDue   bool
	progressedAt time.Time
	counters     counters
}

// counters count since the start of the process.
type counters struct{ Grants, Bypasses, LateGrants int64 }

func newFrontend(m *Manager) *frontend {
	f := &frontend{
		m: m, rand: rand.New(rand.NewPCG(m.opts.Seed, 0)), waiting: map[uint64]*request{}, held: map[uint64]*ticket{},
		queued: map[string]int{}, links: map[string]*link{}, lengths: map[string]uint32{},
	}
	f.local = dispatch.NewLocal(m.opts.Loop.Snapshot, m.opts.LocalStreams, 0, 0).Restrict(f.bypassable)
	return f
}

// bypassable reports whether a bypass may use an engine.
func (f *frontend) bypassable(vm vmlist.VM) bool {
	return f.m.opts.Breaker.Allowed(vm.ID) && slices.ContainsFunc(vm.Models, func(model string) bool {
		g := f.m.view.groupOf[placement{model, vm.ID}]
		return g != nil && slices.Contains(f.m.view.candidates[model], g)
	})
}

// sequenceShift leaves room for this many bits of requests per second of uptime.
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
	if total >= f.m.opts.Queued || f.queued[r.ask.Organisation] >= f.m.opts.QueuedPerOrganisation {
		r.done <- outcome{err: &dispatch.QueueFullError{Organisation: r.ask.Organisation}}
		return
	}
	f.queued[r.ask.Organisation]++
	f.route(r)
}

// finish ends the wait of a request.
func (f *frontend) finish(r *request, o outcome) {
	if f.queued[r.ask.Organisation]--; f.queued[r.ask.Organisation] == 0 {
		delete(f.queued, r.ask.Organisation)
	}
	r.done <- o
}

// route sends a request to a dispatcher, or bypasses a silent one.
func (f *frontend) route(r *request) {
	g := f.pick(r)
	if g == nil {
		f.finish(r, outcome{err: &dispatch.NoBackendError{Model: r.ask.Model}})
		return
	}
	if l := f.link(g.owner); l.silent || !f.ask(l, g, r) {
		f.bypass(r)
	}
}

// pick chooses a group by the power of two choices. Groups whose dispatcher
// does not respond are chosen only if there is no other.
func (f *frontend) pick(r *request) *group {
	var silent, responsive []*group
	for _, g := range f.m.view.candidates[r.ask.Model] {
		switch {
		case !g.offers(r.ask.Excluded) || slices.Contains(r.avoid, g.name):
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
	a1, b1 := responsive[i], responsive[j]
	if int(f.lengths[b1.name])*len(a1.engines) < int(f.lengths[a1.name])*len(b1.engines) {
		return b1
	}
	return a1
}

// ask sends a grant request. It returns false if the message cannot be sent.
func (f *frontend) ask(l *link, g *group, r *request) bool {
	r.sequence, r.to, r.group, r.sent, r.received = f.nextSequence(), l.vm, g.name, f.m.now, false
	f.waiting[r.sequence] = r
	err := f.m.send(l.vm, &peerpb.Dispatch{
		Group:   g.name,
		Message: &peerpb.Dispatch_GrantRequest{GrantRequest: encodeAsk(r.sequence, r.ask)},
	})
	if err != nil {
		delete(f.waiting, r.sequence)
		return false
	}
	l.expect(f.m.now)
	l.unsettle()
	return true
}

// bypass admits a request without its dispatcher, or parks it.
func (f *frontend) bypass(r *request) {
	if r.ask.Spare {
		f.finish(r, outcome{err: &dispatch.NoBackendError{Model: r.ask.Model}})
		return
	}
	t, err := f.local.Try(r.ask)
	switch {
	case err != nil:
		f.finish(r, outcome{err: err})
	case t == nil:
		f.parked = append(f.parked, r)
	default:
		f.counters.Bypasses++
		f.hold(r, &ticket{sequence: f.nextSequence(), target: t.Backend(), priority: t.Priority(), local: t})
		f.declareDue = true
	}
}

// hold delivers a ticket to its caller.
func (f *frontend) hold(r *request, t *ticket) {
	t.m, t.ask = f.m, r.ask
	f.held[t.sequence], r.ticket = t, t
	f.finish(r, outcome{ticket: t})
}

// leave takes a request back from its dispatcher.
func (f *frontend) leave(r *request) {
	delete(f.waiting, r.sequence)
	// A withdrawal that is lost is made good by the next complete keepalive.
	_ = f.m.send(r.to, &peerpb.Dispatch{
		Message: &peerpb.Dispatch_Withdraw{Withdraw: &peerpb.Withdraw{Sequence: r.sequence}},
	})
}

// abandon ends a request whose caller left or waited too long.
func (f *frontend) abandon(r *request) {
	switch {
	case r.ticket != nil:
		r.ticket.once.Do(func() { f.release(r.ticket) })
		return
	case f.waiting[r.sequence] == r:
		f.leave(r)
	default:
		i := slices.Index(f.parked, r)
		if i < 0 {
			return // ended with an error at the same time
		}
		f.parked = slices.Delete(f.parked, i, i+1)
	}
	f.finish(r, outcome{err: &dispatch.QueueTimeoutError{Model: r.ask.Model}})
}

// release returns a ticket.
func (f *frontend) release(t *ticket) {
	delete(f.held, t.sequence)
	if t.local != nil {
		t.local.Release(int(t.tokens.Load()))
	}
	if t.knownBy != "" {
		l := f.link(t.knownBy)
		p := t.report()
		p.finished = true
		p.unreachable = p.tokens == 0 && !f.m.opts.Breaker.Allowed(t.target.ID)
		p.failed = p.tokens == 0 && t.failed.Load()
		l.finished = append(l.finished, p)
		f.flush(l)
	}
}

func (f *frontend) received(from, group string, b *peerpb.Received) {
	f.lengths[group] = b.Waiting
	for _, s := range b.Sequences {
		if r := f.waiting[s]; r != nil && r.to == from {
			r.received = true
		}
	}
}

// granted takes a grant. One that nobody waits for is released at once.
func (f *frontend) granted(from string, b *peerpb.Grant) {
	if t := f.held[b.Sequence]; t != nil && t.knownBy == from {
		return // sent again
	}
	r := f.waiting[b.Sequence]
	if r == nil || r.to != from {
		f.counters.LateGrants++
		f.refuse(from, b.Sequence)
		return
	}
	delete(f.waiting, b.Sequence)
	vm, ok := f.m.view.snap.Backends[b.Backend]
	if !ok || vm.State != vmlist.StateLive || !f.m.opts.Breaker.Allowed(vm.ID) {
		// The dispatcher has not yet learnt that the engine leaves or fails.
		f.refuse(from, b.Sequence)
		r.ask.Excluded = append(slices.Clone(r.ask.Excluded), b.Backend)
		f.route(r)
		return
	}
	f.counters.Grants++
	if !r.received {
		f.lengths[r.group] = 0 // granted without waiting
	}
	g := f.m.view.groupOf[placement{r.ask.Model, vm.ID}]
	f.declareDue = f.declareDue || g != nil && (g.owner != from || g.name != r.group)
	f.hold(r, &ticket{
		sequence: b.Sequence, target: backend.Target{ID: vm.ID, Address: vm.Address}, priority: int(b.Priority),
		knownBy: from, group: r.group,
	})
}

// refuse releases a grant that is not used.
func (f *frontend) refuse(from string, sequence uint64) {
	l := f.link(from)
	l.finished = append(l.finished, progress{sequence: sequence, finished: true})
	l.unsettle()
	f.flush(l)
}

func (f *frontend) rejected(from string, b *peerpb.GrantRejected) {
	r := f.waiting[b.Sequence]
	if r == nil || r.to != from {
		return
	}
	delete(f.waiting, b.Sequence)
	switch b.Reason {
	case peerpb.RejectReason_REJECT_REASON_QUEUE_FULL:
		f.finish(r, outcome{err: &dispatch.QueueFullError{Organisation: r.ask.Organisation}})
	case peerpb.RejectReason_REJECT_REASON_NO_BACKEND:
		r.avoid = append(r.avoid, r.group)
		f.route(r)
	default:
		r.retryAt = f.m.now.Add(retryPause)
		f.parked = append(f.parked, r)
	}
}

// tick applies timeouts.
func (f *frontend) tick() {
	for _, l := range f.links {
		if l.overdue(f.m.now, f.m.opts.BypassAfter) {
			f.silence(l)
		}
	}
	for _, s := range f.waitingSequences(func(r *request) bool {
		return !r.received && f.m.now.Sub(r.sent) >= f.m.opts.BypassAfter
	}) {
		r := f.waiting[s]
		f.leave(r)
		f.bypass(r)
	}
	f.unpark()
	if f.declareDue {
		f.declareAll()
	}
	f.keepalives()
	f.reportFirst()
	if f.m.now.Sub(f.progressedAt) >= progressInterval {
		f.progressedAt = f.m.now
		f.reportProgress()
	}
}

// unpark tries again to find a place for parked requests, in order of arrival.
func (f *frontend) unpark() {
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

// silence bypasses a dispatcher that does not respond.
func (f *frontend) silence(l *link) {
	l.silent = true
	f.m.opts.Log.Warn("dispatcher_bypassed", zap.String("peer", l.vm), zap.Duration("silent_for", f.m.now.Sub(l.awaiting)))
	for _, s := range f.waitingSequences(func(r *request) bool { return r.to == l.vm }) {
		r := f.waiting[s]
		f.leave(r)
		f.bypass(r)
	}
}

// waitingSequences returns the matching requests in order of arrival.
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

// resumed restarts all timeouts after a pause of this VM.
func (f *frontend) resumed() {
	for _, l := range f.links {
		if !l.awaiting.IsZero() {
			l.awaiting = f.m.now
		}
	}
	for _, r := range f.waiting {
		r.sent = f.m.now
	}
}

// adoptGroups moves requests and grants to the dispatchers of a new view.
func (f *frontend) adoptGroups() {
	for _, s := range f.waitingSequences(func(r *request) bool { return !f.stillOwner(r) }) {
		r := f.waiting[s]
		f.leave(r)
		f.route(r)
	}
	f.forgetDeclarations()
	for vm, l := range f.links {
		if !f.m.view.entry[vm] && l.idle() && !f.owns(vm) {
			delete(f.links, vm)
		}
	}
	for name := range f.lengths {
		if f.m.view.groups[name] == nil {
			delete(f.lengths, name)
		}
	}
	f.declareDue = true
}

// stillOwner reports whether a request waits at the owner of its group.
func (f *frontend) stillOwner(r *request) bool {
	g := f.m.view.groups[r.group]
	return g != nil && g.owner == r.to
}

// owns reports whether a VM dispatches a group of this view.
func (f *frontend) owns(vm string) bool {
	for _, g := range f.m.view.groups {
		if g.owner == vm {
			return true
		}
	}
	return false
}

// asRejection maps an error of a core to the reason on the wire.
func asRejection(err error) peerpb.RejectReason {
	var full *dispatch.QueueFullError
	if errors.As(err, &full) {
		return peerpb.RejectReason_REJECT_REASON_QUEUE_FULL
	}
	return peerpb.RejectReason_REJECT_REASON_NO_BACKEND
}
