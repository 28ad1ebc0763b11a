package peer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// liveness tells whether a session still delivers. Writes on a dead TCP path
// succeed until the socket buffer is full, so only acknowledgements count.
type liveness struct {
	mu sync.Mutex
	// unacknowledgedSince is the time of the oldest message since the last
	// acknowledgement, or zero.
	unacknowledgedSince time.Time
	// needsProbe says that messages were sent since the last heartbeat.
	needsProbe bool
	// lastActivity is the time of the last message in either direction.
	lastActivity time.Time
}

// checkResult is what a session needs at a check.
type checkResult int

const (
	checkOK checkResult = iota
	// checkProbe asks for a heartbeat, since messages were sent without one.
	checkProbe
	// checkDead means that nothing was acknowledged for too long.
	checkDead
	// checkIdle means that nobody uses the session.
	checkIdle
)

// sent notes a message. Acknowledgements need no proof, or two VMs would
// acknowledge each other's without end.
func (p *liveness) sent(now time.Time, m *peerpb.Membership) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastActivity = now
	if m.GetHeartbeatAck() != nil {
		return
	}
	p.needsProbe = m.GetHeartbeat() == nil
	if p.unacknowledgedSince.IsZero() {
		p.unacknowledgedSince = now
	}
}

func (p *liveness) received(now time.Time, ack bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastActivity = now
	if ack {
		p.unacknowledgedSince = time.Time{}
	}
}

// check decides at a time. paused is how much longer than planned the checks
// were apart: a VM that was paused itself must not blame its peers.
func (p *liveness) check(now time.Time, limit, paused time.Duration) checkResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.unacknowledgedSince.IsZero() {
		p.unacknowledgedSince = p.unacknowledgedSince.Add(paused)
	}
	switch {
	case !p.unacknowledgedSince.IsZero() && now.Sub(p.unacknowledgedSince) > limit:
		return checkDead
	case p.needsProbe:
		// The wait starts here and not when the probe is written, since the
		// writer may be blocked.
		p.needsProbe = false
		if p.unacknowledgedSince.IsZero() {
			p.unacknowledgedSince = now
		}
		return checkProbe
	case now.Sub(p.lastActivity) > idleTimeout:
		return checkIdle
	default:
		return checkOK
	}
}

// Waits between attempts to reach a peer. The longest one keeps the return of
// a VM visible within the suspicion time.
const (
	backoffBase = 50 * time.Millisecond
	backoffMax  = 1500 * time.Millisecond
	// backoffDoublings bounds the shift.
	backoffDoublings = 5
)

// backoff returns the wait after a number of failed attempts in a row, between
// half of the nominal wait and all of it.
func backoff(failures int) time.Duration {
	d := min(backoffBase<<min(failures, backoffDoublings), backoffMax)
	return d/2 + rand.N(d/2)
}
