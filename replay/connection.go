package replay

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/internal/enginemodel"
)

// connection is a frontend's connection to a generation.
type connection struct {
	request    *request
	engine     *engine
	generation string
	stalled    bool
	// lastData is the time of the latest token, or of the connection's opening.
	lastData time.Time
	// firstDataTimeout bounds the wait for the first data.
	firstDataTimeout time.Duration
	received         bool
	// idleTimerSequence identifies the valid idle timer event; older ones are ignored.
	idleTimerSequence int
}

func (r *run) connect(q *request, e *engine, generation string, firstDataTimeout time.Duration) *connection {
	c := &connection{request: q, engine: e, generation: generation, lastData: r.now, firstDataTimeout: firstDataTimeout}
	q.connection = c
	r.connections[generation] = c
	r.armIdleTimer(c)
	return c
}

// armIdleTimer schedules the resume of a connection that delivers no data within
// its timeout. Only the newest event of a connection is valid; it re-arms itself
// if data has arrived in the meantime.
func (r *run) armIdleTimer(c *connection) {
	limit := c.firstDataTimeout
	if c.received {
		limit = r.idleLimit(c.request)
	}
	c.idleTimerSequence++
	sequence := c.idleTimerSequence
	r.scheduleAt(c.lastData.Add(limit), func() {
		switch {
		case c.request.connection != c || c.idleTimerSequence != sequence:
		case c.received && c.lastData.Add(r.idleLimit(c.request)).After(r.now):
			r.armIdleTimer(c)
		default:
			r.resume(c)
		}
	})
}

// gapTracker returns the tracker of the token gaps that the request's frontend has
// observed for its engine.
func (r *run) gapTracker(q *request) *backend.GapTracker {
	table, ok := r.gapTables[q.vm]
	if !ok {
		table = &backend.GapTable{}
		r.gapTables[q.vm] = table
	}
	return table.GetOrCreate(r.now, q.engine.id)
}

// idleLimit returns the time without a token after which a stream is resumed. Each
// resume that yields no token doubles it, up to StreamIdleTimeout.
func (r *run) idleLimit(q *request) time.Duration {
	if q.offset == 0 {
		return r.opts.StreamIdleTimeout
	}
	return backend.Backoff(r.gapTracker(q).IdleTimeout(r.now, r.opts.StreamIdleTimeout), q.resumes, r.opts.StreamIdleTimeout)
}

// canResume limits resumes by number before the first token, and by the time since
// the latest token after it.
func (r *run) canResume(q *request) bool {
	if q.offset == 0 {
		return q.resumes < maxResumes
	}
	return r.now.Sub(q.lastToken) < (maxResumes+1)*r.opts.StreamIdleTimeout
}

// resume continues an idle stream over a new connection.
func (r *run) resume(c *connection) {
	q, e := c.request, c.engine
	r.closeConnection(c)
	if !r.canResume(q) {
		r.handleStreamLoss(q, outcomeFailed)
		return
	}
	q.resumes++
	r.meter.resumed(q)
	state, err := e.model.Attach(r.now, c.generation)
	if _, unknown := errors.Into[*enginemodel.UnknownGenerationError](err); unknown {
		r.handleStreamLoss(q, outcomeFailed)
		return
	}
	next := r.connect(q, e, c.generation, r.idleLimit(q))
	r.catchUp(next, state)
}

func (r *run) closeConnection(c *connection) {
	if c.request.connection != c {
		return
	}
	c.request.connection = nil
	delete(r.connections, c.generation)
	if c.engine.alive {
		c.engine.model.Detach(r.now, c.generation)
	}
}

// token delivers a token to the caller.
func (r *run) token(c *connection, ev enginemodel.Event) {
	q := c.request
	if q.done || q.connection != c {
		return
	}
	at := ev.At.Add(2 * r.networkDelay)
	r.meter.token(q, at)
	if q.offset > 0 {
		r.gapTracker(q).Observe(r.now, r.now.Sub(q.lastToken))
	}
	q.lastToken = r.now
	c.lastData = r.now
	if !c.received {
		c.received = true
		r.armIdleTimer(c)
	}
	q.offset, q.lastData, q.resumes = ev.Offset, at, 0
	if ev.Preempted {
		r.policy.Preempted(r.now, q.id)
		r.dirty = true
	}
	if ev.Last {
		r.closeConnection(c)
		r.release(q)
		r.complete(q, outcomeComplete)
		return
	}
	if q.offset%progressInterval == 0 {
		r.policy.Progress(r.now, q.id, q.offset)
		r.dirty = true
	}
}

// handleStreamLoss handles the loss of a generation: it restarts the request if the
// caller has no token and attempts are left, and ends it otherwise.
func (r *run) handleStreamLoss(q *request, result requestOutcome) {
	r.release(q)
	if q.offset == 0 && q.engine != nil && q.engine.alive {
		q.engine.model.Cancel(r.now, q.generation)
	}
	q.engine = nil
	if q.offset > 0 || q.attempts >= maxAttempts {
		r.complete(q, result)
		return
	}
	if !slices.Contains(q.admission.Excluded, q.backend) {
		q.admission.Excluded = append(q.admission.Excluded, q.backend)
	}
	r.meter.restarted(q)
	r.submit(q)
}
