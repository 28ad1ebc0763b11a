package replay

import (
	"time"

	"github.com/vanillaarch/vanillaarch/internal/enginemodel"
)

// scheduleFault schedules the effects of a fault.
func (r *run) scheduleFault(f Fault) {
	e := r.byID[f.Engine]
	at := epoch.Add(time.Duration(f.AtMicros) * time.Microsecond)
	duration := time.Duration(f.DurationMS) * time.Millisecond
	switch f.Kind {
	case FaultReclaim:
		if f.NoticeMS > 0 {
			r.scheduleAt(at.Add(-time.Duration(f.NoticeMS)*time.Millisecond), func() {
				e.leaving = true
				r.scheduleAfter(r.opts.VMListDelay, r.updateBackends)
			})
		}
		r.scheduleAt(at, func() { r.reclaim(e) })
		if duration > 0 {
			r.scheduleAt(at.Add(duration), func() {
				r.startEngine(e)
				r.scheduleAfter(r.opts.VMListDelay, r.updateBackends)
			})
		}
	case FaultStall:
		r.scheduleAt(at, func() { r.stallStreams(e, duration) })
	}
}

// reclaim terminates an engine and breaks its streams immediately.
func (r *run) reclaim(e *engine) {
	e.alive = false
	r.scheduleAfter(r.opts.VMListDelay, r.updateBackends)
	for _, q := range r.connectedTo(e) {
		r.closeConnection(q.connection)
		r.handleStreamLoss(q, outcomeFailed)
	}
}

// stallStreams stops delivery on the open connections of an engine.
func (r *run) stallStreams(e *engine, duration time.Duration) {
	for _, q := range r.connectedTo(e) {
		c := q.connection
		c.stalled = true
		if duration == 0 {
			continue
		}
		r.scheduleAfter(duration, func() {
			if q.connection != c || !e.alive {
				return
			}
			c.stalled = false
			if state, err := e.model.Attach(r.now, c.generation); err == nil {
				e.model.Detach(r.now, c.generation)
				r.catchUp(c, state)
			}
		})
	}
}

// connectedTo returns the requests with a connection to an engine, in order of arrival.
func (r *run) connectedTo(e *engine) []*request {
	var list []*request
	for _, q := range r.active() {
		if q.connection != nil && q.connection.engine == e {
			list = append(list, q)
		}
	}
	return list
}

// catchUp delivers the tokens that a generation produced while its reader received none.
func (r *run) catchUp(c *connection, state enginemodel.State) {
	for offset := c.request.offset + 1; offset <= state.Produced; offset++ {
		r.token(c, enginemodel.Event{
			Kind: enginemodel.KindToken, At: r.now, ID: c.generation, Offset: offset,
			Last: state.Finished && offset == state.Produced,
		})
	}
}
