package ratelimit

// returned takes a permit back that was not used.
func (s *service) returned(key requestKey) {
	d := s.decided[key]
	if d == nil || d.bucket == nil {
		return
	}
	b := d.bucket
	if late := s.node.now-d.at > PermitLifetime; late {
		if b.lateReturnAt != 0 && s.node.now-b.lateReturnAt < lateReturnInterval {
			return
		}
		b.lateReturnAt = s.node.now
	}
	d.bucket = nil
	d.decision = Decision{Sequence: key.sequence, Service: s.name, Reason: ReasonTimeout}
	b.refill(s.node.now)
	b.granted--
	if b.limited() && b.at <= s.node.now {
		b.tokens = min(b.tokens+1, b.capacity())
		s.serve()
	}
}

func (s *service) forgetDecisions() {
	for len(s.decisions) > 0 && s.node.now-s.decisions[0].at > decisionRetention {
		s.forgetDecision()
	}
}

func (s *service) forgetDecision() {
	d := s.decisions[0]
	s.decisions = s.decisions[1:]
	if s.decided[d.key] == d {
		delete(s.decided, d.key)
	}
}

// receiveReturned takes back permits that a VM does not use.
func (n *Node) receiveReturned(from string, sequences []uint64) {
	for _, sequence := range sequences {
		for _, s := range n.services {
			s.returned(requestKey{from, sequence})
		}
	}
}

// receiveWithdrawn removes requests whose callers have left.
func (n *Node) receiveWithdrawn(from string, sequences []uint64) {
	for _, sequence := range sequences {
		key := requestKey{from, sequence}
		for _, s := range n.services {
			if w := s.waiters[key]; w != nil {
				s.remove(w)
			}
			s.returned(key)
		}
	}
}

// receiveWaiting answers the repeated asks of a VM.
func (n *Node) receiveWaiting(from string, sequences []uint64) {
	if len(sequences) == 0 {
		return
	}
	var queued, unknown []uint64
	for _, sequence := range sequences {
		switch n.repeat(requestKey{from, sequence}) {
		case repeatWaits:
			queued = append(queued, sequence)
		case repeatUnknown:
			unknown = append(unknown, sequence)
		}
	}
	if len(queued) > 0 {
		n.send(from, Message{Queued: queued})
	}
	if len(unknown) > 0 {
		n.send(from, Message{Unknown: unknown})
	}
}

type repeatState int

const (
	repeatUnknown repeatState = iota
	repeatWaits
	repeatDecided
)

// repeat processes the repeated ask of a request.
func (n *Node) repeat(key requestKey) repeatState {
	for _, s := range n.services {
		if w := s.waiters[key]; w != nil {
			w.heardAt = n.now
			return repeatWaits
		}
		if d := s.decided[key]; d != nil && n.now-d.at <= PermitLifetime {
			s.reply(d)
			return repeatDecided
		}
	}
	return repeatUnknown
}
