package platform_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/internal/localsite"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/quarantine"
)

// Bounds of the operator for prompts that crash engines.
const (
	// contactBound is the time after the fifth crash from which requests with the part
	// are counted, and half of the time from which sound ones must be served.
	contactBound = 3 * time.Second
	// crashesToNotice is the number of crashes after which the bounds apply.
	crashesToNotice = 5
	// maxCrashingArrivals is how many requests with the part may reach engines after
	// contactBound.
	maxCrashingArrivals = 3
	// minSoundShare is the fraction of sound requests with the same key or first part
	// that must be served.
	minSoundShare = 0.5
	// minSoundRequests is the number of sound requests from which the share counts.
	minSoundRequests = 20
	// maxExtraLoad limits for how much longer than its duration a load runs on a busy machine,
	// on which few requests are sent within the duration.
	maxExtraLoad = 20 * time.Second
)

// promptLoad sends sound prompts and prompts that crash engines for a while.
type promptLoad struct {
	duration time.Duration
	// crashing and sound return the next prompt of their kind. Every request gets a
	// last part of its own.
	crashing, sound func(r *rand.Rand) string
	// interval is the mean time between two crashing requests, and between two sound
	// ones.
	interval time.Duration
	// vm returns the VM that gets the next request.
	vm func(r *rand.Rand) *localsite.VM
}

// loadResult is what callers and engines saw of a promptLoad.
type loadResult struct {
	mu sync.Mutex
	// sound holds the requests with a sound prompt, in no order, crashing the others.
	sound, crashing []sentPrompt
}

type sentPrompt struct {
	at       time.Time
	elapsed  time.Duration
	response response
}

// run sends the load and waits for all responses.
func (l promptLoad) run(s *site) *loadResult {
	result := &loadResult{}
	var wg sync.WaitGroup
	send := func(seed uint64, prompt func(*rand.Rand) string, add func(sentPrompt)) {
		r := rand.New(rand.NewPCG(seed, 0))
		for begin := time.Now(); l.goesOn(s, result, time.Since(begin)); {
			a := draft()
			a.header["Prompt-Prefix"] = fmt.Sprintf("%s,%x:100", prompt(r), r.Uint64())
			a.header["Token-Count"] = "300,20"
			v := l.vm(r)
			wg.Go(func() {
				at := time.Now()
				got := s.send(v, a)
				result.mu.Lock()
				defer result.mu.Unlock()
				add(sentPrompt{at, time.Since(at), got})
			})
			time.Sleep(time.Duration(r.ExpFloat64() * float64(l.interval)))
		}
	}
	wg.Go(func() { send(1, l.crashing, func(p sentPrompt) { result.crashing = append(result.crashing, p) }) })
	wg.Go(func() { send(2, l.sound, func(p sentPrompt) { result.sound = append(result.sound, p) }) })
	wg.Wait()
	return result
}

// goesOn reports whether more requests must be sent.
func (l promptLoad) goesOn(s *site, result *loadResult, elapsed time.Duration) bool {
	if elapsed < l.duration {
		return true
	}
	crashes := s.fleet.EngineCrashes()
	sound, _ := result.soundSince(crashes)
	return elapsed < l.duration+maxExtraLoad && len(crashes) >= crashesToNotice && sound < minSoundRequests
}

// soundSince returns how many sound requests were sent since they must be served, and how
// many of them were.
func (l *loadResult) soundSince(crashes []userplatform.EngineCrash) (sent, served int) {
	if len(crashes) < crashesToNotice {
		return 0, 0
	}
	fifth := crashes[crashesToNotice-1].At
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.sound {
		if p.at.After(fifth.Add(2 * contactBound)) {
			sent++
			if p.response.status == http.StatusOK && p.response.err == nil {
				served++
			}
		}
	}
	return sent, served
}

// checkBounds checks the operator's bounds for requests with a part that crashes engines.
func (l *loadResult) checkBounds(s *site) {
	s.t.Helper()
	crashes := s.fleet.EngineCrashes()
	if len(crashes) < crashesToNotice {
		s.t.Logf("%d crashes", len(crashes))
		return
	}
	fifth := crashes[crashesToNotice-1].At
	late := 0
	for _, arrival := range s.fleet.CrashingArrivals() {
		if arrival.At.After(fifth.Add(contactBound)) {
			late++
		}
	}
	sound, served := l.soundSince(crashes)
	s.t.Logf("%d crashes, %d late arrivals, %d of %d sound requests served", len(crashes), late, served, sound)
	if late > maxCrashingArrivals {
		s.t.Errorf("%d requests with a part that crashes engines reached engines later than %v after the fifth crash, %d allowed",
			late, contactBound, maxCrashingArrivals)
	}
	if sound < minSoundRequests || float64(served) < minSoundShare*float64(sound) {
		s.t.Errorf("%d of %d sound requests served", served, sound)
	}
}

func anyVM(s *site) func(*rand.Rand) *localsite.VM {
	return func(r *rand.Rand) *localsite.VM { return s.vms[r.IntN(len(s.vms))] }
}

func always(prompt string) func(*rand.Rand) string { return func(*rand.Rand) string { return prompt } }

