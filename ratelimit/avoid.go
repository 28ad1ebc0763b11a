package ratelimit

import (
	"time"

	"github.com/vanillaarch/vanillaarch/serverstate"
)

// avoidKey identifies requests that the owner treats alike.
type avoidKey struct {
	server       serverstate.Server
	organisation string
	priority     int
	urgent       bool
}

// avoid is what a denial says about later requests.
type avoid struct {
	owner string
	until time.Duration
	// retryAt is when a request is expected to be served.
	retryAt time.Duration
	// aimWait and maxWait are the longest ones of the denied requests. A request that can
	// wait longer may still be queued.
	aimWait, maxWait time.Duration
	reason           Reason
}

func newAvoidKey(s serverstate.Server, r Request) avoidKey {
	return avoidKey{s, r.Organisation, r.Priority, r.Urgent}
}

// avoid notes the times until which a denied request need not be asked for again.
func (c *client) avoid(p *pending, d *Decision) {
	now := c.node.now
	for _, again := range d.AskAgain[:min(len(d.AskAgain), maxCandidates)] {
		k := newAvoidKey(again.Server, p.request)
		a, known := c.avoids[k]
		if !known && len(c.avoids) >= maxAvoids {
			return
		}
		if a.until <= now {
			a = avoid{}
		}
		a.owner, a.reason = p.owner, d.Reason
		a.until, a.retryAt = now+again.For, now+d.RetryAfter
		a.aimWait, a.maxWait = max(a.aimWait, p.request.AimWait), max(a.maxWait, p.request.MaxWait)
		c.avoids[k] = a
	}
}

// avoided returns the denial of a request whose candidates all are to be avoided.
func (c *client) avoided(r Request) (Decision, bool) {
	now := c.node.now
	d := Decision{Reason: ReasonNoPermit}
	retry := time.Duration(-1)
	owner := c.node.owner(r.Service)
	for _, s := range r.Servers {
		a := c.avoids[newAvoidKey(s, r)]
		if a.until <= now || a.owner != owner || r.AimWait > a.aimWait || r.MaxWait > a.maxWait {
			return Decision{}, false
		}
		d.Reason = a.reason
		d.AskAgain = append(d.AskAgain, Avoid{Server: s, For: a.until - now})
		if in := max(a.retryAt, a.until) - now; retry < 0 || in < retry {
			retry = in
		}
	}
	if len(r.Servers) == 0 {
		return Decision{}, false
	}
	d.RetryAfter = retry + time.Duration(c.node.rand.Float64()*float64(retry/2+minRetrySpread))
	return d, true
}

// limitsChanged forgets what denials said about servers whose limit has changed, and
// decides the requests that need no permit any more.
func (c *client) limitsChanged(changed []Limit) {
	for _, l := range changed {
		for k := range c.avoids {
			if k.server == l.Server {
				delete(c.avoids, k)
			}
		}
	}
	c.checkTable()
}

// checkTable decides the requests that need no permit any more.
func (c *client) checkTable() {
	version := c.node.table.Version()
	if c.tableSeen == version {
		return
	}
	c.tableSeen = version
	for _, p := range c.order {
		if !p.done {
			c.decideUnlimited(p)
		}
	}
}
