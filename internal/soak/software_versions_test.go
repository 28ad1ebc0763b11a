package soak

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Flags of TestStreamsGoOnAtTheirSoftwareVersionOnly, for plays by hand.
var (
	softwareDaemon = flag.String("software.daemon", "", "path of vanillaarchd (built if empty)")
	softwareLogs   = flag.String("software.logs", "", "directory that keeps the logs of the VMs (none if empty)")
)

// Load of TestStreamsGoOnAtTheirSoftwareVersionOnly.
const (
	softwareVMs       = 4
	enginesPerVersion = 3
	softwareStreams   = 40
	softwareDrafts    = 60
	softwareEvents    = 40
	softwareInterval  = 50 * time.Millisecond
	// softwareSpread is the time over which the streams are sent that VMs lose. The VMs are killed
	// beforeKill after the last one has begun, and at most longestBegin after the first one was sent.
	softwareSpread = 400 * time.Millisecond
	beforeKill     = 300 * time.Millisecond
	longestBegin   = 1300 * time.Millisecond
	// engineSpread is the time over which streams begin beside engines that leave or crash, one each
	// engineGap. An engine that leaves serves on for engineLinger.
	engineSpread = 2400 * time.Millisecond
	engineGap    = 600 * time.Millisecond
	engineLinger = time.Second
	// returnAfter is the time after which a caller takes up a stream whose VM is gone.
	returnAfter = 200 * time.Millisecond
	// refusalTime is the time within which a stream that can't go on is refused.
	refusalTime = time.Second
	// softwareSlow is the time after which an attempt is shown with the log of its VM.
	softwareSlow = 6 * time.Second
)

// softwareVersions are the versions of the engines. They have no order.
var softwareVersions = []string{"build-9", "build-4"}

// softwareLoad is a deployment whose engines have two software versions.
type softwareLoad struct {
	*harness
	t *testing.T

	mu      sync.Mutex
	nextID  int
	engines []*userplatform.Server
	streams []*softwareStream
	callers sync.WaitGroup
}

// Guards against a stream that goes on at an engine of another software version than that which began
// it, in one answer or taken up by its caller, and against streams that are all cut or refused to that end.
func TestStreamsGoOnAtTheirSoftwareVersionOnly(t *testing.T) {
	for name, play := range map[string]func(*softwareLoad){
		"engines leave":              (*softwareLoad).playLeavingEngines,
		"engines crash":              (*softwareLoad).playCrashes,
		"all VMs killed":             func(l *softwareLoad) { l.playKilledVMs(false) },
		"all VMs killed, one leaves": func(l *softwareLoad) { l.playKilledVMs(true) },
		"two of four VMs killed":     (*softwareLoad).playTwoKilledVMs,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := startSoftwareLoad(t)
			play(l)
			l.checkStreams()
		})
	}
}

func startSoftwareLoad(t *testing.T) *softwareLoad {
	h := newHarness(Options{VMs: softwareVMs, Dir: logDirectory(t, *softwareLogs), Daemon: daemonUnderTest(t, *softwareDaemon)})
	t.Cleanup(h.close)
	l := &softwareLoad{harness: h, t: t}
	h.store.Put(configKey, userplatform.Config(1, stableKey))
	for range enginesPerVersion {
		for _, version := range softwareVersions {
			l.startEngine(version)
		}
	}
	if err := h.startVMs(); err != nil {
		t.Fatal(err)
	}
	l.awaitVMs()
	return l
}

func (l *softwareLoad) startEngine(version string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	x, err := l.fleet.Start(userplatform.ServerOptions{
		ID: fmt.Sprintf("engine-%d", l.nextID), Service: "engines", Zone: ownZone, Model: "m", Slots: engineSlots, SoftwareVersion: version,
		Events: softwareEvents, EventInterval: softwareInterval,
	})
	if err != nil {
		l.t.Error(err)
		return
	}
	l.addCleanup(x.Crash)
	l.engines = append(l.engines, x)
}

