package ratelimit

import (
	"math"
	"slices"
	"time"
)

// receiveAsk processes a request of a VM, which may be this one.
func (n *Node) receiveAsk(from string, a Ask) {
	n.merge(from, a.Limits[:min(len(a.Limits), maxCandidates)])
	n.markAsked(from, a)
	s := n.service(a.Request.Service)
	if s == nil || len(a.Request.Servers) == 0 || len(a.Request.Servers) > maxCandidates {
		n.send(from, Message{Unknown: []uint64{a.Request.Sequence}})
		return
	}
	s.ask(from, a)
}

func (s *service) ask(from string, a Ask) {
	key := requestKey{from, a.Request.Sequence}
	if w := s.waiters[key]; w != nil {
		w.attempt, w.attemptAt, w.heardAt = max(w.attempt, a.Attempt), s.node.now, s.node.now
		s.node.send(from, Message{Queued: []uint64{key.sequence}})
		return
	}
	if d := s.decided[key]; d != nil && s.node.now-d.at <= PermitLifetime {
		d.attempt, d.attemptAt = max(d.attempt, a.Attempt), s.node.now
		s.reply(d)
		return
	}
	if s.tableSeen != s.node.table.Version() {
		s.updateRates()
	}
	w := s.newWaiter(key, a)
	s.askers.add(s.node.now, key.vm, w.request.Organisation, w.level.priority)
	s.serve()
	s.admit(w)
}

func (s *service) newWaiter(key requestKey, a Ask) *waiter {
	now := s.node.now
	w := &waiter{key: key, request: a.Request, since: now, attempt: a.Attempt, attemptAt: now, heardAt: now}
	w.request.Organisation = s.organisation(a.Request.Organisation)
	w.weight = s.weights[w.request.Organisation]
	w.request.MaxWait = max(w.request.MaxWait, 0)
	w.request.AimWait = min(max(w.request.AimWait, 0), w.request.MaxWait)
	w.level = s.level(a.Request.Priority)
	for _, server := range a.Request.Servers {
		if b := s.bucket(server); !slices.Contains(w.buckets, b) {
			w.buckets = append(w.buckets, b)
		}
	}
	return w
}

// admit grants a request, queues it or denies it. No request with precedence waits for a
// free permit, since serve was called before.
func (s *service) admit(w *waiter) {
	if b := s.free(w); b != nil {
		w.level.queue.Charge(w.request.Organisation, requestCharge)
		s.grant(w, b)
		return
	}
	w.setParts()
	expected := s.expectedWait(w, w.level.position(w))
	switch {
	case w.request.MaxWait == 0:
		s.deny(w, ReasonNoPermit, expected)
	case expected <= w.request.AimWait:
		s.enqueue(w, w.request.AimWait, expected)
	case expected <= w.request.MaxWait && !s.contended(w):
		s.enqueue(w, w.request.MaxWait, expected)
	default:
		s.deny(w, ReasonQueue, expected)
	}
}

// contended reports whether other requests wait for a candidate of the request.
func (s *service) contended(w *waiter) bool {
	return slices.ContainsFunc(w.buckets, func(b *bucket) bool { return b.waiting > 0 })
}

func (s *service) enqueue(w *waiter, bound, expected time.Duration) {
	w.bound = bound
	if !s.push(w) {
		s.deny(w, ReasonFull, expected)
		return
	}
	if s.hasAfter(w) {
		s.reviewAt = s.node.now
	}
	s.node.send(w.key.vm, Message{Queued: []uint64{w.key.sequence}})
}

// hasAfter reports whether requests wait that the given one may displace.
func (s *service) hasAfter(w *waiter) bool {
	return slices.ContainsFunc(s.levels, func(l *level) bool {
		return l.priority > w.level.priority && len(l.organisations) > 0 || l == w.level && len(l.organisations) > 1
	})
}

// free returns the candidate with most free permits, nil if none is free.
func (s *service) free(w *waiter) *bucket {
	var best *bucket
	inDebt := w.request.Urgent && s.mayOwe()
	for _, b := range w.buckets {
		if !b.limited() {
			return b
		}
		if b.allows(s.node.now, inDebt) && (best == nil || b.tokens > best.tokens) {
			best = b
		}
	}
	return best
}

