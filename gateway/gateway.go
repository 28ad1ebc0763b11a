package gateway

import (
	"net/http"
	"sync"
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
	"github.com/vanillaarch/vanillaarch/internal/recovery"
	"github.com/vanillaarch/vanillaarch/membudget"
	"github.com/vanillaarch/vanillaarch/outstanding"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/requestbody"
	"github.com/vanillaarch/vanillaarch/retry"
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
	// Origins holds the records of where streams began.
	Origins Origins
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
	// engineCalls makes the calls that end runs.
	engineCalls observedEngines
	// closing is closed when calls that outlive their request must end.
	closing   chan struct{}
	closeOnce sync.Once
}

// New returns a gateway.
func New(o Options) *Gateway {
	engines := observedEngines{o.Engines, o.Servers, o.Permits, o.Snapshot}
	o.Engines = engines
	g := &Gateway{
		Options:       o,
		engineCalls:   engines,
		closing:       make(chan struct{}),
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
