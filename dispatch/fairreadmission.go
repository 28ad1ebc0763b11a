package dispatch

import (
	"time"

	"github.com/vanillaarch/vanillaarch/admission"
	"github.com/vanillaarch/vanillaarch/readmission"
)

// returnWindow is the time over which callers that are refused together return. It keeps them from
// returning at once. A wider window lets callers return after their first event was due.
const returnWindow = 250 * time.Millisecond

// maxReturnCredit bounds by how much a caller that returns as told goes before those that arrive
// with it. The first event of a request that was refused for long is late in any case, and with all
// its wait it would make the others late too.
const maxReturnCredit = 250 * time.Millisecond

// readmissionKey identifies a request over all attempts of its caller. Only requests with time
// limits that tell their identity have a place to return to.
func readmissionKey(r *waitingRequest) (readmission.Key, bool) {
	return readmission.Key{Organisation: r.Organisation, Identity: r.Identity}, r.limited() && r.Identity != 0
}

// arrive returns the time from which the wait of an arriving request counts: its first refusal, but
// at most maxReturnCredit ago, if its caller returns at the time that it was given, now otherwise.
func (f *fairPolicy) arrive(now time.Time, r *waitingRequest) time.Time {
	key, ok := readmissionKey(r)
	if !ok {
		return now
	}
	arrival := f.readmissions.Arrive(now, key)
	if arrival.Kind != readmission.KindNew {
		f.opts.OnReturn(arrival.Kind)
	}
	if earliest := now.Add(-maxReturnCredit); arrival.Since.Before(earliest) {
		return earliest
	}
	return arrival.Since
}

// readmitted ends the promise to the caller of a request that has joined the queue.
func (f *fairPolicy) readmitted(now time.Time, r *waitingRequest) {
	if key, ok := readmissionKey(r); ok {
		f.readmissions.Admit(now, key)
	}
}

// promise returns the time after which the caller of a refused request is to return. A run that
// does not fit into its time gets no place, since it would be refused again.
func (f *fairPolicy) promise(now time.Time, r *waitingRequest, reason admission.Reason, expected time.Duration) time.Duration {
	key, ok := readmissionKey(r)
	if !ok || reason == admission.ReasonLength || reason == admission.ReasonDeadline {
		return expected
	}
	expectation := readmission.Expectation{Wait: expected, Window: returnWindow, Left: r.submitted.Add(r.Deadline).Sub(now)}
	if r.Deadline <= 0 {
		expectation.Left = 0
	}
	if a := f.accounts[r.Organisation]; a != nil {
		expectation.Interval = a.queueDelay.Interval()
	}
	return f.readmissions.Refuse(now, key, expectation).After
}
