package dispatch

import "time"

// spareReserve is the part of an engine's memory that stays free beside the
// projected peak when room for a copy is granted. Copies must not take the room
// of runs that are still to come.
const spareReserve = 0.12

// submitSpare grants room for a copy of a run, or returns a *NoBackendError.
// Room of copies is not charged to an organisation, which pays for its runs.
func (f *fair) submitSpare(now time.Time, r Request) error {
	if f.queue.Len() > 0 {
		return &NoBackendError{Model: r.Model}
	}
	e := f.chooseSpare(now, &waitingRequest{Request: r, submitted: now})
	if e == nil {
		return &NoBackendError{Model: r.Model}
	}
	s := f.start(now, r.ID, &r.Ask, e, 0)
	s.spare = true
	f.hold(s.organisation, -s.usage.Current)
	f.spares = append(f.spares, Grant{Request: r.ID, Backend: e.id})
	return nil
}

// chooseSpare returns the engine with the best score among those with plenty of room.
func (f *fair) chooseSpare(now time.Time, r *waitingRequest) *engine {
	f.refreshNext(now)
	f.candidates = f.candidates[:0]
	f.top = f.index.Top(candidatesByRoom+len(r.Excluded), f.top[:0])
	for _, handle := range f.top {
		f.consider(now, r, f.handles[handle], 0)
		last := &f.candidates[len(f.candidates)-1]
		last.Free -= spareReserve
		last.Starting = false // a copy processes no prompt
	}
	return f.chosen(r)
}
