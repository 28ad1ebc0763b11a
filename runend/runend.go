// Package runend decides how the end of a run is obtained from the engine that the run has
// left, and when the next engine may begin.
//
// An engine may work on a run after its connection has closed. Only a call ends the run then,
// and each attempt to make it may fail: the connection is dead, the answer is lost, the engine
// refuses, pauses, is slow or gone. An End owns one run at one engine from the moment the run
// leaves it until the engine has confirmed the end, is gone, or has passed the time limit of
// the run.
//
// The package does no network I/O and starts no goroutines. The current time is always an
// argument, on one monotonic clock. An End is not safe for concurrent use.
package runend

import "time"

// Connection is the kind of connection over which an attempt is made.
type Connection string

const (
	// Any is an idle connection if there is one, else a new one. An attempt is made over either.
	Any Connection = "any"
	// Idle is an idle connection.
	Idle Connection = "idle"
	// New is a new connection.
	New Connection = "new"
	// Prepared is a new connection that was opened before the run left its engine.
	Prepared Connection = "prepared"
)

// Outcome is what came of an attempt.
type Outcome string

const (
	// Stopped means that the engine has stopped the run.
	Stopped Outcome = "stopped"
	// NotFound means that the engine has no such run.
	NotFound Outcome = "not_found"
	// InProgress means that the engine serves another call for the run, whose answer is due.
	InProgress Outcome = "in_progress"
	// Refused means that the engine has answered otherwise and may work on.
	Refused Outcome = "refused"
	// Unsupported means that the engine does not know the call.
	Unsupported Outcome = "unsupported"
	// OtherServer means that another server has answered at the address of the engine.
	OtherServer Outcome = "other_server"
	// Lost means that the connection has ended before an answer, or that the answer cannot be
	// read. The engine may have got the call.
	Lost Outcome = "lost"
	// DeadConnection means that a connection was closed before anything was sent.
	DeadConnection Outcome = "dead_connection"
	// NoIdle means that there is no idle connection.
	NoIdle Outcome = "no_idle_connection"
	// PortClosed means that nothing listens at the address of the engine.
	PortClosed Outcome = "port_closed"
	// NotConnected means that no connection could be opened.
	NotConnected Outcome = "not_connected"
	// NotPermitted means that the engine limits the rate of requests and there was no permit.
	NotPermitted Outcome = "not_permitted"
	// Paused means that the engine has asked for a pause in which no more calls may be made.
	Paused Outcome = "paused"
)

// State is the state of an End.
type State string

const (
	// Asked means that the engine is still to be asked, or has not confirmed the end.
	Asked State = "asked"
	// Confirmed means that the engine does not work on the run any more.
	Confirmed State = "confirmed"
	// Gone means that the engine has stopped.
	Gone State = "engine_gone"
	// Untold means that the engine knows no call that ends a run.
	Untold State = "unsupported"
	// Lapsed means that the time limit of the run has passed, at which engines stop by themselves.
	Lapsed State = "time_limit"
)

// Timing of the attempts.
const (
	// silenceLimit is the time without an answer after which a second attempt is made beside the
	// first. An engine that has got the first one answers the second at once.
	silenceLimit = 60 * time.Millisecond
	// connectLimit is the time after which an engine to which no connection could be opened
	// counts as out of reach. Zones are a few milliseconds apart.
	connectLimit = 100 * time.Millisecond
	// minInterval and maxInterval bound the time between two attempts. An engine that can be
	// reached again is asked well within the 400 ms for which two engines may work on a run.
	minInterval = 30 * time.Millisecond
	maxInterval = 250 * time.Millisecond
	// unstartedTime is the time for which an engine that knows no run is asked further at least, if
	// this VM has not seen the run begin: the request may still be in the engine's queue.
	unstartedTime = 2 * time.Second
	// callLimit bounds the first attempt, whose answer comes when the memory of the run is copied.
	// repeatLimit bounds the others, which an engine that has got the first answers at once.
	callLimit   = 3 * time.Second
	repeatLimit = 400 * time.Millisecond
	// maxAttempts is the number of attempts that may be in progress.
	maxAttempts = 2
)

