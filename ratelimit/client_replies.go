package ratelimit

// receiveReply processes the decision of an owner.
func (c *client) receiveReply(from string, r Reply) {
	c.heard(from)
	sequence := r.Decision.Sequence
	p := c.pending[sequence]
	if p == nil {
		c.receiveAbandoned(from, r)
		return
	}
	if from != p.owner {
		return
	}
	c.observe(p, r)
	if r.Decision.Granted {
		c.receivePermit(p, r)
		return
	}
	c.avoid(p, &r.Decision)
	c.decide(p, r.Decision)
}

// receiveAbandoned gives a permit back that came too late.
func (c *client) receiveAbandoned(from string, r Reply) {
	a, known := c.abandoned[r.Decision.Sequence]
	if !known || a.request.owner != from {
		return
	}
	delete(c.abandoned, r.Decision.Sequence)
	c.observe(a.request, r)
	if r.Decision.Granted {
		c.node.send(from, Message{Return: []uint64{r.Decision.Sequence}})
	}
}

// observe notes the time that the reply to a request took.
func (c *client) observe(p *pending, r Reply) {
	if p.attempt-r.Attempt < attemptTimes {
		c.owner(p.owner).observe(c.node.now, c.node.now-p.sentAt[r.Attempt%attemptTimes]-max(r.Held, 0))
	}
}

// receivePermit uses a permit, or asks again if it came too late.
func (c *client) receivePermit(p *pending, r Reply) {
	if p.attempt-r.Attempt >= attemptTimes {
		return
	}
	lifetime := min(r.Decision.ExpiresIn, PermitLifetime)
	end := p.sentAt[r.Attempt%attemptTimes] + r.Held + lifetime
	r.Decision.ExpiresIn = min(end-c.node.now, lifetime)
	if r.Decision.ExpiresIn > 0 {
		c.decide(p, r.Decision)
	}
}

// receiveQueued notes that requests wait at their owner.
func (c *client) receiveQueued(from string, sequences []uint64) {
	if len(sequences) == 0 {
		return
	}
	c.heard(from)
	for _, sequence := range sequences {
		if p := c.pending[sequence]; p != nil && p.owner == from {
			p.confirmed, p.unansweredSince = true, c.node.now+confirmInterval
		}
	}
}

// receiveUnknown asks again for requests that a VM does not hold.
func (c *client) receiveUnknown(from string, sequences []uint64) {
	for _, sequence := range sequences {
		if p := c.pending[sequence]; p != nil && p.owner == from {
			if p.confirmed {
				p.confirmed, p.unansweredSince, p.repeatAt = false, c.node.now, c.node.now
			}
		}
	}
}

// heard notes that an owner answers.
func (c *client) heard(vm string) {
	if o := c.owners[vm]; o != nil {
		o.silent = false
	}
}
