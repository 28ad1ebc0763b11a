package serverstate

import "time"

const (
	// unknownLifetimeHold is how long a state counts for servers of unknown lifetime after
	// its server was last listed. Entries that lapse in an outage of the store are back
	// within seconds of its return.
	unknownLifetimeHold = time.Minute
	// logInterval is the minimum time between two logged changes of the pause of a server.
	logInterval = time.Minute
	// verifyInterval is how long a request to a start that must be asked first may wait
	// until it is checked again.
	verifyInterval = 100 * time.Millisecond
	// maxOtherStartPause bounds how long a pause holds for another start of its server than
	// the listed one, which may have asked for it or not. Requests in flight are limited
	// then, so that a start that has asked for a longer pause gets one or two until its
	// refusal tells.
	maxOtherStartPause = 5 * time.Second
	// clockTolerance is how much earlier than the answer a time may be during a pause. A
	// goroutine may have read the clock well before the answer if processors are scarce.
	clockTolerance = 5 * time.Second
)

// listing tells whether a server is in the list of live servers.
type listing int

const (
	// unchecked is the listing of an entry that is newer than the last list.
	unchecked listing = iota
	listed
	unlisted
)

// entry is the state of one lifetime of a server.
type entry struct {
	server  Server
	listing listing
	// generation is that of the last list that held the server.
	generation uint64
	// since is when the entry was added or, if its server is unlisted, when it went missing.
	since time.Duration

	// leaving is nil unless the server leaves.
	leaving *LeavingError
	// disputed is set if an answer said that the server leaves which may have come from
	// another start of it. heardAt is the time of the last such answer.
	disputed bool
	heardAt  time.Duration

	// paused is nil until the server asks for a pause. It is replaced, never changed.
	paused *PausedError
	// pausedAt is when the last pause was asked for, pausedUntil its end. lastAskedAt is
	// when an answer last asked for any pause, also a shorter one.
	pausedAt, pausedUntil, lastAskedAt time.Duration
	// spread is how much later this VM returns. It is drawn once for each pause, or else
	// many answers would move it towards its maximum.
	spread time.Duration
	resume resumption
	// ends counts the calls that end runs in the current pause.
	ends    int
	logged  bool
	logTime time.Duration
}

// covers reports whether the entry counts for requests to a server of its id.
func (e *entry) covers(now time.Duration, incarnation int64) bool {
	if e.server.Incarnation == 0 || incarnation == 0 {
		return e.listing != unlisted || now < e.since+unknownLifetimeHold
	}
	return e.server.Incarnation == incarnation
}

// isOtherStart reports whether the entry belongs to another start of a server of its id.
func (e *entry) isOtherStart(incarnation int64) bool {
	return e.server.Incarnation != 0 && incarnation != 0 && e.server.Incarnation != incarnation
}

// inPause reports whether this VM must not send. A pause ends if the clock was set back
// to a time before it, since it would last longer otherwise.
func (e *entry) inPause(now time.Duration) bool { return e.holds(now, e.resumeAt(false)) }

// holds reports whether there is a pause, which is taken to end at a given time.
func (e *entry) holds(now, end time.Duration) bool {
	return e.paused != nil && now < end && now >= e.pausedAt-clockTolerance
}

// resumeAt returns when this VM may send again: to the start of the entry, or to another
// one.
func (e *entry) resumeAt(otherStart bool) time.Duration {
	switch {
	case e.paused == nil:
		return 0
	case otherStart:
		return min(e.paused.Until, e.lastAskedAt+maxOtherStartPause)
	default:
		return e.paused.Until
	}
}

// pausedError returns the error for a pause that is taken to end at a given time.
func (e *entry) pausedError(end time.Duration) *PausedError {
	if end == e.paused.Until {
		return e.paused
	}
	return &PausedError{Server: e.server, Until: end}
}

// limited reports whether requests in flight are limited, which they are for a while
// after a pause.
func (e *entry) limited(now time.Duration) bool { return e.limitedFrom(now, e.resumeAt(false)) }

// limitedFrom reports whether requests in flight are limited after a pause that is taken
// to end at a given time.
func (e *entry) limitedFrom(now, end time.Duration) bool {
	return e.resume.round != 0 && now >= end && now < end+maxResume
}

// pause records that the server asked for a pause.
func (e *entry) pause(now time.Duration, t *Table, o Observation, c *Change) {
	e.lastAskedAt = now
	begins := !e.inPause(now)
	until := now + min(o.Pause.Delay, t.config.MaxPause)
	if !begins && until <= e.pausedUntil {
		return
	}
	slots := o.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	if begins {
		window := spreadWindow(until-now, t.vms, slots)
		e.spread = spread(window, t.config.VM, e.server, now)
		t.rounds++
		e.ends = 0
	}
	e.resume = newResumption(t.rounds, t.vms, slots)
	e.pausedAt, e.pausedUntil = now, until
	e.paused = &PausedError{Server: e.server, Until: until + e.spread}
	c.Paused, c.Extended = begins, !begins
	c.Pause, c.ResumeAt = o.Pause, e.paused.Until
}

// mayLog reports whether a change of the pause is to be logged, and records it.
func (e *entry) mayLog(now time.Duration) bool {
	if e.logged && now-e.logTime < logInterval {
		return false
	}
	e.logged, e.logTime = true, now
	return true
}

// expired reports whether the entry holds nothing that counts any more.
func (e *entry) expired(now time.Duration) bool {
	if e.inPause(now) || e.limited(now) {
		return false
	}
	if e.leaving != nil {
		return e.listing == unlisted && !e.covers(now, e.server.Incarnation)
	}
	return e.listing == unlisted || !e.logged || now-e.logTime >= logInterval
}

// evictionRank orders the entries of unlisted servers: those with a higher rank are
// kept longer. What a server said itself counts for more than what a VM announced.
func (e *entry) evictionRank() int {
	switch {
	case e.leaving == nil:
		return 1
	case e.leaving.AnnouncedBy != "":
		return 0
	default:
		return 2
	}
}
