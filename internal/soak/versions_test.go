package soak

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/internal/wait"
)

// Flags of TestStreamsLastAcrossVersions, for plays by hand.
var (
	versionsDaemon   = flag.String("versions.daemon", "", "path of vanillaarchd (built if empty)")
	versionsDuration = flag.Duration("versions.duration", 8*time.Second, "how long requests are sent")
	versionsAll      = flag.Bool("versions.all", false, "play all cases")
	versionsSeed     = flag.Uint64("versions.seed", 36, "seed of the load")
	versionsLogs     = flag.String("versions.logs", "", "directory that keeps the logs of the VMs (none if empty)")
)

// Load of TestStreamsLastAcrossVersions.
const (
	versionVMs       = 6
	versionStreams   = 45
	versionBooks     = 9
	draftEvents      = 233
	draftInterval    = 12 * time.Millisecond
	draftDeadline    = 9 * time.Second
	shortTimeout     = 2 * time.Second
	longTimeout      = 20 * time.Second
	chunkedBodyParts = 6
	maxChunkGap      = 150 * time.Millisecond
	// lingerTime is how long an engine that leaves serves on.
	lingerTime = 4 * time.Second
	// noticedCut is the time by which a caller may notice the end of its stream late.
	noticedCut = 300 * time.Millisecond
)

// versionLoad is a deployment under the load of one case.
type versionLoad struct {
	*harness
	t      *testing.T
	faults userplatform.ServerFaults

	mu      sync.Mutex
	version int64
	nextID  int
	engines []*server
	// crashes holds the times of the crashes of each engine.
	crashes map[string][]time.Time
	// stoppedAt holds the signals to VMs.
	stoppedAt map[string][]time.Time
	versions  []time.Time
	results   []versionResult
	// reloads is the number of SIGHUPs.
	reloads int
}

// versionCase is what happens beside the load.
type versionCase struct {
	// faults are those of all engines.
	faults userplatform.ServerFaults
	// engines is the number of engines of each service, 3 if it is 0.
	engines int
	// versions is set if configurations are written.
	versions bool
	// split sends drafts to the engines of both services.
	split bool
	// kept makes callers use a connection for one request after another.
	kept bool
	play []versionEvent
}

// versionCases holds the cases by name.
var versionCases = map[string]versionCase{
	"control":                              {},
	"versions":                             {versions: true},
	"engines leave":                        {versions: true, play: repeating((*versionLoad).leave)},
	"engines leave without versions":       {play: repeating((*versionLoad).leave)},
	"engines leave, late backups":          {versions: true, faults: userplatform.ServerFaults{BackupDelay: 2500 * time.Millisecond}, play: repeating((*versionLoad).leave)},
	"engines leave, late backups, no move": {versions: true, faults: userplatform.ServerFaults{BackupDelay: 2500 * time.Millisecond, RefuseMoves: true}, play: repeating((*versionLoad).leave)},
	"engines leave, no moves":              {versions: true, faults: userplatform.ServerFaults{RefuseMoves: true}, play: repeating((*versionLoad).leave)},
	"two engines leave at once":            {versions: true, play: repeating((*versionLoad).leaveTwo)},
	"entries lapse":                        {versions: true, play: repeating((*versionLoad).lapse)},
	"engines start anew":                   {versions: true, play: repeating((*versionLoad).startAnew, (*versionLoad).lapse)},
	"engines crash":                        {versions: true, play: repeating((*versionLoad).crash)},
	"one engine a service":                 {versions: true, engines: 1, play: repeating((*versionLoad).lapse)},
	"two engines a service":                {versions: true, engines: 2, play: repeating((*versionLoad).leave)},
	"store refuses a VM":                   {versions: true, play: repeating((*versionLoad).refuseVM, (*versionLoad).leave)},
	"VMs stop":                             {versions: true, play: repeating((*versionLoad).stopOne)},
	"VMs stop, engines leave":              {versions: true, play: repeating((*versionLoad).stopOne, (*versionLoad).leave)},
	"VMs stop, engines leave, no moves":    {versions: true, faults: userplatform.ServerFaults{RefuseMoves: true}, play: repeating((*versionLoad).stopOne, (*versionLoad).leave)},
	"VMs stop, late backups":               {versions: true, faults: userplatform.ServerFaults{BackupDelay: 2500 * time.Millisecond}, play: repeating((*versionLoad).stopOne, (*versionLoad).leave)},
	"VMs stop, entries lapse":              {versions: true, play: repeating((*versionLoad).stopOne, (*versionLoad).lapse)},
	"a VM is starved":                      {versions: true, play: repeating((*versionLoad).starve, (*versionLoad).leave)},
}