// expectedWait returns the time until a request is served if as many others as given are
// served before it.
func (s *service) expectedWait(w *waiter, ahead float64) time.Duration {
	for _, l := range s.levels {
		if l.priority >= w.level.priority {
			break
		}
		for _, o := range l.organisations {
			ahead += w.sum(o.load)
		}
	}
	rate, tokens, hold := 0.0, 0.0, time.Duration(0)
	for i, b := range w.buckets {
		rate += b.rate
		tokens += b.tokens
		if wait := b.at - s.node.now; i == 0 || wait < hold {
			hold = wait
		}
	}
	notCold := func(b *bucket) bool { return !b.cold }
	if w.request.Urgent && s.mayOwe() && slices.ContainsFunc(w.buckets, notCold) {
		tokens += maxDebt
	}
	if rate == 0 {
		return max(hold, 0)
	}
	return max(hold, 0) + seconds(max(ahead+1-tokens, 0)/rate)
}

// seconds converts a number of seconds to a duration, at most an hour. 0/0 gives 0.
func seconds(s float64) time.Duration {
	if math.IsNaN(s) {
		return 0
	}
	return time.Duration(min(s, 3600) * float64(time.Second))
}

// position returns the number of requests of the same priority that are served before a
// new one.
func (l *level) position(w *waiter) float64 {
	own := 0.0
	if i, found := l.find(w.request.Organisation); found {
		own = w.sum(l.organisations[i].load)
	}
	return own + l.others(w, own+1)
}

// others returns the number of requests of other organisations that are served before the
// k-th of the organisation of a request.
func (l *level) others(w *waiter, k float64) float64 {
	n := 0.0
	for _, o := range l.organisations {
		if o.name != w.request.Organisation {
			n += min(w.sum(o.load), k*o.weight/w.weight)
		}
	}
	return n
}

func (s *service) grant(w *waiter, b *bucket) {
	if b.limited() {
		b.tokens--
	}
	b.granted++
	b.usedAt = s.node.now
	s.decide(w, b, Decision{Granted: true, Server: b.server, ExpiresIn: b.lifetime()})
}

func (s *service) deny(w *waiter, reason Reason, expected time.Duration) {
	d := Decision{Reason: reason, RetryAfter: expected + time.Duration(s.node.rand.Float64()*float64(expected+minRetrySpread))}
	for _, b := range w.buckets {
		d.AskAgain = append(d.AskAgain, Avoid{Server: b.server, For: s.askAgain(w, b, expected)})
	}
	s.decide(w, nil, d)
}

// askAgain returns the time until a VM should ask for a server again: until the request
// would be served or queued, and spread over the VMs that compete.
func (s *service) askAgain(w *waiter, b *bucket, expected time.Duration) time.Duration {
	wait := max(expected-w.request.AimWait, 0)
	if w.request.MaxWait == 0 {
		wait = seconds(b.seconds(s.node.now, 1+float64(b.waiting)))
	}
	spread := seconds(float64(s.askers.count()-1) / max(b.rate, minAskRate))
	return max(wait, minAskAgain) + time.Duration(s.node.rand.Float64()*float64(min(spread, maxAskSpread)))
}

func (s *service) decide(w *waiter, b *bucket, d Decision) {
	d.Sequence, d.Service = w.key.sequence, s.name
	entry := &decided{key: w.key, decision: d, bucket: b, attempt: w.attempt, attemptAt: w.attemptAt, at: s.node.now}
	if len(s.decisions) >= maxDecided {
		s.forgetDecision()
	}
	s.decided[w.key] = entry
	s.decisions = append(s.decisions, entry)
	s.reply(entry)
}

// reply sends a decision. What remains of a permit is counted from the grant.
func (s *service) reply(d *decided) {
	r := Reply{Decision: d.decision, Attempt: d.attempt, Held: d.at - d.attemptAt}
	s.node.send(d.key.vm, Message{Reply: &r})
}
