package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// A request that crashes the servers that run it.
const (
	// One seed in seedsPerRequestFault has such a request. It begins in the first part of the
	// run, so that enough time is left after contactBound.
	seedsPerRequestFault    = 3
	requestFaultBeginPart   = 4
	requestFaultDuration    = 14 * time.Second
	requestCrashDelay       = 50 * time.Millisecond
	minServerDowntime       = time.Second
	maxServerDowntime       = 3 * time.Second
	crashingRequestFraction = 0.15
	// hotRequestFraction is the fraction of the requests that are one sound request, which
	// never changes, while another one crashes servers.
	hotRequestFraction = 0.1
	// After noticedRequestCrashes crashes and contactBound, at most maxLateRequestArrivals of
	// the request may reach servers. requestArrivalSlack is the time from a VM to a server.
	noticedRequestCrashes  = 3
	maxLateRequestArrivals = 3
	requestArrivalSlack    = 200 * time.Millisecond
)

// requestCrashes is a fault that is drawn apart from all others, so that the seeds without
// it mean the same as before.
var requestCrashes = fault{name: "request crashes its servers", apply: (*harness).crashByRequest}

// requestFault is a request that crashes the servers that run it.
type requestFault struct {
	kind           kind
	target, prompt string
	// from is the begin of the fault, to its end.
	from, to time.Time
}

// requestFaultsOf draws the requests of a seed that crash servers. A run that is restricted
// to some faults has one if it is among them.
func requestFaultsOf(seed uint64, length time.Duration, kinds []fault) []fault {
	r := rand.New(rand.NewPCG(seed, 3))
	if !hasKind(kinds, requestCrashes) || len(kinds) > len(faultKinds) && r.IntN(seedsPerRequestFault) > 0 {
		return nil
	}
	f := requestCrashes
	f.at, f.seed, f.duration = time.Duration(r.Int64N(int64(length/requestFaultBeginPart))), r.Uint64(), requestFaultDuration
	return []fault{f}
}

// crashByRequest makes one request crash the servers that run it.
func (h *harness) crashByRequest(r *rand.Rand, d time.Duration) {
	f := &requestFault{kind: kind(r.IntN(int(kindCount))), from: time.Now()}
	name := fmt.Sprintf("dead-%x", r.Uint32())
	f.target = "/" + f.kind.String() + "/" + name
	if f.kind.streams() {
		f.prompt = []string{"", sharedPrompt, sharedPrompt + "," + name + ":20", name + ":20,own:30"}[r.IntN(4)]
	}
	downtime := randomDuration(r, minServerDowntime, maxServerDowntime)
	h.recordFault("request %s with prompt %q crashes its servers, which are away for %v", f.target, f.prompt, downtime.Round(time.Millisecond))
	defer h.faults.begin(scopeServers)()
	h.fleet.SetRequestCrashes(userplatform.RequestCrashes{
		Delay: requestCrashDelay, Downtime: downtime,
		Crashes: func(q userplatform.WholeRequest) bool { return q.Target == f.target },
	})
	h.setRequestFault(f)
	time.Sleep(min(d, time.Until(h.started.Add(h.opts.Duration))))
	f.to = time.Now()
	h.setRequestFault(nil)
	time.Sleep(callerTimeout) // Attempts that are on their way still crash servers.
	h.fleet.SetRequestCrashes(userplatform.RequestCrashes{})
	time.Sleep(downtime)
	h.recordFault("request %s: %d crashes, %d arrivals, at most %d servers down at one moment", f.target,
		len(h.fleet.ServerCrashes()), len(h.fleet.ServerArrivals()), h.fleet.MostServersDown())
}

func (h *harness) setRequestFault(f *requestFault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requestFault = f
	if f != nil {
		h.requestFaults = append(h.requestFaults, f)
	}
}

// replace makes some requests the one that crashes servers, and some a sound one that never
// changes. It draws nothing from the caller's source while there is no such fault.
func (h *harness) replace(r *request, source *rand.Rand) {
	h.mu.Lock()
	f := h.requestFault
	h.mu.Unlock()
	if f == nil {
		return
	}
	switch draw := source.Float64(); {
	case draw < crashingRequestFraction:
		r.kind, r.target, r.prompt, r.crashingPart, r.crashes, r.key = f.kind, f.target, f.prompt, "", f, stableKey
	case draw < crashingRequestFraction+hotRequestFraction:
		r.target, r.key = "/"+r.kind.String()+"/hot", stableKey
	}
}

// checkCrashingRequests checks that a request that crashes servers is refused in time, and
// that sound ones are not.
func (h *harness) checkCrashingRequests() {
	byID := map[string]*request{}
	for _, r := range h.requests {
		byID[r.id] = r
	}
	for _, f := range h.requestFaults {
		crashes := 0
		for _, c := range h.fleet.ServerCrashes() {
			if crashes++; crashes == noticedRequestCrashes {
				h.checkLateRequests(f, c.At, byID)
			}
		}
		h.checkSoundBeside(f)
	}
}

// checkLateRequests counts the arrivals from VMs in touch. The time for which the soak stood
// still does not count, since servers belong to its process.
func (h *harness) checkLateRequests(f *requestFault, noticed time.Time, byID map[string]*request) {
	late := 0
	var last time.Time
	for _, a := range h.fleet.ServerArrivals() {
		r := byID[a.Request]
		due := noticed.Add(contactBound + requestArrivalSlack)
		if r == nil || !a.At.After(due) || a.At.Sub(due) <= h.delays.longest(noticed, a.At) {
			continue
		}
		if h.faults.undisturbed(a.At, a.At, scopeStore, scopeVM(r.vm.name)) {
			late++
			last = a.At
		}
	}
	if late > maxLateRequestArrivals {
		h.violations.add(invariantCrashingRequests, "%d of request %s reached servers from VMs in touch later than %v after the third crash, the last %v after it",
			late, f.target, contactBound+requestArrivalSlack, last.Sub(noticed).Round(time.Millisecond))
	}
}

// checkSoundBeside checks that no sound request is refused as one that crashes servers,
// unless parts of prompts crash engines in this run as well.
func (h *harness) checkSoundBeside(f *requestFault) {
	for _, r := range h.requests {
		if r.crashes != nil || !r.inQuarantine() || r.sent.Before(f.from) || r.kind.streams() && len(h.promptFaults) > 0 {
			continue
		}
		h.violations.add(invariantCrashingRequests, "sound request %s to %s was refused beside %s: %.200s", r.id, r.vm.name, f.target, r.body)
	}
}

// inQuarantine reports whether the request was refused for what it is.
func (r *request) inQuarantine() bool {
	return r.status >= 400 && !r.signed && strings.Contains(r.body, "quarantine")
}
