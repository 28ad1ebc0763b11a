package serverstate

import "time"

// maxEndsInPause is the number of calls that end runs which a server gets from this VM during a
// pause. The users' rule allows two requests between the first half second of a pause and its
// end, and no other request is sent in that time.
const maxEndsInPause = 2

// CheckEnd returns nil if a call that ends a run may be sent to a server now, else a
// *PausedError. A server that leaves takes such calls.
func (t *Table) CheckEnd(now time.Duration, s Server) error {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.checkEnd(now, s)
}

// StartEnd must be called right before each call that ends a run is sent. It returns the error of
// CheckEnd if the call must not be sent, and counts it otherwise.
func (t *Table) StartEnd(now time.Duration, s Server) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.checkEnd(now, s); err != nil {
		return err
	}
	for _, e := range t.pausing(now, s) {
		e.ends++
	}
	return nil
}

func (t *Table) checkEnd(now time.Duration, s Server) error {
	for _, e := range t.pausing(now, s) {
		if e.ends >= maxEndsInPause {
			return e.pausedError(e.resumeAt(e.isOtherStart(s.Incarnation)))
		}
	}
	return nil
}

// pausing returns the entries whose pause holds for a server.
func (t *Table) pausing(now time.Duration, s Server) []*entry {
	var pausing []*entry
	for _, e := range t.servers[s.ID] {
		otherStart := e.isOtherStart(s.Incarnation)
		if (otherStart || e.covers(now, s.Incarnation)) && e.holds(now, e.resumeAt(otherStart)) {
			pausing = append(pausing, e)
		}
	}
	return pausing
}
