package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/balance/question"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/hedge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/listen"
	"github.com/vanillaarch/vanillaarch/internal/recovery"
	"github.com/vanillaarch/vanillaarch/membudget"
	"github.com/vanillaarch/vanillaarch/outstanding"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/ratelimit/permit"
	"github.com/vanillaarch/vanillaarch/requestbody"
	"github.com/vanillaarch/vanillaarch/retry"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Options holds the dependencies of a Gateway.
type Options struct {
	VM, Zone, Region string
	// ZoneRegions maps availability zones to their regions.
	ZoneRegions map[string]string
	// MemoryBytes is the memory of the VM, 0 if unknown.
	MemoryBytes int64
	// Bounds returns the current bounds.
	Bounds     func() *config.Bounds
	Snapshot   func() *control.Snapshot
	Admission  dispatch.Admission
	HTTPClient *backend.HTTPClient
	// Quarantine tells which requests must not be sent to a backend server.
	Quarantine quarantine.Guard
	// Breaker is the circuit breaker for engines that can't be reached.
	Breaker *backend.Breaker
	Servers Servers
	// Permits tells which backend servers limit the rate of requests, and obtains permits.
	Permits Permits
	Engines edge.EngineClient
	Edge    edge.Codec
	Log     *zap.Logger
	Metrics *Metrics
}

// Gateway handles the HTTP requests of callers.
type Gateway struct {
	Options
	budget   *retry.SharedBudget
	services *serviceBalancer
	// outstanding counts the bytes of plain requests at servers that report their speed.
	outstanding *outstanding.Table
	hedges      *hedge.Policy
	questions   *question.Budget
	runs        *runTable
	// departures holds the servers that have left the VM list a short time ago.
	departures departures
	replaced   replacedServers
	drain      *drainState
	pace       *paceTable
	// requestMemory bounds the memory for requests, answerBudget that for answers.
	requestMemory *requestbody.Memory
	answerBudget  *membudget.Budget
	// refusedBytes bounds what is read of bodies that were refused.
	refusedBytes *requestbody.Allowance
	// background tracks calls that outlive their request.
	background sync.WaitGroup
}

// New returns a gateway.
func New(o Options) *Gateway {
	o.Engines = observedEngines{o.Engines, o.Servers, o.Permits, o.Snapshot}
	g := &Gateway{
		Options:       o,
		budget:        retry.NewSharedBudget(o.Bounds().RetryRatio, o.Bounds().RetrySlack, o.Bounds().RetryWindow),
		services:      newServiceBalancer(o.Zone),
		outstanding:   outstanding.New(),
		hedges:        hedge.NewPolicy(),
		questions:     question.NewBudget(),
		runs:          newRunTable(),
		drain:         newDrainState(),
		pace:          newPaceTable(),
		requestMemory: newRequestMemory(o.MemoryBytes),
		answerBudget:  newAnswerBudget(o.MemoryBytes),
		refusedBytes:  requestbody.NewAllowance(refusedBytesPerSecond, boottime.Now),
	}
	g.Metrics.observeMemory(g.requestMemory, g.answerBudget)
	g.Metrics.observeOutstanding(g.outstanding)
	return g
}

// Time limits of requests.
const (
	// confirmMargin is subtracted from the maximum age of a confirmed
	// configuration. It covers the delay between the check and the arrival of the
	// request at the backend server.
	confirmMargin = 400 * time.Millisecond
	// responseGrace extends the wait for a response beyond the deadline, so that the
	// response arrives that a backend server sends when its own deadline expires.
	responseGrace = 100 * time.Millisecond
	// defaultTimeout applies to requests without a deadline of the caller.
	defaultTimeout = 60 * time.Second
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

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.Metrics.accepted.Inc(1)
	c := &call{g: g, w: w, r: r, arrived: boottime.Now(), snap: g.Snapshot(), log: g.Log, caller: &callerWatch{}}
	err := recovery.Call(c.decode) // Before other goroutines see the request.
	defer c.releaseMemory()
	g.drain.enter(c)
	defer g.drain.leave(c)
	c.watchCaller()
	defer c.caller.unwatch()
	if err == nil {
		err = recovery.Call(c.serve)
	}
	if panicked, ok := errors.Into[*recovery.PanicError](err); ok {
		err = c.recovered(panicked)
	}
	if errors.Is(err, errAborted) {
		c.recordCompletion(nil, "aborted")
		c.closeWithoutEnd()
	}
	p := asProblem(err)
	if p != nil && (c.status == 0 || !c.callerLeft()) {
		c.sendProblem(p) // Also to a caller that has left: it may have closed only its half.
	}
	c.recordLostAnswer(p)
	c.recordCompletion(p, "")
	if c.status == 0 || c.run != nil && c.run.abandoned {
		// http.Server would write an empty success, or the end of a whole answer. A caller that
		// has closed only its half of the connection would take it for one.
		c.closeWithoutEnd()
	}
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
