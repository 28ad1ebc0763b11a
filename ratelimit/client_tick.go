package ratelimit

import (
	"maps"
	"slices"
	"time"
)

// tick repeats asks and decides requests whose owner does not answer.
func (c *client) tick() {
	c.sweep()
	if len(c.order) == 0 {
		return
	}
	c.order = slices.DeleteFunc(c.order, func(p *pending) bool { return p.done })
	c.checkTable()
	confirmed := map[string][]uint64{}
	for _, p := range c.order {
		if p.done {
			continue
		}
		switch {
		case p.confirmed:
			if c.node.now >= c.owner(p.owner).confirmAt {
				confirmed[p.owner] = append(confirmed[p.owner], p.request.Sequence)
			}
		case c.node.now >= p.repeatAt:
			c.ask(p)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(confirmed)) {
		c.owner(vm).confirmAt = c.node.now + confirmInterval
		c.node.sendSequences(vm, confirmed[vm], func(part []uint64) Message { return Message{Waiting: part} })
	}
	c.decideUnanswered()
}

// decideUnanswered decides the requests that the owner does not answer, the most urgent
// ones first.
func (c *client) decideUnanswered() {
	var unanswered []*pending
	for _, p := range c.order {
		switch {
		case p.done:
		case c.node.now-p.unansweredSince > c.owner(p.owner).timeout():
			c.owner(p.owner).setSilent(c.node.now)
			unanswered = append(unanswered, p)
		case c.node.now-p.since > p.request.MaxWait+2*maxOwnerTimeout:
			c.forsake(p)
			c.decide(p, Decision{Reason: ReasonTimeout, RetryAfter: c.node.spreadTime(time.Second)})
		}
	}
	slices.SortStableFunc(unanswered, func(a, b *pending) int { return a.request.Priority - b.request.Priority })
	for _, p := range unanswered {
		c.useFloor(p, c.node.now-p.since >= p.request.AimWait)
	}
}

// sweep removes what is out of date.
func (c *client) sweep() {
	if c.node.now < c.sweepAt {
		return
	}
	c.sweepAt = c.node.now + time.Second
	for sequence, a := range c.abandoned {
		if c.node.now-a.at > decisionRetention {
			delete(c.abandoned, sequence)
		}
	}
	for k, a := range c.avoids {
		if a.until <= c.node.now {
			delete(c.avoids, k)
		}
	}
	for server := range c.floors {
		if _, limited := c.node.table.Effective(c.node.now, server); !limited {
			delete(c.floors, server)
		}
	}
}

// spreadTime returns a random time between d and 2 d.
func (n *Node) spreadTime(d time.Duration) time.Duration {
	return d + time.Duration(n.rand.Float64()*float64(d))
}
