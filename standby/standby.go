// Package standby decides which VMs of a region send requests to the platform's
// store, and which requests. Normally one VM, the reader, reads for the region
// and distributes confirmations of the configuration. Standbys take over when the
// last confirmation is too old. They do so in groups of doubling size, so that
// the VMs do not all call the store at once if the reader or the store fails.
package standby

import (
	"math/bits"
	"time"
)

// Duty says which requests a VM sends to the store.
type Duty int

const (
	// Idle VMs send none and receive the configuration from peers.
	Idle Duty = iota
	// Probe means to check that the store answers, by reading the configuration.
	Probe
	// Read means to poll, list and watch on behalf of the region.
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

// Intervals holds the timing parameters of a deployment.
type Intervals struct {
	// Poll is the interval at which a reader reads the configuration.
	Poll time.Duration
	// TakeoverAge is the age of the last confirmation at which the first standbys
	// probe the store.
	TakeoverAge time.Duration
	// GroupDelay is the delay between the first two groups of standbys. It doubles
	// for each further group. A VM that has reached the store also waits for
	// confirmations of other VMs, one GroupDelay longer in each further group.
	GroupDelay time.Duration
	// MaxAge is the age of the last confirmation at which every VM probes the store.
	MaxAge time.Duration
	// Readers is the number of VMs of a region that read concurrently.
	Readers int
}

const (
	// pollsPerBound is the number of polls within the time limit for a change.
	pollsPerBound = 2.5
	// minPoll limits the call rate of a reader if the configured limit is very
	// short.
	minPoll = 200 * time.Millisecond
	// propagationTime is the time in which a list reaches all VMs of a region.
	propagationTime = 500 * time.Millisecond
	// readLatency is the time of a read of the store, including the wake-up delay of
	// the reading VM.
	readLatency = 250 * time.Millisecond
	// propagationFraction is the fraction of the limit for a change within which a
	// standby must have distributed it. If it cannot, two VMs read concurrently.
	propagationFraction = 0.9
	// revokeMargin is the time between the probes of the last VMs and the limit for
	// a revocation.
	revokeMargin = 1200 * time.Millisecond
	// defaultBound is the limit for a change if none is configured.
	defaultBound = 2 * time.Second
	// HoldTime is how long a standby reads after a takeover. The VM that it
	// replaced may stay alive but unable to reach the store.
	HoldTime = 10 * time.Second
	// firstGroup is the size of the first group of standbys.
	firstGroup = 2
)

// IntervalsFor derives the intervals from the time limits within which changes
// must take effect and revoked keys must be rejected, 0 if not configured, and
// from the heartbeat interval.
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

// group returns the group of a rank, 0 for the first group of standbys.
func (t Intervals) group(rank int) int {
	return max(bits.Len(uint(max(rank-t.Readers, 0)/firstGroup+1))-1, 0)
}

// ProbeAge returns the age of the last confirmation at which a VM of the given
// rank probes the store.
func (t Intervals) ProbeAge(rank int) time.Duration {
	delay := t.GroupDelay << t.group(rank)
	return min(t.TakeoverAge+delay-t.GroupDelay, t.MaxAge)
}

// TakeoverDelay returns how long a VM of the given rank waits, after it has reached
// the store, for a confirmation of another VM before it takes over.
func (t Intervals) TakeoverDelay(rank int) time.Duration {
	return time.Duration(t.group(rank)) * t.GroupDelay
}

// View is the input of a decision. Times are of the clock of package boottime.
type View struct {
	Now time.Duration
	// Confirmed is when the configuration in force was last known to match the
	// store. It is not before the start of the VM.
	Confirmed time.Duration
	// Rank is the position of this VM in the order of the VMs of its region.
	Rank int
	// Isolated reports whether the VM can receive nothing from any peer.
	Isolated bool
}

// PollInterval returns the time between polls of a VM of the given rank. Standbys
// poll twice as often, since what they read propagates more slowly: other VMs
// query only the readers at each heartbeat.
func (t Intervals) PollInterval(rank int) time.Duration {
	if rank >= t.Readers {
		return t.Poll / 2
	}
	return t.Poll
}

// DutySelector decides the duty of one VM. It is not safe for concurrent use.
type DutySelector struct {
	intervals Intervals
	// readUntil is until when this VM reads after a takeover.
	readUntil time.Duration
	// probed is when the last successful probe of this VM began, 0 if no takeover
	// is pending.
	probed time.Duration
}

// NewDutySelector returns a DutySelector for one VM.
func NewDutySelector(t Intervals) *DutySelector { return &DutySelector{intervals: t} }

// Duty returns the current duty of the VM.
func (s *DutySelector) Duty(v View) Duty {
	switch {
	case v.Isolated || v.Rank < s.intervals.Readers || v.Now < s.readUntil:
		return Read
	case s.takesOver(v):
		s.readUntil, s.probed = v.Now+HoldTime, 0
		return Read
	case v.Now-v.Confirmed > s.intervals.ProbeAge(v.Rank):
		return Probe
	default:
		return Idle
	}
}

// takesOver reports whether this VM has reached the store and received no
// confirmation of another VM during its takeover delay.
func (s *DutySelector) takesOver(v View) bool {
	if s.probed == 0 {
		return false
	}
	if v.Confirmed > s.probed {
		s.probed = 0 // Another VM has read the store since.
		return false
	}
	return v.Now-s.probed >= s.intervals.TakeoverDelay(v.Rank)
}

// ProbeSucceeded records that the store has answered a probe, and when the probe
// began.
func (s *DutySelector) ProbeSucceeded(began time.Duration) { s.probed = began }
