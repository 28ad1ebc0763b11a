package dispatch

import (
	"strconv"
	"time"

	"github.com/vanillaarch/vanillaarch/admission"
	"github.com/vanillaarch/vanillaarch/flowcontrol"
	"github.com/vanillaarch/vanillaarch/internal/hash"
)

// medianQuantile is the quantile of the output length by which a run is expected to end. The
// policy's own quantile, which projects memory, follows from the weights of the tenants.
const medianQuantile = 0.5

// Refusal ends a waiting request that can no longer be served in time.
type Refusal struct {
	Request RequestID
	Err     *QueueFullError
}

// Refuser is implemented by policies that refuse requests which they have queued.
type Refuser interface {
	// Refused returns the requests that were refused since the last call.
	Refused(now time.Time) []Refusal
}

// newWaiting returns a request that arrives now.
func newWaiting(now time.Time, r Request) *waitingRequest {
	w := &waitingRequest{Request: r, submitted: now}
	if w.limited() {
		w.orderHash = hash.Pair(r.ID.VM, strconv.FormatUint(r.ID.Sequence, 10))
	}
	return w
}

// limits returns how long a request may wait, by what is known of the engines now.
func (f *fairPolicy) limits(r *waitingRequest) admission.Limits {
	request := admission.Request{At: r.submitted, ID: r.orderHash, Priority: r.Priority, Target: r.Target, Deadline: r.Deadline}
	return admission.LimitsOf(request, f.estimate(&r.AdmissionRequest), f.tuning.maxWait)
}

// estimate returns how long an engine of mean speed and load takes for a request. The length of
// a run counts only if the caller has named it.
func (f *fairPolicy) estimate(a *AdmissionRequest) admission.Estimate {
	if a.Target <= 0 && a.Deadline <= 0 {
		return admission.Estimate{}
	}
	first := f.prefillTimes.Estimate(flowcontrol.EnginePrefillTime{}, a.PromptTokens)
	estimate := admission.Estimate{FirstToken: first, Run: first}
	if a.ExpectedTokens > 0 && a.Deadline > 0 && len(f.liveEngines) > 0 {
		gap := f.tokenGaps.Gap(max(len(f.streams)/len(f.liveEngines), 1))
		estimate.Run += time.Duration(f.medianTokens(a)-1) * gap
	}
	return estimate
}

// medianTokens returns the median of the output lengths that are expected for a request with an
// estimate of its caller.
func (f *fairPolicy) medianTokens(a *AdmissionRequest) int {
	n := int(f.hintedTokens(a, 0, medianQuantile))
	if a.MaxTokens > 0 {
		n = min(n, a.MaxTokens)
	}
	return max(n, 1)
}

// orderKey returns the key by which a request is ordered in its organisation.
func (f *fairPolicy) orderKey(l admission.Limits) int64 {
	due := l.Due()
	if f.orderBase.IsZero() {
		f.orderBase = due
	}
	return int64(due.Sub(f.orderBase))
}

// dueOf returns the due time that corresponds to an order key.
func (f *fairPolicy) dueOf(key int64) time.Time { return f.orderBase.Add(time.Duration(key)) }

// expectedWait predicts the wait of a request that arrives now with an order key. Requests
// without time limits count those ahead. The others also expect those that arrive later and go
// before them.
func (f *fairPolicy) expectedWait(now time.Time, r *waitingRequest, key int64) time.Duration {
	a, first := f.accounts[r.Organisation], f.queue.First(r.Organisation)
	if a == nil || first == nil {
		return 0
	}
	expected := a.queueDelay.Expected(now, f.queue.Ahead(r.Organisation, key))
	if r.limited() {
		if wait, known := a.slack.Wait(now, f.dueOf(key), f.dueOf(first.Value.key)); known {
			return min(wait, expected)
		}
	}
	return expected
}

// limited reports whether the request names a target or a deadline.
func (r *waitingRequest) limited() bool { return r.Target > 0 || r.Deadline > 0 }