// revokeBound is the bound of revocation. Requests with a key are rejected if the store has been
// silent for as long, also if the test meant it to be silent for less and the process stood still.
const revokeBound = 30 * time.Second

// engineDowntime is how long an engine is away after a crash.
const engineDowntime = 500 * time.Millisecond

func newCrashingSite(t *testing.T) *site {
	s := newSite(t, options{
		vms: 4, engines: 8, plainServers: 1, events: 4, interval: 15 * time.Millisecond,
		bounds: func(b *config.Bounds) { b.Revoke = revokeBound },
	})
	s.fleet.SetCrashingParts(engineDowntime, "dead")
	return s
}

// Guards against requests with a part that crashes engines being sent to one engine
// after the other, and against refusing sound ones with the same key and first parts
// (BUDGET and LOST of the operator's rules).
func TestPromptsThatCrashEnginesAreRefused(t *testing.T) {
	s := newCrashingSite(t)
	promptLoad{
		duration: 9 * time.Second, interval: 60 * time.Millisecond, vm: anyVM(s),
		crashing: always("first:40,second:30,dead:30"), sound: always("first:40,second:30"),
	}.run(s).checkBounds(s)
}

// Guards against the bounds being missed when two parts crash engines at once, each at
// changing places in the prompt, while half of the VMs are replaced and the store then
// answers no VM for a while.
func TestPromptsThatCrashEnginesBesideTrouble(t *testing.T) {
	const (
		timeToReplace = 1500 * time.Millisecond
		silence       = 3 * time.Second // shorter than the bound of revocation
	)
	s := newCrashingSite(t)
	s.fleet.SetCrashingParts(engineDowntime, "dead", "deadly")
	crashing := []string{"first:40,second:30,dead:30", "dead:30,first:40,second:30", "deadly:5,second:30", "first:40,deadly:5"}
	var mu sync.Mutex
	running := slices.Clone(s.vms)
	load := promptLoad{
		duration: 10 * time.Second, interval: 60 * time.Millisecond,
		crashing: func(r *rand.Rand) string { return crashing[r.IntN(len(crashing))] },
		sound:    always("first:40,second:30"),
		vm: func(r *rand.Rand) *localsite.VM {
			mu.Lock()
			defer mu.Unlock()
			return running[r.IntN(len(running))]
		},
	}
	done := make(chan *loadResult)
	go func() { done <- load.run(s) }()
	time.Sleep(timeToReplace)
	fresh := []*localsite.VM{s.mustStartVM("fresh-0"), s.mustStartVM("fresh-1")}
	// VMs exchange messages only with those that they know from the store, which is about
	// to fall silent.
	s.eventually(10*time.Second, "all VMs know each other", func() bool {
		return !slices.ContainsFunc(s.Site.VMs, func(v *localsite.VM) bool { return len(v.Snapshot().EntryVMs) != len(s.Site.VMs) })
	})
	for _, v := range fresh {
		s.eventually(10*time.Second, v.Name+" serves", func() bool { return s.send(v, look()).status != http.StatusServiceUnavailable })
	}
	mu.Lock()
	running = append(running[:2], fresh...)
	mu.Unlock()
	for _, v := range s.vms[2:4] {
		v.Stop()
	}
	s.store.SetFaults(userplatform.StoreFaults{Silent: []string{"*"}})
	time.Sleep(silence)
	s.store.SetFaults(userplatform.StoreFaults{})
	(<-done).checkBounds(s)
}

// Guards against engines that crash again for a part that was known when all VMs stopped
// at once, without time to write anything.
func TestQuarantineOutlivesAllVMs(t *testing.T) {
	s := newCrashingSite(t)
	crash := func() response {
		a := draft()
		a.header["Prompt-Prefix"] = fmt.Sprintf("first:40,dead:30,%x:10", rand.Uint64())
		return s.send(s.vms[rand.IntN(len(s.vms))], a)
	}
	s.eventually(10*time.Second, "the part is refused", func() bool { return crash().refusedPrompt() })
	s.eventually(3*time.Second, "the rule is stored", func() bool { return s.store.Has(quarantine.ArchiveKey) })
	crashes := len(s.fleet.EngineCrashes())
	s.restartAllVMs()
	for range 20 {
		if got := crash(); !got.refusedPrompt() {
			t.Fatalf("%+v", got)
		}
	}
	if n := len(s.fleet.EngineCrashes()); n != crashes {
		t.Errorf("%d more crashes", n-crashes)
	}
}

func (r response) refusedPrompt() bool {
	return r.status == http.StatusServiceUnavailable && strings.Contains(r.body, "prompt-quarantined")
}

// restartAllVMs stops all VMs at once and starts others, which know only what the store
// holds.
func (s *site) restartAllVMs() {
	old := s.vms
	for _, v := range old {
		v.Stop()
	}
	for _, v := range old {
		<-v.Done
	}
	s.vms = nil
	for i := range old {
		s.vms = append(s.vms, s.mustStartVM(fmt.Sprintf("again-%d", i)))
	}
	for _, v := range s.vms {
		s.eventually(10*time.Second, v.Name+" serves", func() bool { return s.send(v, draft()).status == http.StatusOK })
	}
}
