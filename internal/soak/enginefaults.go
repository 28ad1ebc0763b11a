package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

const (
	minPromptTime, maxPromptTime = 200 * time.Millisecond, 600 * time.Millisecond
	// minLostShare and maxLostShare are the shares of the engines that a zone holds.
	minLostShare, maxLostShare = 0.17, 0.3
)

// randomDuration returns a duration from minimum to maximum.
func randomDuration(r *rand.Rand, minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(r.Int64N(int64(maximum-minimum)))
}

// slowPrompts makes streams wait for their first event.
func (h *harness) slowPrompts(r *rand.Rand, d time.Duration) {
	h.fleet.SetPromptTime(randomDuration(r, minPromptTime, maxPromptTime), r.IntN(2) == 0)
	defer h.fleet.SetPromptTime(0, false)
	time.Sleep(d)
}

// loseEngines crashes several engines at once, as the loss of a zone does, while streams
// wait for their first event. They are replaced later.
func (h *harness) loseEngines(r *rand.Rand, d time.Duration) {
	prompt := randomDuration(r, minPromptTime, maxPromptTime)
	h.fleet.SetPromptTime(prompt, r.IntN(2) == 0)
	time.Sleep(prompt)
	defer h.faults.begin(scopeServers)()
	lost := h.takeEngines(r, minLostShare+r.Float64()*(maxLostShare-minLostShare))
	for _, x := range lost {
		h.recordFault("%s is lost", x.ID())
		go x.Crash()
	}
	h.fleet.SetPromptTime(0, false)
	time.Sleep(d)
	for _, x := range lost {
		h.startReplacement(x)
		x.Unregister()
	}
}

// takeEngines takes a share of the engines off the list, one at least, but leaves
// minServersPerService.
func (h *harness) takeEngines(r *rand.Rand, share float64) []*server {
	return h.takeServers(r, true, func(all int) int { return max(int(share*float64(all)), 1) })
}

// takeServers takes engines or plain servers off the list, as many of all as count
// returns, but leaves minServersPerService.
func (h *harness) takeServers(r *rand.Rand, engines bool, count func(all int) int) []*server {
	h.mu.Lock()
	defer h.mu.Unlock()
	same := h.serversOfKind(engines)
	r.Shuffle(len(same), func(i, j int) { same[i], same[j] = same[j], same[i] })
	taken := same[:min(count(len(same)), max(len(same)-minServersPerService, 0))]
	h.servers = slices.DeleteFunc(slices.Clone(h.servers), func(x *server) bool { return slices.Contains(taken, x) })
	return taken
}

// serversOfKind returns the engines or the plain servers on the list. The caller holds
// h.mu.
func (h *harness) serversOfKind(engines bool) []*server {
	var out []*server
	for _, x := range h.servers {
		if x.IsEngine() == engines {
			out = append(out, x)
		}
	}
	return out
}

// repeatRefusals makes a server refuse requests for a while, and write each refusal once
// more before its next response on the connection.
func (h *harness) repeatRefusals(r *rand.Rand, d time.Duration) {
	x := h.pickServer(r, false)
	h.recordFault("%s writes its refusals again", x.ID())
	defer h.faults.begin(scopeServers)()
	x.SetFaults(userplatform.ServerFaults{Shed: true, RepeatRefusals: true})
	time.Sleep(d / 4)
	x.SetFaults(userplatform.ServerFaults{RepeatRefusals: true})
	time.Sleep(d - d/4)
	x.SetFaults(userplatform.ServerFaults{})
}
