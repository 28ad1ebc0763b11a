// Package soak runs entry VMs as separate processes against stand-ins of the
// users' platform, injects a fault schedule derived from a seed, and checks
// invariants that callers and backend servers rely on.
package soak

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/platform"
)

// Time bounds of the invariants, as in the settings of the VMs.
const (
	drainBound  = 2 * time.Second
	applyBound  = 2 * time.Second
	revokeBound = 5 * time.Second
	// settleTime is how long a scope must have been free of faults before an
	// invariant with a time bound applies to it.
	settleTime = 4 * time.Second
	// cutSlack is how long after it was sent a request may lose its connection that no VM
	// has read.
	cutSlack = 200 * time.Millisecond
	// recoveryBound is the time within which each VM must serve after all faults
	// have ended.
	recoveryBound = 15 * time.Second
	// startBound is the time within which a VM must listen, and serve; each VM that starts
	// at the same time adds startBoundPerVM to the latter.
	startBound      = 10 * time.Second
	startBoundPerVM = 500 * time.Millisecond
	// maxStartAttempts limits the starts of a VM. A start fails if another
	// process takes one of its addresses before it listens.
	maxStartAttempts = 3
	// concurrentStarts is the number of VMs that are started at the same time.
	concurrentStarts = 8
)

// Workload.
const (
	streamEvents     = 60
	eventInterval    = 15 * time.Millisecond
	plainServiceTime = 15 * time.Millisecond
	engineSlots      = 24
	plainSlots       = 8
	callersPerVM     = 3
)

const configKey = platform.ConfigKey

// Options are the parameters of a run.
type Options struct {
	Seed uint64
	// Duration is how long faults are injected, excluding startup and recovery.
	Duration time.Duration
	// VMs is the number of entry VM processes; Engines and PlainServers are numbers of
	// stand-ins.
	VMs, Engines, PlainServers int
	// Only restricts the faults to the kinds with these names. Nil allows all.
	Only []string
	// Busy is the number of processes that use a processor each while faults are
	// injected. The running program must handle BusyArgument.
	Busy int
	// Daemon is the path of vanillaarchd, Dir the directory for settings and
	// logs.
	Daemon, Dir string
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Violations []Violation
	// Faults lists the applied faults in order.
	Faults []string
	// Outcomes counts requests by kind and outcome.
	Outcomes map[string]int
	Overlaps DurationSummary
	// Departures and Pauses summarise the requests that reached servers after they had
	// announced their departure, or during the pause for which they had asked.
	Departures, Pauses NoticeSummary
	Limits             LimitSummary
	Evacuations        EvacuationSummary
	// LongestDelay is the longest delay of a goroutine of the soak.
	LongestDelay time.Duration
	TakeUps      TakeUpSummary
}

// harness is a running deployment with the records of its faults, requests and
// violations.
type harness struct {
	opts         Options
	kinds        []fault
	started      time.Time
	store        *userplatform.Store
	fleet        *userplatform.Fleet
	keys         *keyring
	faults       *timeline
	violations   *violationLog
	stopRequests stopTimes
	rejectedKeys refusals
	outcomes     outcomeCounts
	overlaps     DurationSummary
	// departures and pauses are complete once checkNotices has run.
	departures, pauses NoticeSummary
	// limits is complete once checkLimits has run.
	limits LimitSummary
	// evacuations is complete once checkEvacuations has run.
	evacuations EvacuationSummary
	// overlapDetails describes each overlap, noticeDetails each request later than
	// noticeGoal, limitDetails each time in which a server named a limit.
	overlapDetails, noticeDetails, limitDetails []string
	delays                                      delayLog
	// closes records when VMs close their connections to servers.
	closes  closeLog
	vms     []*vm
	cleanup []func()

	mu       sync.Mutex
	requests []*request
	servers  []*server
	// startedServers are all servers that were started, each with a cold period.
	startedServers []startedServer
	// limited holds the servers that have named a limit.
	limited []*server
	// drainNotices holds the time of the drain notice of each retired server by id.
	drainNotices  map[string]time.Time
	appliedFaults []string
	nextID        int
	// evacuatedZones holds the zones whose evacuation is ordered.
	evacuatedZones map[string]bool
	// version is the software version of the latest whole release. releasing is held during one.
	version   string
	releasing sync.Mutex
	takeUps   TakeUpSummary
	// returning is held while the store returns from a copy.
	returning sync.Mutex
	// storeFaults holds the active faults of the store.
	storeFaults map[*userplatform.StoreFaults]struct{}
	// promptFaults holds all parts that have crashed engines, promptFault the active
	// one.
	promptFaults []*promptFault
	promptFault  *promptFault
	// requestFaults and requestFault are the same for requests that crash servers.
	requestFaults []*requestFault
	requestFault  *requestFault
}

// Run runs the soak for one seed. Violations are in the report; an error means
// that the run itself failed.
func Run(ctx context.Context, o Options) (*Report, error) {
	kinds, err := allowedKinds(o.Only)
	if err != nil {
		return nil, err
	}
	w := newHarness(o)
	defer w.close()
	w.kinds, w.storeFaults, w.overlaps = kinds, map[*userplatform.StoreFaults]struct{}{}, newDurationSummary(overlapClasses)
	w.store.SetEra(1)
	w.fleet.RecordRequests(vmOfRequest)
	if err := w.start(ctx); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	go w.delays.measure(done)
	err = w.runWorkload(ctx)
	close(done)
	if err != nil {
		return nil, err
	}
	w.checkRecovery(ctx)
	w.checkRuns()
	exchanges := w.fleet.Exchanges()
	w.checkDrains(exchanges)
	w.checkNotices(exchanges)
	w.checkLimits(exchanges)
	w.checkEvacuations(exchanges)
	w.checkColdServers()
	w.checkPrompts()
	w.checkCrashingRequests()
	w.checkProcesses()
	w.checkEnds()
	return &Report{
		Seed: o.Seed, Violations: w.violations.all(), Faults: w.appliedFaults, Outcomes: w.outcomes.all(),
		Overlaps: w.overlaps, Departures: w.departures, Pauses: w.pauses, Limits: w.limits, Evacuations: w.evacuations, LongestDelay: w.delays.longest(w.started, time.Now()),
		TakeUps: w.takeUps,
	}, w.writeDetails()
}

// runWorkload runs callers while faults are injected, then waits for the callers
// to finish.
func (h *harness) runWorkload(ctx context.Context) error {
	faultCtx, stop := context.WithTimeout(ctx, h.opts.Duration)
	defer stop()
	var callers sync.WaitGroup
	for i, v := range h.vms {
		for n := range callersPerVM {
			c := newCaller(h, v, i*callersPerVM+n)
			callers.Go(func() { c.runUntil(ctx, faultCtx) })
		}
	}
	callers.Go(func() { h.runOutsideCallers(faultCtx) })
	endBusy, err := startBusy(h.opts.Busy)
	h.injectFaults(faultCtx)
	endBusy()
	callers.Wait()
	return err
}

// checkRecovery checks that each VM serves within recoveryBound after the faults
// have ended.
func (h *harness) checkRecovery(ctx context.Context) {
	for _, err := range h.awaitAll(ctx, recoveryBound) {
		h.violations.add(invariantRecovery, "%v", err)
		if failed, ok := errors.Into[*servingError](err); ok {
			failed.VM.dumpStacks()
		}
	}
}
