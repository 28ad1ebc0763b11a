package platform_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// noticeBound is the time after which the VM that got an answer must follow what its
// server announced.
const noticeBound = 100 * time.Millisecond

// recordVMs makes the servers record exchanges. Ids of requests begin with the name of
// their VM.
func (s *site) recordVMs() {
	s.fleet.RecordExchanges(func(request string) string {
		name, _, _ := strings.Cut(request, "/")
		return name
	})
}

// callersPerVM is the number of concurrent callers of a VM in load.
const callersPerVM = 2

// load sends requests to all VMs until the returned function is called. The ids that make sets are
// part of those of the requests.
func (s *site) load(make func() request) (stop func() []response) {
	var (
		callers sync.WaitGroup
		mu      sync.Mutex
		all     []response
	)
	end := closeOnce()
	for _, v := range s.vms {
		for c := range callersPerVM {
			callers.Go(func() {
				for n := 0; !end.closed(); n++ {
					a := make()
					a.id = v.Name + "/" + a.id + strconv.Itoa(c) + "-" + strconv.Itoa(n)
					got := s.send(v, a)
					mu.Lock()
					all = append(all, got)
					mu.Unlock()
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	return func() []response {
		end.close()
		callers.Wait()
		return all
	}
}

// lateArrivals returns the requests that reached a server from a VM later than the bound
// after the VM got an answer for which notice returns how long it holds, and before it
// ends. It counts the VMs that got such an answer.
func (s *site) lateArrivals(server string, bound time.Duration, notice func(userplatform.Exchange) time.Duration) (late []userplatform.Exchange, vms int) {
	type span struct{ from, to time.Time }
	told := map[string][]span{}
	exchanges := s.fleet.Exchanges()
	for _, e := range exchanges {
		if holds := notice(e); e.Server == server && e.VM != "" && holds > 0 {
			told[e.VM] = append(told[e.VM], span{e.AnsweredAt.Add(bound), e.AnsweredAt.Add(holds)})
		}
	}
	for _, e := range exchanges {
		for _, t := range told[e.VM] {
			if e.Server == server && e.ArrivedAt.After(t.from) && e.ArrivedAt.Before(t.to) {
				late = append(late, e)
				break
			}
		}
	}
	return late, len(told)
}

func leavingForGood(e userplatform.Exchange) time.Duration {
	if e.Leaving {
		return time.Hour
	}
	return 0
}

// Guards against requests to a server that has said in an answer that it leaves, while
// its entry still says that it is ready, and against VMs that each have to be told.
func TestServerThatAnnouncesItsDepartureGetsNoWork(t *testing.T) {
	for _, c := range serverKinds(book) {
		t.Run(c.name, func(t *testing.T) {
			const vms = 4
			// Each plain server has room for all callers: one that is full rejects a
			// booking, whose route allows one attempt.
			s := newSite(t, options{vms: vms, engines: 3, plainServers: 3, plainServerSlots: vms * callersPerVM, events: 3, interval: 5 * time.Millisecond})
			s.recordVMs()
			stop := s.load(c.request)
			time.Sleep(500 * time.Millisecond)
			leaving := c.servers(s)[0]
			announced := time.Now()
			leaving.Announce(userplatform.Announcement{Leaving: true})
			time.Sleep(3 * time.Second)
			responses := stop()
			late, told := s.lateArrivals(leaving.ID(), noticeBound, leavingForGood)
			if len(late) > 0 {
				t.Errorf("%d requests were late, the first %v after the announcement: %+v", len(late), late[0].ArrivedAt.Sub(announced), late[0])
			}
			for _, e := range s.fleet.Exchanges() {
				if since := e.ArrivedAt.Sub(announced); e.Server == leaving.ID() && since > 2*time.Second {
					t.Errorf("%s reached it %v after it had announced its departure", e.Request, since)
				}
			}
			if told == 0 {
				t.Error("no VM was told")
			}
			requireServed(t, responses)
		})
	}
}

func requireServed(t *testing.T, responses []response) {
	t.Helper()
	failed := 0
	for _, r := range responses {
		if r.err != nil || r.status != http.StatusOK {
			failed++
		}
	}
	if failed > 0 || len(responses) == 0 {
		t.Errorf("%d of %d requests failed", failed, len(responses))
	}
}

// Guards against requests to a server that has asked for a pause, and against a pause
// that counts as a failure or that never ends.
func TestServerThatAsksForAPauseGetsIt(t *testing.T) {
	const (
		pause = 1500 * time.Millisecond
		vms   = 4
	)
	for _, c := range serverKinds(look) {
		t.Run(c.name, func(t *testing.T) {
			// Each plain server has room for all callers: a lookup that a full one and then the paused
			// one reject has used its two attempts.
			s := newSite(t, options{vms: vms, engines: 3, plainServers: 3, plainServerSlots: vms * callersPerVM, events: 3, interval: 5 * time.Millisecond})
			s.recordVMs()
			stop := s.load(c.request)
			time.Sleep(500 * time.Millisecond)
			paused := c.servers(s)[0]
			paused.Announce(userplatform.Announcement{RetryAfter: []string{"1.5"}, RejectManagement: true})
			time.Sleep(700 * time.Millisecond)
			paused.Announce(userplatform.Announcement{})
			time.Sleep(3 * time.Second)
			responses := stop()
			late, told := s.lateArrivals(paused.ID(), noticeBound, func(e userplatform.Exchange) time.Duration {
				if len(e.RetryAfter) > 0 {
					return pause
				}
				return 0
			})
			if len(late) > 0 || told == 0 {
				t.Errorf("%d VMs were told, %d requests were late: %+v", told, len(late), late[:min(len(late), 1)])
			}
			exchanges := s.fleet.Exchanges()
			last := exchanges[len(exchanges)-1].ArrivedAt
			used := 0
			for _, e := range exchanges {
				if e.Server == paused.ID() && last.Sub(e.ArrivedAt) < time.Second {
					used++
				}
			}
			if used == 0 {
				t.Error("the server got nothing in the last second, long after its pause")
			}
			requireServed(t, responses)
		})
	}
}

// Guards against a request that is held although all servers have asked for a long
// pause, and against a Retry-After before the end of it.
func TestRefusedAtOnceWhileAllServersArePaused(t *testing.T) {
	s := newSite(t, options{vms: 1, plainServers: 2})
	for _, d := range s.plainServers {
		d.Announce(userplatform.Announcement{RetryAfter: []string{"8"}})
	}
	var told time.Time
	for range 4 {
		told = time.Now()
		s.send(s.vms[0], look())
	}
	begin := time.Now()
	got := s.send(s.vms[0], look())
	if elapsed := time.Since(begin); got.status != http.StatusServiceUnavailable || elapsed > time.Second {
		t.Errorf("status %d after %v, want 503 at once", got.status, elapsed)
	}
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if err != nil || seconds < 8-time.Since(told).Seconds()-1 || seconds > 12 {
		t.Errorf("Retry-After %q, want the end of the pauses", got.header.Get("Retry-After"))
	}
	if n := s.plainServers[0].Arrivals(got.id) + s.plainServers[1].Arrivals(got.id); n > 0 {
		t.Errorf("%d arrivals during the pause", n)
	}
}

// Guards against a new start of a server that inherits the departure of the start
// before.
func TestNewStartOfAServerIsUsed(t *testing.T) {
	s := newSite(t, options{vms: 2, plainServers: 2})
	s.plainServers[0].Announce(userplatform.Announcement{Leaving: true})
	s.eventually(3*time.Second, "both VMs know", func() bool {
		known := 0
		for _, v := range s.vms {
			s.send(v, look())
			if len(v.Snapshot().Services["desk"]) == 1 {
				known++
			}
		}
		return known == len(s.vms)
	})
	s.plainServers[0].Announce(userplatform.Announcement{})
	time.Sleep(5 * time.Millisecond) // The start time is in milliseconds.
	s.plainServers[0].Restart()
	s.eventually(3*time.Second, "the new start is used", func() bool {
		got := s.send(s.vms[0], look())
		return strings.Contains(got.body, s.plainServers[0].ID())
	})
}

// closer tells goroutines to end.
type closer struct {
	done chan struct{}
	once sync.Once
}

func closeOnce() *closer { return &closer{done: make(chan struct{})} }

func (c *closer) close() { c.once.Do(func() { close(c.done) }) }

func (c *closer) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}
