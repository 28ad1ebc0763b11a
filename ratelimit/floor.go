package ratelimit

import (
	"time"

	"github.com/vanillaarch/vanillaarch/serverstate"
)

// floor is the part of a rate that this VM uses while the owner does not answer.
type floor struct {
	// interval is the time between permits, next when the next one is free.
	interval, next time.Duration
}

// floor returns the floor of a limited server for an outage that began at a time. All VMs
// may lose their owner at the same time, so that a permit that was free before is free
// again after a random part of the interval.
//
// A cold server may be one to which no VM has sent for a long time, so that all VMs have a free
// permit. It therefore starts with none, and a free one lapses after coldPermitLifetime.
func (c *client) floor(server serverstate.Server, e Effective, since time.Duration) *floor {
	listed := max(c.node.view.Listed, 1)
	if e.Cold {
		listed, since = c.node.listedPeak(), max(since, e.ColdSince)
	}
	interval := seconds(float64(listed) / (floorRatio * e.Rate.effective()))
	f := c.floors[server]
	if f == nil {
		f = &floor{interval: interval}
		c.floors[server] = f
	}
	if f.interval != interval {
		f.next = c.node.now + time.Duration(float64(f.next-c.node.now)*float64(interval)/float64(f.interval))
		f.interval = interval
	}
	if f.next <= since {
		f.next = since + 1 + time.Duration(c.node.rand.Float64()*float64(interval))
	}
	if lapsed := c.node.now - coldPermitLifetime - f.next; e.Cold && lapsed > 0 {
		f.next += (lapsed/interval + 1) * interval
	}
	return f
}

// useFloor grants a request without the owner if the part of this VM allows it. Else it is
// denied if it is due.
func (c *client) useFloor(p *pending, due bool) {
	d := Decision{Floor: true, Reason: ReasonOwner, RetryAfter: c.node.spreadTime(retryWithoutOwner)}
	since := c.owner(p.owner).outageSince()
	for _, s := range p.request.Servers {
		e, limited := c.node.table.Effective(c.node.now, s)
		if !limited {
			d = Decision{Granted: true, Server: s, ExpiresIn: PermitLifetime}
			break
		}
		if f := c.floor(s, e, since); f.next <= c.node.now {
			f.next = c.node.now + f.interval
			d = Decision{Granted: true, Server: s, ExpiresIn: e.lifetime(), Floor: true}
			break
		}
		d.AskAgain = append(d.AskAgain, Avoid{Server: s, For: ownerTimeout})
	}
	if d.Granted || due {
		if p.attempt > 0 {
			c.forsake(p)
		}
		c.decide(p, d)
	}
}

// returnFloor gives back a permit that was taken without the owner.
func (c *client) returnFloor(server serverstate.Server) {
	if f := c.floors[server]; f != nil {
		f.next = c.node.now
	}
}
