// Package admission decides in which order the requests of an organisation wait for an engine,
// how long each may wait, and which are refused because they would not be served in time. It
// does no I/O and takes the time as an argument.
package admission

import "time"

const (
	// priorityStep is the wait by which a request goes before one that is less urgent by one
	// level of priority and has the same limits. Levels from lowestPriority on are equal.
	priorityStep   = 250 * time.Millisecond
	lowestPriority = 4
	// agedDivisor is the number of requests with time limits of which one is ordered as if it
	// had the most urgent priority. Without it, requests are refused whose priority is less
	// urgent than that of others which use all capacity by themselves.
	agedDivisor = 4
	// MaxPendingPrefill is the time that the prompts pending at an engine may take if it is to
	// get another request with a target. It covers the prompt in progress and the next one.
	// Without a bound, a prompt-bound load makes engines work on prompts whose target has
	// passed: 92% of all prompt tokens at 650% of capacity.
	MaxPendingPrefill = 250 * time.Millisecond
	// minWaitDivisor determines the shortest wait that a target allows, as a part of the
	// target. Without it, a route whose target is shorter than the time to process its
	// prompts would be refused while there is hardly any queue.
	minWaitDivisor = 4
	// usualOrderWait is the wait by which requests without a target are ordered.
	usualOrderWait = 3 * time.Second
)

// Reason is why a request is refused.
type Reason string

const (
	// ReasonWait means that the expected wait is longer than the request may wait.
	ReasonWait Reason = "expected_wait"
	// ReasonTarget means that the first token can no longer come within the target.
	ReasonTarget Reason = "target"
	// ReasonDeadline means that the first token can no longer come before the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonLength means that the run can't end before the deadline.
	ReasonLength Reason = "length"
)

// Request is what a request says about its urgency.
type Request struct {
	// At is when the request arrived.
	At time.Time
	// ID is a hash of the request's id, another one for each attempt.
	ID uint64
	// Priority is the urgency, 0 being the most urgent.
	Priority int
	// Target is the time after At within which the first token is due, Deadline the one
	// after which the caller gives up. They are 0 if there is no such time.
	Target, Deadline time.Duration
}

// Estimate is how long engines are expected to take for a request, from its grant on.
type Estimate struct {
	// FirstToken is the time to the first token, Run that to the last one. Times that are
	// not known are 0.
	FirstToken, Run time.Duration
}

// Limits bound the wait of a request.
type Limits struct {
	request Request
	// byTarget and byDeadline are the longest waits from the arrival on that meet the target
	// and the deadline. byDeadline is negative if the deadline can't be met at all.
	byTarget, byDeadline time.Duration
	// length reports whether the run, not its first token, decides byDeadline.
	length bool
	// usual is the longest expected wait of requests without a target.
	usual time.Duration
}

// LimitsOf returns the limits of a request. usual is the longest expected wait with which a
// request without a target is admitted.
func LimitsOf(r Request, e Estimate, usual time.Duration) Limits {
	l := Limits{request: r, usual: usual}
	if r.Target > 0 {
		l.byTarget = max(r.Target-MaxPendingPrefill-e.FirstToken, r.Target/minWaitDivisor)
	}
	if r.Deadline > 0 {
		l.byDeadline = r.Deadline - max(e.FirstToken, e.Run)
		l.length = e.Run > e.FirstToken
	}
	return l
}

// limited reports whether the request names a target or a deadline.
func (l Limits) limited() bool { return l.request.Target > 0 || l.request.Deadline > 0 }

// Wait returns the longest expected wait with which the request is admitted.
func (l Limits) Wait() time.Duration { return l.atMost(l.usual) }

// atMost returns the longest wait that target and deadline allow, and usual in place of a
// target that is not named.
func (l Limits) atMost(usual time.Duration) time.Duration {
	wait := usual
	if l.request.Target > 0 {
		wait = l.byTarget
	}
	if l.request.Deadline > 0 {
		wait = min(wait, l.byDeadline)
	}
	return wait
}

// Admit returns the reason for which a request with an expected wait is refused on arrival, ""
// if it is admitted.
func (l Limits) Admit(expected time.Duration) Reason {
	if l.request.Deadline > 0 && l.byDeadline < 0 {
		return l.deadlineReason()
	}
	if expected > l.Wait() {
		return ReasonWait
	}
	return ""
}

// LatestGrant returns the time until which the request may wait, false if it names none.
func (l Limits) LatestGrant() (time.Time, bool) {
	if !l.limited() {
		return time.Time{}, false
	}
	if l.request.Target <= 0 {
		return l.request.At.Add(l.byDeadline), true
	}
	return l.request.At.Add(l.Wait()), true
}

// Late returns the reason for which a waiting request is refused, "" if it may wait on.
func (l Limits) Late(now time.Time) Reason {
	latest, limited := l.LatestGrant()
	switch {
	case !limited || !now.After(latest):
		return ""
	case l.request.Target > 0 && (l.request.Deadline <= 0 || l.byTarget <= l.byDeadline):
		return ReasonTarget
	default:
		return l.deadlineReason()
	}
}

func (l Limits) deadlineReason() Reason {
	if l.length {
		return ReasonLength
	}
	return ReasonDeadline
}

// Due returns the time by which the requests of an organisation are ordered, earliest first: the
// latest grant, or earlier for a more urgent priority. Among requests of the same priority the
// one goes first that can wait least. Some requests of each kind are ordered as if they were most
// urgent, so no priority, size or session starves.
func (l Limits) Due() time.Time {
	levels := lowestPriority - min(max(l.request.Priority, 0), lowestPriority)
	if l.limited() && l.request.ID%agedDivisor == 0 {
		levels = lowestPriority
	}
	return l.request.At.Add(l.atMost(usualOrderWait) - time.Duration(levels)*priorityStep)
}

// RetryAfter returns the time after which a request that is refused for a reason is expected to
// be granted, given the expected wait of the same request now. It returns 0 if that is not
// known. A run that does not fit into its time is not served until that time is over.
func (l Limits) RetryAfter(now time.Time, reason Reason, expected time.Duration) time.Duration {
	if reason == ReasonLength || reason == ReasonDeadline {
		return max(expected, l.request.At.Add(l.request.Deadline).Sub(now), 0)
	}
	return expected
}