// enginesOf returns the first engines of a version.
func (l *softwareLoad) enginesOf(version string) []*userplatform.Server {
	var out []*userplatform.Server
	for i := range enginesPerVersion {
		out = append(out, l.engines[i*len(softwareVersions)+slices.Index(softwareVersions, version)])
	}
	return out
}

// awaitVMs waits until all VMs serve streams.
func (l *softwareLoad) awaitVMs() {
	ctx, cancel := context.WithTimeout(l.t.Context(), startBound)
	defer cancel()
	var probes sync.WaitGroup
	for _, v := range l.vms {
		probes.Go(func() {
			for n := 0; !l.beginsStream(ctx, v, n); n++ {
				if ctx.Err() != nil {
					l.t.Errorf("%s does not serve", v.name)
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	probes.Wait()
	if l.t.Failed() {
		l.t.FailNow()
	}
}

// playLeavingEngines lets the engines of a version leave one after the other, and replaces them by
// some of the other one.
func (l *softwareLoad) playLeavingEngines() {
	l.begin(kindDraft, softwareDrafts, engineSpread)
	var ends sync.WaitGroup
	for _, x := range l.enginesOf(softwareVersions[0]) {
		time.Sleep(engineGap)
		l.startEngine(softwareVersions[1])
		x.Register("draining")
		ends.Go(func() {
			time.Sleep(engineLinger)
			x.Unregister()
			x.Crash()
		})
	}
	l.callers.Wait()
	ends.Wait()
	l.checkWhole()
}

// playCrashes crashes engines of both versions in turn, and replaces each by one of its version.
func (l *softwareLoad) playCrashes() {
	l.begin(kindDraft, softwareDrafts/2, engineSpread)
	l.begin(kindCheck, softwareDrafts/2, engineSpread)
	for i, x := range l.engines[:4] {
		time.Sleep(engineGap)
		l.startEngine(softwareVersions[i%len(softwareVersions)])
		x.Crash()
		x.Unregister()
	}
	l.callers.Wait()
	l.takeUp(func(*softwareStream) bool { return true }, l.vms)
	l.checkWhole()
}

// playKilledVMs kills all VMs at once, which start again and get the streams of their callers at
// other VMs than before. With gone set the version that began most of them leaves meanwhile.
func (l *softwareLoad) playKilledVMs(gone bool) {
	l.begin(kindCheck, softwareStreams, softwareSpread)
	l.awaitBegins()
	l.kill(l.vms)
	l.callers.Wait()
	left, other := softwareVersions[0], softwareVersions[1]
	if l.count(other).streams > l.count(left).streams {
		left, other = other, left
	}
	if gone {
		for _, x := range l.enginesOf(left) {
			x.Unregister()
			x.Crash()
		}
	}
	for _, v := range l.vms {
		if err := v.start(); err != nil {
			l.t.Fatal(err)
		}
	}
	l.awaitVMs()
	l.takeUp(func(*softwareStream) bool { return true }, l.vms)
	if gone {
		l.checkShare(other)
		l.checkRefusals(left)
	} else {
		l.checkShare("")
	}
}

// playTwoKilledVMs kills two VMs, whose callers take their streams up at the others.
func (l *softwareLoad) playTwoKilledVMs() {
	l.begin(kindCheck, softwareStreams, softwareSpread)
	l.awaitBegins()
	l.kill(l.vms[:2])
	time.Sleep(returnAfter)
	lost := map[*vm]bool{l.vms[0]: true, l.vms[1]: true}
	// The streams of the other VMs go on beside the take-ups.
	l.awaitStreams(func(s *softwareStream) bool { return lost[s.vm] })
	l.takeUp(func(s *softwareStream) bool { return lost[s.vm] }, l.vms[2:])
	l.callers.Wait()
	l.checkShare("")
}

func (l *softwareLoad) kill(vms []*vm) {
	var ends sync.WaitGroup
	for _, v := range vms {
		ends.Go(func() { _ = v.terminate(killSignal, time.Second) })
	}
	ends.Wait()
}
