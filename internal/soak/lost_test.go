package soak

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Flags of TestPlannedWorkLosesNoRequest, for plays by hand.
var (
	lostDaemon   = flag.String("lost.daemon", "", "path of vanillaarchd (built if empty)")
	lostDuration = flag.Duration("lost.duration", 12*time.Second, "how long requests are sent")
	lostCases    = flag.String("lost.cases", "all at once", "cases to play, separated by semicolons, or *")
	lostSeed     = flag.Uint64("lost.seed", 42, "seed of the load and of the planned work")
	lostCallers  = flag.Int("lost.callers", 24, "callers for each VM")
	lostBusy     = flag.Int("lost.busy", 0, "busy processes beside the VMs")
	lostLogs     = flag.String("lost.logs", "", "directory that keeps the logs of the VMs (none if empty)")
)

// Load of TestPlannedWorkLosesNoRequest.
const (
	lostVMs     = 6
	lostEngines = 3
	lostServers = 4
	// lostMemoryVariant gives a VM 206 MB, see vm.writeSettings.
	lostMemoryVariant = 86
	lostIdleTimeout   = 300 * time.Millisecond
)

// lostLoad is a deployment under planned work, with all requests and what their callers saw.
type lostLoad struct {
	*harness
	t        *testing.T
	backends []*userplatform.Server

	mu      sync.Mutex
	version int64
	results []lostResult
	// signals holds the signals to each VM, manifests the times of the configurations.
	signals   map[string][]sentSignal
	manifests []time.Time
	// away holds the times in which the store was away.
	away []interval
	// starts is held for a VM while it starts. It gets no settings and no reload then.
	starts map[string]*sync.Mutex
}

// interval is a time of planned work or of a fault. A zero end means that it still lasts.
type interval struct{ from, to time.Time }

// lostEvent is planned work beside the load, until ctx ends.
type lostEvent func(*lostLoad, context.Context, *rand.Rand)

// lostCase is what happens beside the load.
type lostCase struct {
	play []lostEvent
	// slots is the number of streams that an engine runs, engineSlots if it is 0.
	slots int
	// zones puts every other server into a zone of its own.
	zones bool
}

// plannedWork holds the cases by name.
var plannedWork = map[string]lostCase{
	"control":                    {},
	"stops within reloads":       {play: []lostEvent{(*lostLoad).stopWithinReloads}},
	"reloads":                    {play: []lostEvent{(*lostLoad).reload}},
	"stops within starts":        {play: []lostEvent{(*lostLoad).stopWithinStart}},
	"stops within manifests":     {play: []lostEvent{(*lostLoad).stopWithinManifest, (*lostLoad).writeManifests}},
	"manifests":                  {play: []lostEvent{(*lostLoad).writeManifests}},
	"several stops at once":      {play: []lostEvent{(*lostLoad).stopSeveral}},
	"stops signalled twice":      {play: []lostEvent{(*lostLoad).stopTwice}},
	"stops, store away":          {play: []lostEvent{(*lostLoad).stopOne, (*lostLoad).takeStoreAway}},
	"stops as the store returns": {play: []lostEvent{(*lostLoad).stopAsStoreReturns}},
	"stops, engines leave":       {play: []lostEvent{(*lostLoad).stopOne, (*lostLoad).leaveServers}},
	"stops, engines full":        {play: []lostEvent{(*lostLoad).stopOne}, slots: 3},
	"stops, VMs starved":         {play: []lostEvent{(*lostLoad).stopStarved, (*lostLoad).stopStarved}},
	"stops, zones evacuated":     {play: []lostEvent{(*lostLoad).stopOne, (*lostLoad).evacuateZones}, zones: true},
	"stops, servers limited":     {play: []lostEvent{(*lostLoad).stopOne, (*lostLoad).limitServers}},
	"stops, calls hedged":        {play: []lostEvent{(*lostLoad).stopOne, (*lostLoad).changeSpeedsOfAll}},
	"stops, VMs at a fifth":      {play: []lostEvent{(*lostLoad).stopAtAFifth, (*lostLoad).stopAtAFifth, (*lostLoad).stopAtAFifth}},
	"all at once": {play: []lostEvent{
		(*lostLoad).stopWithinReloads, (*lostLoad).stopWithinManifest, (*lostLoad).writeManifests, (*lostLoad).reload,
	}},
	"all at once, store away too": {play: []lostEvent{
		(*lostLoad).stopWithinReloads, (*lostLoad).stopSeveral, (*lostLoad).writeManifests, (*lostLoad).reload, (*lostLoad).takeStoreAway,
	}},
}