// Options describe the run and what is known of it when it leaves its engine.
type Options struct {
	// Begin is when the run left the engine.
	Begin time.Duration
	// TimeLimit is when the engine stops the run by itself.
	TimeLimit time.Duration
	// RunSeen is set if the engine has sent events of the run.
	RunSeen bool
	// CopyInProgress is set if another call for the run, which does not end it, may be in
	// progress at the engine.
	CopyInProgress bool
	// Prepared is set if a connection was opened before the run left the engine.
	Prepared bool
}

// Attempt identifies an attempt of an End.
type Attempt int

// attempt is an attempt in progress.
type attempt struct {
	id         Attempt
	connection Connection
	// since is when the attempt began, or when the call was sent.
	since time.Duration
	sent  bool
	// awaitsPermit is set while the attempt waits for a permit.
	awaitsPermit bool
}

// End is the state machine of the end of one run at one engine.
type End struct {
	options  Options
	state    State
	progress []attempt
	attempts Attempt
	// next is the connection of the next attempt, which is made at nextAt.
	next   Connection
	nextAt time.Duration
	// failures counts the attempts that were not answered by the end of the run.
	failures int
	// reached is set once the engine has accepted a connection or answered, and answered if its
	// latest sign was an answer that does not end the run.
	reached, answered bool
	// notFoundAt is when the engine first said that it has no such run, 0 if it has not.
	notFoundAt time.Duration
	// closedAt is when the port of the engine was first found closed, 0 if it is not.
	closedAt time.Duration
	// idleTried is set if there was no usable idle connection since the port was found closed.
	idleTried bool
	// unlisted is set once the VM list does not hold the engine any more.
	unlisted bool
	// withheldUntil is the time before which the engine must not be asked, 0 if it may.
	withheldUntil time.Duration
	withheldBy    Outcome
}

// NewEnd returns the end of a run that leaves its engine.
func NewEnd(o Options) *End {
	e := &End{options: o, state: Asked, next: Any, nextAt: o.Begin}
	if o.Prepared {
		e.next, e.reached = Prepared, true
	}
	return e
}

// State returns the state.
func (e *End) State() State { return e.state }

// Attempts returns the number of attempts so far.
func (e *End) Attempts() int { return int(e.attempts) }

// StepKind is what the owner of an End is to do.
type StepKind int

const (
	// Ask means to begin an attempt.
	Ask StepKind = iota
	// Wait means to wait for a result, or until a time.
	Wait
	// Done means that the end is settled.
	Done
)

// Step is what the owner of an End is to do next.
type Step struct {
	Kind StepKind
	// Attempt and Connection are those of the attempt to begin.
	Attempt    Attempt
	Connection Connection
	// Limit is how long the attempt may take once it may be made: it has a permit if it needs one.
	Limit time.Duration
	// Until is when to ask for the next step at the latest.
	Until time.Duration
}

// Next returns what to do now. It must be called again after each result, and at Step.Until.
func (e *End) Next(now time.Duration) Step {
	e.settle(now)
	if e.state != Asked {
		return Step{Kind: Done}
	}
	at := e.askAt()
	if now < at {
		return Step{Kind: Wait, Until: min(at, e.options.TimeLimit)}
	}
	e.attempts++
	connection, limit := e.next, repeatLimit
	if connection == Idle && e.inProgressOver(Idle) {
		connection = New // Idle connections may all be silent for the same reason.
	}
	if e.attempts == 1 {
		limit = callLimit
	}
	e.progress = append(e.progress, attempt{id: e.attempts, connection: connection, since: now})
	e.next, e.nextAt = other(connection), now
	return Step{Kind: Ask, Attempt: e.attempts, Connection: connection, Limit: limit}
}

func (e *End) inProgressOver(c Connection) bool {
	for _, a := range e.progress {
		if a.connection == c {
			return true
		}
	}
	return false
}

