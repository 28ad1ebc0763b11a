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
// It does not wait for the answers: a request that meets a crashed server first may wait until
// the pause is over. The requests end within wg.
func (l *crashingLoad) pause(wg *sync.WaitGroup, d time.Duration, servers []*userplatform.Server, like func() request) {
	l.t.Helper()
	for _, server := range servers {
		server.Announce(userplatform.Announcement{RetryAfter: []string{strconv.FormatFloat(d.Seconds(), 'f', 1, 64)}})
		defer server.Announce(userplatform.Announcement{})
	}
	for i := range l.vms {
		var sent []string
		l.eventually(10*time.Second, "the VM knows the pauses", func() bool {
			a := like()
			a.id = "learns-" + nextSound()
			sent = append(sent, a.id)
			wg.Go(func() { l.send(l.vms[i].Load(), a) })
			return !slices.ContainsFunc(servers, func(server *userplatform.Server) bool {
				return !slices.ContainsFunc(sent, func(id string) bool { return server.Arrivals(id) > 0 })
			})
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

// suspectedRequestCrashes is the number of crashes from which on a VM refuses the request.
const suspectedRequestCrashes = 2

// Times of the tests of waiting requests.
const (
	// crashingRunTime is the time in which more of the request begin to wait while the
	// second server is about to crash.
	crashingRunTime = 3 * time.Second
	// longDowntime and longPause are the times for which no server that has crashed is back,
	// and for which the others have asked for a pause. Both are longer than contactBound, and
	// the first one than the time from the first crash to the end of the test.
	longDowntime = 30 * time.Second
	longPause    = 9 * time.Second
)

// checkWaiting crashes two of four servers and checks that those of the request that wait are
// refused once that is known. While the second server runs the request, all that are left
// ask for a pause, which VMs learn of by requests like the given one.
func (l *crashingLoad) checkWaiting(servers []*userplatform.Server, like func() request) {
	l.t.Helper()
	const waiting = 6
	l.crash(crashingRunTime, longDowntime)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		for len(l.fleet.ServerCrashes()) < suspectedRequestCrashes {
			l.send(l.vms[0].Load(), l.victim())
			time.Sleep(soundTime)
		}
	})
	l.eventually(20*time.Second, "the second run has begun", func() bool { return l.runsOfVictim() >= suspectedRequestCrashes })
	l.pause(&wg, longPause, l.upOf(servers), like)
	answers := make(chan offeredRequest, waiting)
	for n := range waiting {
		wg.Go(func() {
			got := offeredRequest{sentAt: time.Now()}
			got.response = l.send(l.vms[n%crashingVMs].Load(), l.victim())
			got.took = time.Since(got.sentAt)
			answers <- got
		})
	}
	l.eventually(10*time.Second, "the second crash", func() bool { return len(l.fleet.ServerCrashes()) >= suspectedRequestCrashes })
	second := l.fleet.ServerCrashes()[suspectedRequestCrashes-1].At
	for range waiting {
		got := <-answers
		after := got.sentAt.Add(got.took).Sub(second)
		l.t.Logf("%s: %d %s, %v after the second crash", got.id, got.status, problemType(got.body), after.Round(time.Millisecond))
		if got.sentAt.After(second) || after < -breakMargin {
			l.t.Errorf("%s did not wait when the second server crashed: it was answered %v after it", got.id, after)
		}
		if after > contactBound {
			l.t.Errorf("%s was answered %v after the second crash", got.id, after)
		}
		if !strings.HasSuffix(problemType(got.body), string(api.ProblemRequestQuarantined)) {
			l.t.Errorf("%s got problem %s", got.id, problemType(got.body))
		}
		if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, string(api.OutcomeNotRun)) || len(l.fleet.Executions(got.id)) > 0 {
			l.t.Errorf("%s ran on %v and got %+v", got.id, l.fleet.Runs(got.id), got.response)
		}
	}
}

// Guards against a request that waits for the end of a pause, when it becomes known that the
// same request has crashed servers, being sent to the server that has paused.
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
