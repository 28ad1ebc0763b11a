package grant

import (
	"slices"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

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
		f.counters.UnusableGrants++
		r.admissionRequest.Excluded = append(slices.Clone(r.admissionRequest.Excluded), b.Backend)
		f.route(r)
		return
	}
	if _, unavailable := f.m.unavailable(r.admissionRequest)[vm.ID]; unavailable {
		// The engine has asked this VM for a pause since the request was sent.
		f.returnGrant(from, b.Sequence)
		f.counters.PausedGrants++
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
		sequence: b.Sequence, target: backend.TargetOf(vm), priority: int(b.Priority),
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
		f.finish(r, outcome{err: &dispatch.QueueFullError{
			Organisation: r.admissionRequest.Organisation, RetryAfter: decodeMilliseconds(b.RetryAfterMs),
		}})
	case peerpb.RejectReason_REJECT_REASON_NO_BACKEND:
		r.excludedGroups = append(r.excludedGroups, r.group)
		f.route(r)
	default:
		r.retryAt = f.m.now.Add(viewMismatchRetryDelay)
		f.parked = append(f.parked, r)
	}
}

// rejectReason maps an error of a policy to a reject reason of the protocol.
func rejectReason(err error) peerpb.RejectReason {
	var full *dispatch.QueueFullError
	if errors.As(err, &full) {
		return peerpb.RejectReason_REJECT_REASON_QUEUE_FULL
	}
	return peerpb.RejectReason_REJECT_REASON_NO_BACKEND
}
