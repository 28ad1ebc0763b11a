package ratelimit

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// attemptTimes is the number of attempts of which the times are kept.
const attemptTimes = 8

// pending is a request of this VM without a decision.
type pending struct {
	request Request
	since   time.Duration
	// owner is the VM that was asked. sentAt holds the times of the last attempts.
	owner   string
	attempt uint32
	sentAt  [attemptTimes]time.Duration
	// confirmed is set if the owner has answered the last ask.
	confirmed bool
	// unansweredSince is when the first ask was sent that the owner has not answered.
	unansweredSince time.Duration
	repeatAt        time.Duration
	done            bool
}

// ownerState is what this VM knows of an owner.
type ownerState struct {
	// silent is set if an ask was not answered in time, until the owner is heard.
	silent      bool
	silentSince time.Duration
	// probeAt is when the next request that cannot wait asks a silent owner.
	probeAt   time.Duration
	confirmAt time.Duration
	// roundTrip is about the longest time that an answer took lately.
	roundTrip time.Duration
	// uselessUntil is the time until which, from uselessSince on, the owner is not asked, since its permits come after
	// their lifetime.
	uselessSince, uselessUntil time.Duration
	// coldUselessUntil is the same for cold servers, whose permits have a shorter lifetime.
	coldUselessSince, coldUselessUntil time.Duration
}

// timeout returns the time without an answer after which this VM does without the owner.
func (o *ownerState) timeout() time.Duration {
	return min(max(ownerTimeout, o.roundTrip+o.roundTrip/2), maxOwnerTimeout)
}

// observe notes the time that an answer took.
func (o *ownerState) observe(now, d time.Duration) {
	o.roundTrip = max(d, o.roundTrip-o.roundTrip/8)
	if d >= coldPermitLifetime && now >= o.coldUselessUntil {
		o.coldUselessSince = now
	}
	if d >= coldPermitLifetime {
		o.coldUselessUntil = now + uselessTime
	}
	if d < PermitLifetime {
		return
	}
	if now >= o.uselessUntil {
		o.uselessSince = now
	}
	o.uselessUntil = now + uselessTime
}

// setSilent notes that an ask was not answered in time.
func (o *ownerState) setSilent(now time.Duration) {
	if !o.silent {
		o.silent, o.silentSince = true, now
	}
}

// outageSince returns the time since which this VM does without the owner.
func (o *ownerState) outageSince() time.Duration {
	if o.silent {
		return o.silentSince
	}
	if o.uselessUntil == 0 {
		return o.coldUselessSince
	}
	return o.uselessSince
}

// abandoned is a request that ended before the owner decided it.
type abandoned struct {
	request *pending
	at      time.Duration
}

// client asks for permits on behalf of this VM.
type client struct {
	node    *Node
	pending map[uint64]*pending
	// order holds the pending requests in the order of their arrival.
	order []*pending
	// abandoned holds requests that no longer wait. A permit that comes for one of them is
	// given back.
	abandoned map[uint64]abandoned
	avoids    map[avoidKey]avoid
	owners    map[string]*ownerState
	floors    map[serverKey]*floor

	granted, denied, floored uint64
	sweepAt                  time.Duration
	// tableSeen is the version of the table for which pending requests were checked.
	tableSeen uint64
}

func (c *client) owner(vm string) *ownerState {
	o := c.owners[vm]
	if o == nil {
		o = &ownerState{}
		c.owners[vm] = o
	}
	return o
}

// request decides a request at once or asks the owner.
func (c *client) request(r Request) {
	r.Servers = slices.Clone(r.Servers[:min(len(r.Servers), maxCandidates)])
	r.AimWait = min(r.AimWait, r.MaxWait)
	p := &pending{request: r, since: c.node.now, unansweredSince: c.node.now, owner: c.node.owner(r.Service)}
	if len(r.Servers) == 0 {
		c.decide(p, Decision{Reason: ReasonNoPermit})
		return
	}
	if c.decideUnlimited(p) {
		return
	}
	if d, denied := c.avoided(r); denied {
		c.decide(p, d)
		return
	}
	if len(c.pending) >= maxPending {
		c.decide(p, Decision{Reason: ReasonFull, RetryAfter: c.node.spreadTime(time.Second)})
		return
	}
	o := c.owner(p.owner)
	if c.node.now < o.uselessUntil || c.node.now < o.coldUselessUntil && c.anyCold(r.Servers) {
		c.useFloor(p, true)
		return
	}
	if o.silent && r.MaxWait <= 0 {
		c.probe(p)
		c.useFloor(p, true)
		return
	}
	c.pending[r.Sequence] = p
	c.order = append(c.order, p)
	c.ask(p)
}

