package grant

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/dispatch"
)

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
	f.followPauses()
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

// retryParked routes parked requests again, in order of arrival. It refuses those whose first
// token was due by now.
func (f *frontend) retryParked() {
	parked := f.parked
	f.parked = nil
	for _, r := range parked {
		if f.m.now.Before(r.retryAt) {
			f.parked = append(f.parked, r)
			continue
		}
		if r.targetPassed(f.m.now) {
			f.finish(r, outcome{err: &dispatch.QueueFullError{Organisation: r.admissionRequest.Organisation}})
			continue
		}
		f.route(r)
	}
}

// targetPassed reports whether the first token of a request has become due while it waited.
func (r *request) targetPassed(now time.Time) bool {
	target := r.admissionRequest.Target
	return target > dispatch.TimePassed && now.Sub(r.acquiredAt) >= target
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
