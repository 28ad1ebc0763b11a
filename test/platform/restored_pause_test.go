package platform_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/localsite"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Guards against requests to a server that has asked for a pause around the store's return from a
// copy, and against a pause that never ends: its entry is in the copy, or missing until the server
// writes it again.
func TestPausesHoldAroundAReturn(t *testing.T) {
	const pause = 4 * time.Second
	for _, missing := range []bool{false, true} {
		for _, asked := range []time.Duration{-700 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("missing %v, asked %v after the return", missing, asked), func(t *testing.T) {
				t.Parallel()
				s := newSite(t, options{era: 1, vms: 4, plainServers: 4})
				s.recordVMs()
				from := s.store.Copy()
				paused := s.plainServers[0]
				if missing {
					paused = s.startDesk("desk-new")
					s.eventuallyOnAllVMs("the new server is known", func(v *localsite.VM) bool { return isChoosable(v, "desk-new") })
				}
				s.writeOthers(lostWrites)
				stop := s.load(look)
				returns := time.Now().Add(time.Second)
				ask := time.AfterFunc(time.Until(returns.Add(asked)), func() {
					paused.Announce(userplatform.Announcement{RetryAfter: []string{strconv.Itoa(int(pause / time.Second))}})
				})
				defer ask.Stop()
				time.Sleep(time.Until(returns.Add(-storeAway)))
				s.returnFromCopy(from, rewrittenAfter)
				time.Sleep(time.Until(returns.Add(asked + pause/2)))
				paused.Announce(userplatform.Announcement{})
				time.Sleep(2 * pause)
				responses := stop()
				s.checkPause(paused.ID(), pause)
				requireServed(t, responses)
			})
		}
	}
}

// checkPause checks that a server got no request from VMs that it had asked for a pause, and that it
// is used in the last second.
func (s *site) checkPause(server string, pause time.Duration) {
	s.t.Helper()
	late, told := s.lateArrivals(server, noticeBound, func(e userplatform.Exchange) time.Duration {
		if len(e.RetryAfter) > 0 {
			return pause
		}
		return 0
	})
	if len(late) > 0 || told == 0 {
		s.t.Errorf("%s: %d VMs were told, %d requests were late: %+v", server, told, len(late), late[:min(len(late), 1)])
	}
	exchanges := s.fleet.Exchanges()
	last, used := exchanges[len(exchanges)-1].ArrivedAt, 0
	for _, e := range exchanges {
		if e.Server == server && last.Sub(e.ArrivedAt) < time.Second {
			used++
		}
	}
	if used == 0 {
		s.t.Errorf("%s got nothing in the last second, long after its pause", server)
	}
}
