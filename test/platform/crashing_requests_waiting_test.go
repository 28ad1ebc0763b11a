package platform_test

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// pause makes servers ask for a pause, which all VMs learn of by requests like the given one.
func (l *crashingLoad) pause(d time.Duration, servers []*userplatform.Server, like func() request) {
	l.t.Helper()
	for _, server := range servers {
		server.Announce(userplatform.Announcement{RetryAfter: []string{strconv.FormatFloat(d.Seconds(), 'f', 1, 64)}})
		defer server.Announce(userplatform.Announcement{})
	}
	for i := range l.vms {
		told := map[string]bool{}
		l.eventually(10*time.Second, "the VM knows the pauses", func() bool {
			a := like()
			a.id = "learns-" + nextSound()
			l.send(l.vms[i].Load(), a)
			for _, server := range servers {
				if server.Arrivals(a.id) > 0 {
					told[server.ID()] = true
				}
			}
			return len(told) == len(servers)
		})
	}
}

// upOf returns those of servers that have not crashed.
func (l *crashingLoad) upOf(servers []*userplatform.Server) []*userplatform.Server {
	crashes := l.fleet.ServerCrashes()
	return slices.DeleteFunc(slices.Clone(servers), func(server *userplatform.Server) bool {
		return slices.ContainsFunc(crashes, func(c userplatform.ServerCrash) bool { return c.Server == server.ID() })
	})
}

// runsOfVictim returns how often servers have begun to run the request that crashes them,
// also from a copy.
func (l *crashingLoad) runsOfVictim() int {
	runs := map[string]int{}
	for _, a := range l.fleet.ServerArrivals() {
		runs[a.Request] = len(l.fleet.Executions(a.Request))
	}
	n := 0
	for _, of := range runs {
		n += of
	}
	return n
}

// Times of the tests of waiting requests.
const (
	// crashingRunTime is the time in which more of the request begin to wait while the
	// third server is about to crash.
	crashingRunTime = 1500 * time.Millisecond
	// longDowntime and longPause are the times for which no server that has crashed is back,
	// and for which the others have asked for a pause. Both are longer than contactBound.
	longDowntime = 6 * time.Second
	longPause    = 7 * time.Second
)

// checkWaiting crashes three of four servers and checks that those of the request that wait
// are refused once that is known. While the third server runs the request, all that are left
// ask for a pause, which VMs learn of by requests like the given one.
func (l *crashingLoad) checkWaiting(servers []*userplatform.Server, like func() request) {
	l.t.Helper()
	const waiting = 6
	l.crash(crashingRunTime, longDowntime)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		for len(l.fleet.ServerCrashes()) < noticedRequestCrashes {
			l.send(l.vms[0].Load(), l.victim())
			time.Sleep(soundTime)
		}
	})
	l.eventually(20*time.Second, "the third run has begun", func() bool { return l.runsOfVictim() >= noticedRequestCrashes })
	l.pause(longPause, l.upOf(servers), like)
	answers := make(chan offeredRequest, waiting)
	for n := range waiting {
		wg.Go(func() {
			got := offeredRequest{sentAt: time.Now()}
			got.response = l.send(l.vms[n%crashingVMs].Load(), l.victim())
			got.took = time.Since(got.sentAt)
			answers <- got
		})
	}
	l.eventually(10*time.Second, "the third crash", func() bool { return len(l.fleet.ServerCrashes()) >= noticedRequestCrashes })
	third, waited := l.noticed(), 0
	for range waiting {
		got := <-answers
		after := got.sentAt.Add(got.took).Sub(third)
		l.t.Logf("%s: %d %s, %v after the third crash", got.id, got.status, problemType(got.body), after.Round(time.Millisecond))
		if after > 0 {
			waited++
		}
		if after > contactBound {
			l.t.Errorf("%s was answered %v after the third crash", got.id, after)
		}
		if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, string(api.OutcomeNotRun)) || len(l.fleet.Executions(got.id)) > 0 {
			l.t.Errorf("%s ran on %v and got %+v", got.id, l.fleet.Runs(got.id), got.response)
		}
	}
	l.t.Logf("%d of %d waited when the third server crashed", waited, waiting)
}

// Guards against a request that waits for the end of a pause, when it becomes known that the
// same request has crashed three servers, being sent to the server that has paused.
func TestWaitingRequestThatCrashesServersIsRefused(t *testing.T) {
	t.Parallel()
	l := newCrashingLoad(t, crashingPost, options{plainServers: 4})
	l.checkWaiting(l.plainServers, look)
}

// Guards against the same by a stream.
func TestWaitingStreamThatCrashesEnginesIsRefused(t *testing.T) {
	t.Parallel()
	l := newCrashingLoad(t, crashingStreamWithoutParts, options{engines: 4})
	l.checkWaiting(l.engines, func() request { return streamWithPrompt("/check/2", "") })
}
