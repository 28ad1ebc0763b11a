package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/listen"
	"github.com/vanillaarch/vanillaarch/internal/recovery"
	"github.com/vanillaarch/vanillaarch/membudget"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/ratelimit/permit"
	"github.com/vanillaarch/vanillaarch/requestbody"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// call is the state of one request.
type call struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	log   *zap.Logger
	info  edge.RequestInfo
	snap  *control.Snapshot
	route *route.Route
	// service is the route's target that was selected for the request.
	service      *route.Service
	organisation *route.Organisation
	// regions are the home regions of the request. outsideRegions is set if it was refused
	// since no server is in one.
	regions        route.HomeRegions
	outsideRegions bool
	body           []byte
	// identity is what the quarantine knows the request by.
	identity *quarantine.Request
	// memory accounts for the memory of body, nil before the request is read.
	memory *requestbody.Request
	// bodyLate is set before a time limit of the VM ends a read from the caller, or once it has:
	// the context of the request then ends although the caller is there.
	bodyLate atomic.Bool
	// answers accounts for what is held of the answer of each attempt.
	answers []*membudget.Reservation
	// arrived and deadline are on the clock of package boottime. deadline is the
	// earlier of the caller's and the route's deadline.
	arrived, deadline time.Duration
	// sends counts the attempts that may have reached their backend server.
	sends int
	// addresses holds the addresses to which attempts were made.
	addresses []string
	// mayHaveRun is set if a backend server may have executed the request.
	mayHaveRun bool
	// permit allows the next attempt if its server limits the rate of requests. denied is the
	// latest refusal of one.
	permit permit.Permit
	denied *permit.DeniedError
	// refusedWaiting is the *quarantine.RefusedError or *outstanding.ExceededError that ended
	// the latest wait for a plain server, nil if none did.
	refusedWaiting error
	// hedged is set if the request was sent to a second server before the first had answered,
	// hedgeWon if that was answered first.
	hedged, hedgeWon bool
	// past is the latest attempt that has ended, nil before the first one has.
	past *pastAttempt
	// lastServer is the backend server that last had the request.
	lastServer vmlist.VM
	// run is the stream of the request, nil if its answer is none.
	run *stream
	// caller records when the caller disconnects.
	caller *callerWatch
	// delivered is set once the whole answer of a request without events is written.
	delivered atomic.Bool
	// writeErr is the error of writing the answer to the caller.
	writeErr error
	// ended is who ended a request that has no whole answer, "" for any other.
	ended endedBy
	// phase holds a phase.
	phase  atomic.Value
	status int
	events int
	// queued is the time spent waiting for an engine, firstEvent the time to the
	// first event, longestPause the longest interval between two events.
	queued, firstEvent, longestPause time.Duration
}

// closeWithoutEnd ends the handler, after which http.Server closes the connection without the
// end of the answer. In HTTP/1.0 an answer without a length ends with its connection, so the
// connection is reset.
func (c *call) closeWithoutEnd() {
	if !c.r.ProtoAtLeast(1, 1) {
		if err := listen.ResetOnClose(c.r.Context()); err != nil {
			c.log.Debug("connection_not_reset", telemetry.Error(err))
		}
	}
	panic(http.ErrAbortHandler)
}

// decode reads the metadata of the request.
func (c *call) decode() error {
	c.info = c.g.Edge.DecodeRequest(c.r.Header)
	c.log = c.g.Log.With(zap.String("request", c.info.ID))
	return nil
}

// recovered logs a panic and returns the error that ends the request. An answer that has begun
// is cut.
func (c *call) recovered(panicked *recovery.PanicError) error {
	c.log.Error("request_panicked", telemetry.Error(panicked), zap.ByteString("stack", panicked.Stack))
	if c.status != 0 {
		c.ended = endedByVM
		if c.run != nil {
			c.run.cut(cutPanicked, panicked)
		}
		return errAborted
	}
	c.discardBody() // Has no effect if the body was read.
	return panicked
}

// reserveAnswer returns the reservation for the answer of a new attempt at a server. It is released when
// the attempt fails, or with the request.
func (c *call) reserveAnswer(server string) *membudget.Reservation {
	memory := c.g.answerBudget.Reserve(server)
	c.answers = append(c.answers, memory)
	return memory
}

// answerMemory returns the reservation for the answer of the latest attempt.
func (c *call) answerMemory() *membudget.Reservation { return c.answers[len(c.answers)-1] }

func (c *call) releaseMemory() {
	c.memory.Release()
	for _, memory := range c.answers {
		memory.Release()
	}
}

// callerLeft reports whether the caller has disconnected before its answer was written. The context
// of the request also ends when its body does not arrive in time.
func (c *call) callerLeft() bool {
	if c.delivered.Load() {
		return false
	}
	return c.caller.wasClosed() || c.r.Context().Err() != nil && !c.bodyLate.Load()
}

// serve admits the request and sends the response.
func (c *call) serve() error {
	if err := c.admit(); err != nil {
		c.discardBody()
		return err
	}
	if err := c.readBody(); err != nil {
		return err
	}
	c.enterPhase(phaseWaiting)
	// The configuration may have become too old while the body arrived.
	if err := c.checkConfirmed(); err != nil {
		return err
	}
	if err := c.checkStopping(); err != nil {
		return err
	}
	c.identity = quarantine.NewRequest(c.info.ID, c.content())
	c.g.budget.Request(c.service.Name, boottime.Now())
	if c.route.Kind == route.Stream {
		return c.stream()
	}
	return c.plain()
}

// target returns the path and query as sent by the caller.
func (c *call) target() string {
	if strings.HasPrefix(c.r.RequestURI, "/") {
		return c.r.RequestURI
	}
	return c.r.URL.RequestURI()
}

// remaining returns the time until the deadline.
func (c *call) remaining() time.Duration { return c.deadline - boottime.Now() }

// context returns the context of the attempts. It ends responseGrace after the
// deadline, and when the VM ends its work. If followsCaller is set, it also ends when the
// caller disconnects.
func (c *call) context(followsCaller bool) (context.Context, context.CancelFunc) {
	parent := c.r.Context()
	if !followsCaller {
		parent = context.WithoutCancel(parent)
	}
	limited, release := c.g.drain.limit(parent, noTime)
	ctx, cancel := context.WithTimeout(limited, c.remaining()+responseGrace)
	return ctx, func() {
		cancel()
		release()
	}
}

func (c *call) elapsed() time.Duration { return boottime.Now() - c.arrived }

// organisationName returns the name of the caller's organisation, "" if the request
// is not authenticated.
func (c *call) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}