// other returns the kind of connection for the attempt after one that brought no answer.
func other(c Connection) Connection {
	if c == New {
		return Idle
	}
	return New
}

// askAt returns when the next attempt is due: when the ones in progress have brought no answer
// for some time.
func (e *End) askAt() time.Duration {
	if len(e.progress) >= maxAttempts {
		return e.options.TimeLimit
	}
	at := max(e.nextAt, e.withheldUntil)
	for _, a := range e.progress {
		if a.awaitsPermit {
			return e.options.TimeLimit
		}
		at = max(at, a.since+silenceLimit)
	}
	return at
}

// settle ends what time ends.
func (e *End) settle(now time.Duration) {
	switch {
	case e.state != Asked:
	case now >= e.options.TimeLimit:
		e.state = Lapsed
	case e.unlisted && (!e.reached || e.closedAt != 0 && e.idleTried):
		e.state = Gone
	}
}

// Unlisted records that the VM list does not hold the engine any more. An engine that can't be
// reached is gone then. One that can be may work on for a while.
func (e *End) Unlisted() { e.unlisted = true }

// StreamClosed records that the engine has closed the stream of the run before its end. If it was
// asked to end the run, it has: it closes the stream then.
func (e *End) StreamClosed() {
	if e.state == Asked && e.AwaitsAnswer() {
		e.state = Confirmed
	}
}

// Declined reports whether the engine has answered without ending the run, or must not be asked.
func (e *End) Declined() bool { return e.answered || e.isWithheld() }

// AwaitsPermit records that an attempt waits for a permit.
func (e *End) AwaitsPermit(id Attempt) {
	if a := e.find(id); a != nil {
		a.awaitsPermit = true
	}
}

// Connecting records that an attempt goes on to connect: it has a permit, or needs none.
func (e *End) Connecting(now time.Duration, id Attempt) {
	if a := e.find(id); a != nil {
		a.awaitsPermit, a.since = false, now
		if id == e.attempts {
			e.permit()
		}
	}
}

// Sent records that the call of an attempt is being sent over a connection, which is not Any.
func (e *End) Sent(now time.Duration, id Attempt, over Connection) {
	a := e.find(id)
	if a == nil {
		return
	}
	a.sent, a.since, a.connection = true, now, over
	if over != Idle {
		e.reached, e.closedAt, e.idleTried = true, 0, false
	}
}

func (e *End) find(id Attempt) *attempt {
	for i := range e.progress {
		if e.progress[i].id == id {
			return &e.progress[i]
		}
	}
	return nil
}

// remove ends an attempt.
func (e *End) remove(id Attempt) (attempt, bool) {
	for i, a := range e.progress {
		if a.id == id {
			e.progress = append(e.progress[:i], e.progress[i+1:]...)
			return a, true
		}
	}
	return attempt{}, false
}

// Result records the outcome of an attempt. until is the end of the pause for Paused.
func (e *End) Result(now time.Duration, id Attempt, o Outcome, until time.Duration) {
	a, ok := e.remove(id)
	if !ok || e.state != Asked {
		return
	}
	if id == e.attempts || o == PortClosed {
		e.permit()
	}
	switch o {
	case Stopped:
		e.state = Confirmed
	case Unsupported:
		e.state = Untold
	case OtherServer:
		e.state = Gone
	case NotFound:
		e.notFound(now, id)
	case InProgress:
		e.inProgress(now, id)
	case Refused:
		e.answer()
		e.again(now, id, e.next)
	case Lost:
		e.lost(now, a)
	case DeadConnection:
		e.idleTried = e.closedAt != 0
		e.schedule(id, New, now)
	case NoIdle:
		e.noIdle(now, id)
	case PortClosed:
		e.portClosed(now, id)
	case NotConnected:
		// The time that the attempt took counts: a dial may wait for hundreds of milliseconds.
		e.schedule(id, Idle, max(now+minInterval, a.since+maxInterval))
	case NotPermitted:
		e.withhold(id, now+minInterval, o)
	case Paused:
		e.withhold(id, max(until, now+minInterval), o)
	}
}

