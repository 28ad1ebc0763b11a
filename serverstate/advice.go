package serverstate

import (
	"time"

	"github.com/go-faster/errors"
)

// Action is what is best for a request.
type Action int

const (
	// Send means that at least one server may be used now.
	Send Action = iota
	// Wait means to wait for the first server that may be used again.
	Wait
	// Refuse means to reject the request at once.
	Refuse
)

// Advice is what is best for a request, given the servers that could run it.
type Advice struct {
	Action Action
	// Until is when the first server may be used again, if Action is Wait.
	Until time.Duration
	// RetryAfter is the time until the first server may be used again, if Action is
	// Refuse. It is 0 if none is known to return.
	RetryAfter time.Duration
}

// maxWaitShare is the part of the time left to the aim that a request may wait: the rest
// is for its work.
const maxWaitShare = 0.5

// Advise returns what is best for a request that one of the given servers could run. aim
// is when its answer is due, deadline when it is given up; an aim of 0 is the deadline.
func (t *Table) Advise(now time.Duration, servers []Server, aim, deadline time.Duration) Advice {
	var first time.Duration
	paused := false
	for _, s := range servers {
		err := t.Check(now, s)
		if err == nil {
			return Advice{Action: Send}
		}
		e, ok := errors.Into[*PausedError](err)
		if ok && (!paused || e.Until < first) {
			first, paused = e.Until, true
		}
	}
	if !paused {
		return Advice{Action: Refuse}
	}
	return AdviseReturn(now, first, aim, deadline)
}

// AdviseReturn returns what is best for a request if first is when the first server may
// be used again. aim and deadline are those of Table.Advise.
func AdviseReturn(now, first, aim, deadline time.Duration) Advice {
	if aim == 0 || aim > deadline {
		aim = deadline
	}
	if first-now <= time.Duration(maxWaitShare*float64(aim-now)) {
		return Advice{Action: Wait, Until: first}
	}
	return Advice{Action: Refuse, RetryAfter: first - now}
}