// versionEvent is one thing that happens beside the load.
type versionEvent func(*versionLoad, context.Context, *rand.Rand)

// repeating returns functions that play each event again and again.
func repeating(each ...versionEvent) []versionEvent {
	var out []versionEvent
	for _, event := range each {
		out = append(out, func(l *versionLoad, ctx context.Context, r *rand.Rand) {
			for wait.Sleep(ctx, randomDuration(r, 300*time.Millisecond, 1800*time.Millisecond)) {
				event(l, ctx, r)
			}
		})
	}
	return out
}

// Guards against drafts, which run once, that a VM cuts although the engine that runs them is
// sound, while configurations are written and engines come and go. The other cases are played
// by hand, see versionsAll.
func TestStreamsLastAcrossVersions(t *testing.T) {
	names := []string{"engines leave", "versions"}
	if *versionsAll {
		names = slices.Sorted(maps.Keys(versionCases))
	}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			if !*versionsAll {
				t.Parallel()
			}
			playVersions(t, versionCases[name])
		})
	}
}

// Guards against drafts that a VM takes from a sound engine that leaves and sends to a backup
// that has not arrived, as beside a busy link between engines or without room there.
func TestStreamsLastWithoutTheirBackups(t *testing.T) {
	t.Parallel()
	playVersions(t, versionCases["engines leave, late backups"])
}

func playVersions(t *testing.T, c versionCase) *versionLoad {
	l := startVersionLoad(t, c)
	ctx, cancel := context.WithTimeout(t.Context(), *versionsDuration)
	defer cancel()
	measured := make(chan struct{})
	go l.delays.measure(measured)
	var group sync.WaitGroup
	for i := range versionStreams {
		client := newDraftClient(c.kept)
		defer client.CloseIdleConnections()
		group.Go(func() { l.sendDrafts(ctx, l.rand(fmt.Sprintf("draft-%d", i)), client, i) })
	}
	for i := range versionBooks {
		group.Go(func() { l.sendBooks(ctx, i) })
	}
	if c.versions {
		group.Go(func() { l.writeVersions(ctx, l.rand("versions")) })
	}
	for i, play := range c.play {
		group.Go(func() { play(l, ctx, l.rand(fmt.Sprintf("event-%d", i))) })
	}
	group.Wait()
	close(measured)
	l.report()
	return l
}

func startVersionLoad(t *testing.T, c versionCase) *versionLoad {
	h := newHarness(Options{Seed: *versionsSeed, VMs: versionVMs, Dir: logDirectory(t, *versionsLogs), Daemon: daemonUnderTest(t, *versionsDaemon)})
	t.Cleanup(h.close)
	l := &versionLoad{harness: h, t: t, faults: c.faults, crashes: map[string][]time.Time{}, stoppedAt: map[string][]time.Time{}}
	targets := oneService
	if c.split {
		targets = bothServices
	}
	l.putVersion(draftRoute{targets: targets, timeout: longTimeout, idle: 15 * time.Second})
	for _, service := range engineServices {
		for range cmp.Or(c.engines, 3) {
			l.addEngine(service)
		}
	}
	for i := range 3 {
		if _, err := h.fleet.Start(userplatform.ServerOptions{ID: fmt.Sprintf("desk-%d", i), Service: "desk", Zone: "z", Slots: 24, ProcessingTime: plainServiceTime}); err != nil {
			t.Fatal(err)
		}
	}
	if err := h.startVMs(); err != nil {
		t.Fatal(err)
	}
	var starts sync.WaitGroup
	for _, v := range h.vms {
		starts.Go(func() { l.awaitVM(v) })
	}
	starts.Wait()
	if t.Failed() {
		t.FailNow()
	}
	return l
}

// awaitVM waits until a VM serves a draft.
func (l *versionLoad) awaitVM(v *vm) {
	for begin := time.Now(); time.Since(begin) < startBound; time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(l.t.Context(), draftDeadline)
		r := l.sendDraft(ctx, l.rand(v.name), newDraftClient(false), v, fmt.Sprintf("probe-%d", time.Now().UnixNano()), 0)
		cancel()
		if r.err == nil && r.status == http.StatusOK {
			return
		}
	}
	l.t.Errorf("%s does not serve", v.name)
}