// unlimited returns a candidate that needs no permit.
func (c *client) unlimited(servers []serverstate.Server) (serverstate.Server, bool) {
	for _, s := range servers {
		if _, limited := c.node.table.Effective(c.node.now, s); !limited {
			return s, true
		}
	}
	return serverstate.Server{}, false
}

// anyCold reports whether a candidate is cold.
func (c *client) anyCold(servers []serverstate.Server) bool {
	return slices.ContainsFunc(servers, func(s serverstate.Server) bool {
		e, _ := c.node.table.Effective(c.node.now, s)
		return e.Cold
	})
}

// decideUnlimited grants a request if a candidate needs no permit.
func (c *client) decideUnlimited(p *pending) bool {
	s, found := c.unlimited(p.request.Servers)
	if found {
		if p.attempt > 0 {
			c.forsake(p)
		}
		c.decide(p, Decision{Granted: true, Server: s, ExpiresIn: PermitLifetime})
	}
	return found
}

// probe asks a silent owner now and then for a request that does not wait for its answer.
func (c *client) probe(p *pending) {
	if o := c.owner(p.owner); c.node.now >= o.probeAt {
		o.probeAt = c.node.now + askInterval
		c.ask(p)
	}
}

// ask sends a request to the owner of its service.
func (c *client) ask(p *pending) {
	now := c.node.now
	p.attempt++
	p.sentAt[p.attempt%attemptTimes] = now
	p.confirmed = false
	p.repeatAt = now + askInterval
	a := &Ask{Request: p.request, Attempt: p.attempt}
	for _, s := range p.request.Servers {
		if l, known := c.node.table.Record(s); known {
			a.Limits = append(a.Limits, l)
		}
	}
	c.node.send(p.owner, Message{Ask: a})
}

// ownersChanged asks the present owners for the pending requests.
func (c *client) ownersChanged() {
	withdrawn := map[string][]uint64{}
	for _, p := range c.order {
		owner := c.node.owner(p.request.Service)
		if p.done || owner == p.owner {
			continue
		}
		withdrawn[p.owner] = append(withdrawn[p.owner], p.request.Sequence)
		p.owner, p.unansweredSince = owner, c.node.now
		c.ask(p)
	}
	for _, vm := range slices.Sorted(maps.Keys(withdrawn)) {
		c.node.sendSequences(vm, withdrawn[vm], func(part []uint64) Message { return Message{Withdraw: part} })
	}
	for vm := range c.owners {
		if !slices.ContainsFunc(c.node.view.EntryVMs, func(member vmlist.VM) bool { return member.ID == vm }) {
			delete(c.owners, vm)
		}
	}
}

// decide gives the decision to the caller.
func (c *client) decide(p *pending, d Decision) {
	d.Sequence, d.Service = p.request.Sequence, p.request.Service
	if p.done {
		return
	}
	p.done = true
	delete(c.pending, d.Sequence)
	switch {
	case d.Granted:
		c.granted++
	default:
		c.denied++
	}
	if d.Floor && d.Granted {
		c.floored++
	}
	c.node.effects.Decisions = append(c.node.effects.Decisions, d)
}

// abandon ends a pending request whose decision the owner need not send any more.
func (c *client) abandon(p *pending) {
	p.done = true
	delete(c.pending, p.request.Sequence)
	c.forsake(p)
}

// forsake tells the owner that a request does not wait any more.
func (c *client) forsake(p *pending) {
	if len(c.abandoned) < maxDecided {
		c.abandoned[p.request.Sequence] = abandoned{p, c.node.now}
	}
	c.node.send(p.owner, Message{Withdraw: []uint64{p.request.Sequence}})
}
