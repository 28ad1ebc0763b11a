package ratelimit

import "time"

// serve grants the permits that are free to waiting requests, by priority and fair share.
func (s *service) serve() {
	for _, b := range s.buckets {
		b.refill(s.node.now)
	}
	for _, l := range s.levels {
		if !s.servable() {
			return
		}
		s.serveLevel(l)
	}
}

// servable reports whether a request may wait for a free permit.
func (s *service) servable() bool {
	inDebt := s.urgentWait > 0 && s.mayOwe()
	for _, b := range s.buckets {
		if b.waiting > 0 && b.allows(s.node.now, inDebt) {
			return true
		}
	}
	return false
}

func (s *service) serveLevel(l *level) {
	for {
		first := l.queue.Peek()
		if first == nil {
			break
		}
		served := false
		for item := first; item != nil && !served; item = item.Next() {
			if b := s.free(item.Value); b != nil {
				s.pop(item.Value)
				s.grant(item.Value, b)
				served = true
			}
		}
		if !served {
			l.queue.Park(first)
		}
	}
	l.queue.Unpark()
}

// expire drops requests that their VMs no longer repeat, and denies those that have waited
// as long as they may or would.
func (s *service) expire() {
	now := s.node.now
	for _, w := range s.ordered() {
		switch {
		case now-w.heardAt > waiterTimeout:
			s.remove(w)
		case now-w.since >= w.request.MaxWait:
			s.remove(w)
			s.deny(w, ReasonTimeout, s.expectedWait(w, w.level.position(w)))
		}
	}
	if now >= s.reviewAt {
		s.reviewAt = now + reviewInterval
		s.review()
	}
}

// review denies the requests that would wait beyond their bound, since more urgent ones or
// those of organisations with fewer requests came, or rates fell.
func (s *service) review() {
	var displaced []*waiter
	for _, l := range s.levels {
		for _, o := range l.organisations {
			displaced = append(displaced, s.reviewOrganisation(l, o)...)
		}
	}
	for _, w := range displaced {
		s.remove(w)
	}
	for _, w := range displaced {
		s.deny(w, ReasonDisplaced, s.expectedWait(w, w.level.position(w)))
	}
}

// reviewOrganisation returns the requests of an organisation that would wait beyond their
// bound if those before them stay.
func (s *service) reviewOrganisation(l *level, o *organisation) []*waiter {
	var displaced []*waiter
	before := map[*bucket]float64{}
	for _, w := range o.waiters {
		own := w.sum(before)
		wait := s.node.now - w.since + s.expectedWait(w, own+l.others(w, own+1))
		if wait > w.bound+displaceTolerance(w.bound) {
			displaced = append(displaced, w)
		} else {
			w.addLoad(before, 1)
		}
	}
	return displaced
}

// displaceTolerance keeps requests from being denied for errors of the expected wait.
func displaceTolerance(bound time.Duration) time.Duration { return bound/10 + 50*time.Millisecond }
