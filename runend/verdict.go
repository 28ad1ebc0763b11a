package runend

import "time"

// Decision is whether the next engine may begin.
type Decision int

const (
	// Hold means that the next engine must not begin yet.
	Hold Decision = iota
	// Begin means that the next engine may begin.
	Begin
	// GiveUp means that the next engine must not begin: the engine that the run has left
	// answers, or wants no calls, and may work on.
	GiveUp
)

// Reason is why the next engine may begin, or must not.
type Reason string

// Reasons other than the states that settle an End.
const (
	// NoSuchRun means that the engine knew no run, which it may not have begun yet.
	NoSuchRun Reason = "no_such_run"
	// PortIsClosed means that nothing listens at the address of the engine.
	PortIsClosed Reason = "port_closed"
	// OutOfReach means that no connection could be opened.
	OutOfReach Reason = "out_of_reach"
	// NoAnswer means that the engine accepts connections, and none brought an answer in time.
	NoAnswer Reason = "no_answer"
	// NotEnded means that the engine did not end the run in time although it answers.
	NotEnded Reason = "not_ended"
	// Withheld means that the engine must not be asked in time.
	Withheld Reason = "withheld"
	// Unconfirmed means that the end is not confirmed yet.
	Unconfirmed Reason = "unconfirmed"
)

// Verdict tells whether the next engine may begin.
type Verdict struct {
	Decision Decision
	Reason   Reason
	// Until is when to ask again at the latest if the next engine is held.
	Until time.Duration
}

// Verdict returns whether the next engine may begin now. It is held until holdUntil at most: for
// longer the caller would give up.
func (e *End) Verdict(now, holdUntil time.Duration) Verdict {
	e.settle(now)
	switch {
	case e.state != Asked:
		return Verdict{Decision: Begin, Reason: Reason(e.state)}
	case e.notFoundAt != 0:
		return Verdict{Decision: Begin, Reason: NoSuchRun}
	case e.closedAt != 0 && e.idleTried:
		return Verdict{Decision: Begin, Reason: PortIsClosed}
	case e.isWithheld():
		return e.whileWithheld(now, holdUntil)
	case !e.reached:
		return hold(now, min(e.options.Begin+connectLimit, holdUntil), Begin, OutOfReach)
	case e.answered:
		return hold(now, holdUntil, GiveUp, NotEnded)
	default:
		return hold(now, holdUntil, Begin, NoAnswer)
	}
}

// hold returns Hold before a time, and a decision after it.
func hold(now, until time.Duration, after Decision, reason Reason) Verdict {
	if now < until {
		return Verdict{Decision: Hold, Reason: Unconfirmed, Until: until}
	}
	return Verdict{Decision: after, Reason: reason}
}

// isWithheld reports whether the engine must not be asked now.
func (e *End) isWithheld() bool {
	if e.withheldUntil != 0 {
		return true
	}
	for _, a := range e.progress {
		if a.awaitsPermit {
			return true
		}
	}
	return false
}

// whileWithheld returns the verdict for an engine that must not be asked. There is nothing to wait
// for if its pause ends too late.
func (e *End) whileWithheld(now, holdUntil time.Duration) Verdict {
	if e.withheldBy == Paused && e.withheldUntil >= holdUntil {
		return Verdict{Decision: GiveUp, Reason: Withheld}
	}
	return hold(now, holdUntil, GiveUp, Withheld)
}
