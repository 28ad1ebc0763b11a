package peer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// liveness tracks whether a session still delivers messages. Writes to a dead TCP
// connection succeed until the socket buffer is full, so only acknowledgements prove
// delivery.
type liveness struct {
	mu sync.Mutex
	// unacknowledgedSince is the time of the first message sent since the last
	// acknowledgement, or zero if there is none.
	unacknowledgedSince time.Time
	// needsProbe is set if messages were sent since the last heartbeat.
	needsProbe bool
	// lastActivity is when the last message was sent or received.
	lastActivity time.Time
}

// checkResult is the result of a liveness check.
type checkResult int

const (
	checkOK checkResult = iota
	// checkProbe means that a heartbeat must be sent, since other messages were sent
	// after the last one.
	checkProbe
	// checkDead means that no acknowledgement arrived within the limit.
	checkDead
	// checkIdle means that no message was sent or received for idleTimeout.
	checkIdle
)

// sent records a sent message. Acknowledgements require no acknowledgement, or two
// VMs would acknowledge each other's forever.
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

// check returns the state of the session at now. paused is how much longer than
// scheduled the interval since the previous check was. It does not count as time
// without acknowledgement, so that a VM that was paused itself does not declare its
// peers dead.
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
		// Start the timeout now and not when the probe is written, since the writer
		// may be blocked.
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

// Backoff between attempts to dial a peer. backoffMax is short enough that the return
// of a VM is noticed within the suspicion time.
const (
	backoffBase = 50 * time.Millisecond
	backoffMax  = 1500 * time.Millisecond
	// backoffDoublings bounds the exponent.
	backoffDoublings = 5
)

// backoff returns the delay after a number of consecutive failures: exponential, with
// jitter between half of the nominal delay and all of it.
func backoff(failures int) time.Duration {
	d := min(backoffBase<<min(failures, backoffDoublings), backoffMax)
	return d/2 + rand.N(d/2)
}