// enqueue queues a request, or returns a *QueueFullError if it would wait too long.
func (f *fairPolicy) enqueue(now time.Time, r *waitingRequest) error {
	a, length := f.accounts[r.Organisation], f.queue.OrganisationLen(r.Organisation)
	if a == nil {
		return &QueueFullError{Organisation: r.Organisation}
	}
	limits := f.limits(r)
	r.key = f.orderKey(limits) - int64(now.Sub(f.arrive(now, r)))
	expected := f.expectedWait(now, r, r.key)
	if reason := limits.Admit(expected); reason != "" {
		return f.refusal(now, r, limits, reason, expected)
	}
	item := f.queue.PushOrdered(r.Organisation, r.key, r)
	if item == nil {
		return f.refusal(now, r, limits, admission.ReasonWait, expected)
	}
	f.readmitted(now, r)
	a.queueDelay.Enqueued(now, length)
	f.waiting[r.ID] = item
	if latest, limited := limits.LatestGrant(); limited {
		r.expiry = f.expiries.Add(latest, r)
	}
	return nil
}

// refusal returns the error of a request that is refused. It sets RetryAfter only for requests
// with time limits. For the others, the gateway chooses the time.
func (f *fairPolicy) refusal(now time.Time, r *waitingRequest, l admission.Limits, reason admission.Reason, expected time.Duration) *QueueFullError {
	err := &QueueFullError{Organisation: r.Organisation, Reason: reason}
	if r.limited() {
		wait := f.promise(now, r, reason, max(expected, f.nextGrant(now, r.Organisation)))
		err.RetryAfter = l.RetryAfter(now, reason, wait)
	}
	return err
}

// nextGrant predicts the time until an organisation gets its next grant.
func (f *fairPolicy) nextGrant(now time.Time, organisation string) time.Duration {
	a := f.accounts[organisation]
	if a == nil {
		return 0
	}
	return a.queueDelay.Expected(now, 1)
}

// dequeue removes a waiting request that is not served from the queue.
func (f *fairPolicy) dequeue(r *waitingRequest) {
	f.queue.Remove(f.waiting[r.ID])
	f.forget(r)
}

// forget removes a request that has left the queue.
func (f *fairPolicy) forget(r *waitingRequest) {
	delete(f.waiting, r.ID)
	f.expiries.Remove(r.expiry)
	r.expiry = nil
}

// refuse ends a waiting request.
func (f *fairPolicy) refuse(now time.Time, r *waitingRequest, l admission.Limits, reason admission.Reason) {
	f.dequeue(r)
	again := f.orderKey(f.limits(newWaiting(now, r.Request)))
	err := f.refusal(now, r, l, reason, f.expectedWait(now, r, again))
	f.refused = append(f.refused, Refusal{Request: r.ID, Err: err})
}

// refuseLate refuses the waiting requests that can no longer be served in time. What is known of
// the engines may have changed since a request arrived, which moves its time.
func (f *fairPolicy) refuseLate(now time.Time) {
	for x := f.expiries.Passed(now); x != nil; x = f.expiries.Passed(now) {
		limits := f.limits(x.Value)
		if reason := limits.Late(now); reason != "" {
			f.refuse(now, x.Value, limits, reason)
			continue
		}
		latest, _ := limits.LatestGrant()
		f.expiries.Move(x, latest)
	}
}

// refuseUnlessInTime refuses a request that would not get its first token from an engine before
// its deadline. It returns false if the request may be granted.
func (f *fairPolicy) refuseUnlessInTime(now time.Time, r *waitingRequest, e *engine) bool {
	if r.Deadline <= 0 {
		return false
	}
	first := f.prefillTimes.Estimate(e.prefillTime, e.pendingPrefillTokens+r.PromptTokens)
	if now.Add(first).After(r.submitted.Add(r.Deadline)) {
		f.refuse(now, r, f.limits(r), admission.ReasonDeadline)
		return true
	}
	return false
}

// mayPrefill reports whether an engine has so few pending prompts that a request with a target
// may be sent there. The bound is the same for all requests: if it followed from the time that
// each one has left, those with more time would overtake, and shares would not hold.
func (f *fairPolicy) mayPrefill(r *waitingRequest, e *engine) bool {
	return r.Target <= 0 || e.pendingPrefillTokens == 0 ||
		f.prefillTimes.Estimate(e.prefillTime, e.pendingPrefillTokens) <= admission.MaxPendingPrefill
}

// Refused implements Refuser.
func (f *fairPolicy) Refused(now time.Time) []Refusal {
	f.refuseLate(now)
	refused := f.refused
	f.refused = nil
	return refused
}
