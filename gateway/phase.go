package gateway

// phase is what a request waits for.
type phase string

const (
	// phaseReading means that the body of the request has not arrived.
	phaseReading phase = "reading"
	// phaseWaiting means that the request was read and is at no backend server.
	phaseWaiting phase = "waiting"
	// phaseSent means that the request was sent to a backend server.
	phaseSent phase = "sent"
	// phaseAnswering means that the answer is written to the caller.
	phaseAnswering phase = "answering"
)

// beginAnswer must be called before the head of the answer is written. While the VM stops,
// the answer closes its connection, also if the request came before.
func (c *call) beginAnswer() {
	c.enterPhase(phaseAnswering)
	if c.g.drain.stopping() {
		c.w.Header().Set("Connection", "close")
	}
}

func (c *call) enterPhase(p phase) { c.phase.Store(p) }

// currentPhase may be called by any goroutine.
func (c *call) currentPhase() phase {
	p, ok := c.phase.Load().(phase)
	if !ok {
		return phaseReading
	}
	return p
}