// Guards against requests that a VM has read and that end without an answer, beside planned
// work that overlaps: stops, reloads and manifests in series. Callers of every kind use their
// connections until the process is gone. The other cases are played by hand, see lostCases.
func TestPlannedWorkLosesNoRequest(t *testing.T) {
	names := strings.Split(*lostCases, ";")
	if *lostCases == "*" {
		names = slices.Sorted(maps.Keys(plannedWork))
	}
	for _, name := range names {
		work, ok := plannedWork[name]
		if !ok {
			t.Fatalf("there is no case %q", name)
		}
		t.Run(name, func(t *testing.T) { playPlannedWork(t, work) })
	}
}

func playPlannedWork(t *testing.T, work lostCase) {
	l := startLostLoad(t, work)
	endBusy, err := startBusy(*lostBusy)
	defer endBusy()
	if err != nil {
		t.Fatal(err)
	}
	measured := make(chan struct{})
	go l.delays.measure(measured)
	ctx, cancel := context.WithTimeout(t.Context(), *lostDuration)
	defer cancel()
	var callers, events sync.WaitGroup
	for i, v := range l.vms {
		for n := range *lostCallers {
			c := newLostCaller(l, v, i, n)
			callers.Go(func() { c.run(ctx) })
		}
	}
	for i, play := range work.play {
		events.Go(func() { play(l, ctx, l.rand(fmt.Sprintf("event-%d", i))) })
	}
	callers.Wait()
	events.Wait()
	close(measured)
	l.report()
}

func startLostLoad(t *testing.T, work lostCase) *lostLoad {
	h := newHarness(Options{Seed: *lostSeed, VMs: lostVMs, Dir: logDirectory(t, *lostLogs), Daemon: daemonUnderTest(t, *lostDaemon)})
	t.Cleanup(h.close)
	l := &lostLoad{harness: h, t: t, signals: map[string][]sentSignal{}, starts: map[string]*sync.Mutex{}}
	l.putManifest(0)
	l.startServers(cmp.Or(work.slots, engineSlots), work.zones)
	if err := h.startVMs(); err != nil {
		t.Fatal(err)
	}
	for _, v := range h.vms {
		l.starts[v.name] = &sync.Mutex{}
		if err := v.writeSettings(lostMemoryVariant); err != nil {
			t.Fatal(err)
		}
		if err := v.terminate(killSignal, time.Second); err != nil {
			t.Fatal(err)
		}
		if err := v.start(); err != nil {
			t.Fatal(err)
		}
	}
	for _, err := range h.awaitAll(t.Context(), startBound+lostVMs*startBoundPerVM) {
		t.Fatal(err)
	}
	return l
}

// startServers starts engines, and plain servers each of which takes another time.
func (l *lostLoad) startServers(slots int, zones bool) {
	zoneOf := func(n int) string {
		if zones && n%2 == 1 {
			return foreignZone
		}
		return ownZone
	}
	for i := range lostEngines {
		s, err := l.fleet.Start(userplatform.ServerOptions{
			ID: fmt.Sprintf("engine-%d", i), Service: "engines", Zone: zoneOf(i), Model: "m", Slots: slots,
			Events: streamEvents, EventInterval: eventInterval,
		})
		if err != nil {
			l.t.Fatal(err)
		}
		l.backends = append(l.backends, s)
	}
	for i := range lostServers {
		s, err := l.fleet.Start(userplatform.ServerOptions{
			ID: fmt.Sprintf("desk-%d", i), Service: "desk", Zone: zoneOf(i), Slots: 200,
			ProcessingTime: time.Duration(20+80*i) * time.Millisecond,
		})
		if err != nil {
			l.t.Fatal(err)
		}
		l.backends = append(l.backends, s)
	}
}
