// Package standby decides which VMs of a region ask the platform's store, and
// what for. Most days one VM reads for all. Its standbys take over when the
// confirmations that it spreads grow old, in groups that double in size, so that
// a fleet whose reader fails, or whose store is out, does not ask all at once.
package standby

import (
	"math/bits"
	"time"
)

// Duty is what a VM asks of the store.
type Duty int

const (
	// Idle VMs hear from peers.
	Idle Duty = iota
	// Probe means to ask whether the store answers, with one read of the
	// configuration.
	Probe
	// Read means to poll, list and watch for the region.
	Read
)

func (d Duty) String() string {
	switch d {
	case Probe:
		return "probe"
	case Read:
		return "read"
	default:
		return "idle"
	}
}

// Intervals are the intervals of a deployment.
type Intervals struct {
	// Poll is the time between reads of the configuration by a reader.
	Poll time.Duration
	// TakeoverAge is the age of the last confirmation at which the first standbys read.
	TakeoverAge time.Duration
	// GroupDelay is the first of the delays between groups of standbys, each of which
	// is twice the one before. Once a VM has reached the store, it waits for
	// confirmations of others, one step longer in each further group.
	GroupDelay time.Duration
	// MaxAge is the age of the last confirmation at which any VM asks.
	MaxAge time.Duration
	// Readers is the number of VMs of a region that read at the same time.
	Readers int
}

const (
	// pollsPerBound is the number of polls within the bound of a change.
	pollsPerBound = 2.5
	// minPoll bounds the calls of a reader where no bound or a very short one is stated.
	minPoll = 200 * time.Millisecond
	// propagationTime is what a list needs to reach all VMs of a region.
	propagationTime = 500 * time.Millisecond
	// readLatency is the time of a read of the store, with the wake-up of its VM.
	readLatency = 250 * time.Millisecond
	// propagationFraction is the part of the bound within which a standby must have spread
	// a change. Otherwise two VMs read at the same time.
	propagationFraction = 0.9
	// revokeMargin is what is left of the bound of revocation when the last VMs ask.
	revokeMargin = 1200 * time.Millisecond
	// defaultBound stands for bounds that are not stated.
	defaultBound = 2 * time.Second
	// HoldTime is how long a standby reads once it has taken over. The VM whose
	// place it took may be alive and unable to reach the store for long.
	HoldTime = 10 * time.Second
	// firstGroup is the number of standbys that take over first.
	firstGroup = 2
)

// IntervalsFor derives the intervals from the bounds within which changes must be in
// force and revoked keys refused, 0 where none is stated, and from the interval
// of heartbeats.
func IntervalsFor(change, revoke, heartbeat time.Duration) Intervals {
	if change <= 0 {
		change = defaultBound
	}
	t := Intervals{Poll: max(time.Duration(float64(change)/pollsPerBound), minPoll), GroupDelay: max(heartbeat, readLatency), Readers: 1}
	t.TakeoverAge = t.Poll + heartbeat + readLatency
	if float64(t.TakeoverAge+propagationTime) > propagationFraction*float64(change) {
		t.Readers = 2
	}
	t.MaxAge = 2 * t.TakeoverAge
	if revoke > 0 {
		t.MaxAge = max(t.TakeoverAge, min(t.MaxAge, revoke-revokeMargin))
	}
	return t
}

// group returns the group of a rank: 0 for the first standbys.
func (t Intervals) group(rank int) int {
	return max(bits.Len(uint(max(rank-t.Readers, 0)/firstGroup+1))-1, 0)
}

// ProbeAge is the age of the last confirmation at which a VM of a rank asks the store.
func (t Intervals) ProbeAge(rank int) time.Duration {
	delay := t.GroupDelay << t.group(rank)
	return min(t.TakeoverAge+delay-t.GroupDelay, t.MaxAge)
}

// TakeoverDelay is how long a VM of a rank that has reached the store waits for a
// confirmation of another VM before it takes over.
func (t Intervals) TakeoverDelay(rank int) time.Duration {
	return time.Duration(t.group(rank)) * t.GroupDelay
}

// View is what a VM knows when it decides. Times are on the clock of package boottime.
type View struct {
	Now time.Duration
	// Confirmed is when the store was last known to hold the configuration in
	// force, at least the start of the VM.
	Confirmed time.Duration
	// Rank is the place of this VM among those of its region.
	Rank int
	// Isolated says that no peer can tell this VM anything.
	Isolated bool
}

// PollInterval returns the time between polls of a VM of a rank. What a standby reads
// takes longer to spread, since the others ask only the readers at each heartbeat.
func (t Intervals) PollInterval(rank int) time.Duration {
	if rank >= t.Readers {
		return t.Poll / 2
	}
	return t.Poll
}

// Core decides for one VM. It is not safe for concurrent use.
type Core struct {
	times Intervals
	// readUntil is the end of the time for which this VM reads after a takeover.
	readUntil time.Duration
	// probed is when this VM last reached the store as a prober, 0 if a takeover
	// is not to be decided.
	probed time.Duration
}

// NewCore returns the decisions of one VM.
func NewCore(t Intervals) *Core { return &Core{times: t} }

// Duty returns what the VM asks of the store now.
func (c *Core) Duty(v View) Duty {
	switch {
	case v.Isolated || v.Rank < c.times.Readers || v.Now < c.readUntil:
		return Read
	case c.takesOver(v):
		c.readUntil, c.probed = v.Now+HoldTime, 0
		return Read
	case v.Now-v.Confirmed > c.times.ProbeAge(v.Rank):
		return Probe
	default:
		return Idle
	}
}

// takesOver reports whether this VM has reached the store while nobody else has
// for the time to settle.
func (c *Core) takesOver(v View) bool {
	if c.probed == 0 {
		return false
	}
	if v.Confirmed > c.probed {
		c.probed = 0 // Another VM has read since.
		return false
	}
	return v.Now-c.probed >= c.times.TakeoverDelay(v.Rank)
}

// ProbeSucceeded notes that the store has answered a probe that began at a time.
func (c *Core) ProbeSucceeded(asked time.Duration) { c.probed = asked }