// answer records that the engine has answered and may work on.
func (e *End) answer() {
	e.reached, e.answered, e.closedAt, e.idleTried = true, true, 0, false
}

// schedule sets the next attempt as the result of attempt id requires. If a later attempt has begun,
// the result may only bring the next one forward: the connection of an earlier one may have been
// dead for seconds, which tells nothing of the engine now.
func (e *End) schedule(id Attempt, c Connection, at time.Duration) {
	if id < e.attempts && e.nextAt <= at {
		return
	}
	e.next, e.nextAt = c, at
}

// again schedules an attempt after the interval, which grows with each failure.
func (e *End) again(now time.Duration, id Attempt, c Connection) {
	e.schedule(id, c, now+min(minInterval<<(e.failures/2), maxInterval))
	e.failures = min(e.failures+1, 16)
}

// withhold delays the next attempt: the engine must not be asked before. What a later attempt has
// found counts if it is the longer time.
func (e *End) withhold(id Attempt, until time.Duration, by Outcome) {
	if id < e.attempts && e.withheldUntil >= until {
		return
	}
	e.withheldUntil, e.withheldBy = until, by
	e.next = Any
}

// permit ends what withhold began. Of the outcomes of an attempt that was made before the engine asked
// for a pause, only a closed port tells that the pause has no meaning any more.
func (e *End) permit() { e.withheldUntil, e.withheldBy = 0, "" }

// notFound handles an engine that has no such run. A request whose run was not seen to begin may
// be in its queue. Only an answer at the end of unstartedTime tells that it is not: the run may have
// begun while the engine did not answer.
func (e *End) notFound(now time.Duration, id Attempt) {
	if e.options.RunSeen || e.notFoundAt != 0 && now >= e.notFoundAt+unstartedTime {
		e.state = Confirmed
		return
	}
	e.reached = true
	if e.notFoundAt == 0 {
		e.notFoundAt = now
	}
	e.schedule(id, Any, now+maxInterval)
}

// inProgress handles an engine that serves another call for the run. If that is an attempt which it
// has not answered yet, the run has stopped: the engine stops it before it copies.
func (e *End) inProgress(now time.Duration, id Attempt) {
	if e.AwaitsAnswer() && !e.options.CopyInProgress {
		e.state = Confirmed
		return
	}
	e.answer()
	e.again(now, id, e.next)
}

// AwaitsAnswer reports whether a call was sent that is not answered. The engine may be copying the
// run then.
func (e *End) AwaitsAnswer() bool {
	for _, a := range e.progress {
		if a.sent {
			return true
		}
	}
	return false
}

// lost handles a connection that has ended before an answer. One that was opened some time ago may
// have been dead before.
func (e *End) lost(now time.Duration, a attempt) {
	if a.connection != New {
		e.idleTried = e.closedAt != 0
		e.schedule(a.id, New, now)
		return
	}
	if a.id == e.attempts { // A later attempt may have been answered meanwhile.
		e.answered = false
	}
	e.again(now, a.id, Idle)
}

// noIdle handles an attempt for which there was no idle connection.
func (e *End) noIdle(now time.Duration, id Attempt) {
	if e.closedAt == 0 || e.idleTried {
		e.next = New // At the time of the attempt that was due.
		return
	}
	e.idleTried = true
	e.again(now, id, New)
}

// portClosed handles an engine that refuses connections. It may have stopped, or accept none for
// now and answer over an idle one.
func (e *End) portClosed(now time.Duration, id Attempt) {
	if e.closedAt == 0 {
		e.closedAt, e.idleTried = now, false
	}
	if e.idleTried || e.inProgressOver(Idle) {
		e.idleTried = true // One that is silent tells no more than none.
		e.again(now, id, New)
		return
	}
	e.schedule(id, Idle, now)
}
