package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/rendezvous"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Parameters of the simulated service.
const (
	repeatServers = 3
	repeatStep    = 10 * time.Millisecond
	// crashAfter is the time from the arrival of the crashing request to the crash.
	crashAfter = 50 * time.Millisecond
	hotRun     = 30 * time.Millisecond
	slowRun    = 2 * time.Second
	// allowedArrivals is the operator's bound on the arrivals at servers of a request later
	// than fleetContact after its third crash, in a whole day.
	allowedArrivals = 3
)

// service is a fleet in front of servers that one request crashes, beside a sound request
// that is sent often and one that runs long.
type service struct {
	*fleet
	organisation string
	ids          int
	// servers hold the number of each server's lifetime, upAt when it is up.
	servers [repeatServers]int
	upAt    [repeatServers]time.Duration
	runs    []*serviceRun
	// crashes and arrivals are those of the crashing request.
	crashes, arrivals []deadRun
	// refused and answered count requests after countFrom. lastRefused is the time of the last
	// refusal of each.
	countFrom         time.Duration
	refused, answered map[string]int
	lastRefused       map[string]time.Duration
}

// deadRun is a run of the crashing request that a VM sent.
type deadRun struct {
	at time.Duration
	vm int
}

type serviceRun struct {
	target           string
	vm, server, life int
	r                *Request
	started, ends    time.Duration
}

func newService(vms int, loss float64, seed uint64) *service {
	s := &service{fleet: newFleet(vms, loss), organisation: fmt.Sprintf("org-%d", seed), refused: map[string]int{}, answered: map[string]int{}, lastRefused: map[string]time.Duration{}}
	s.r = rand.New(rand.NewPCG(seed, uint64(vms)))
	for i := range vms {
		s.setNode(i)
	}
	for i := range s.servers {
		s.servers[i] = i + 1
	}
	return s
}

// setNode gives a VM a new node, as after a restart.
func (s *service) setNode(vm int) {
	var vms []vmlist.VM
	for i := range s.nodes {
		vms = append(vms, vmlist.VM{ID: fmt.Sprintf("vm-%d", i)})
	}
	n := NewNode()
	n.probeDelay = func(r Rule) time.Duration {
		return probeWindow * time.Duration(rendezvous.Rank(probeOf(r).String(), vms, vms[vm].ID)) / time.Duration(len(vms))
	}
	s.nodes[vm], s.views[vm], s.checkAt[vm] = n, nil, 0
}

// admit checks a request on a VM, as Manager does.
func (s *service) admit(vm int, r *Request) bool {
	n := s.nodes[vm]
	if s.views[vm] == nil {
		s.views[vm] = newView(n, s.now, func(rule Rule) *atomic.Bool {
			if s.now < n.probeAt(rule) {
				return nil
			}
			return &atomic.Bool{}
		})
	}
	err := s.views[vm].check(s.now, r)
	for _, rule := range n.Rules() {
		n.Refused(rule.id(), s.now)
	}
	if err != nil {
		return false
	}
	for _, p := range r.probes {
		e, started := n.StartProbe(s.now, p)
		s.perform(vm, -1, e)
		if !started {
			return false
		}
	}
	return true
}

// send lets a VM send a request to a server that is up, unless it refuses it.
func (s *service) send(target string) {
	s.sendContent(target, Content{Method: "GET", Target: target, Organisation: s.organisation})
}

// sendContent does the same with a content that need not be that of the target, which tells how
// the request runs and under which name it is counted.
func (s *service) sendContent(target string, c Content) {
	vm := s.r.IntN(len(s.nodes))
	s.ids++
	s.sendFrom(vm, target, NewRequest(fmt.Sprintf("request-%d", s.ids), c))
}

func (s *service) sendFrom(vm int, target string, r *Request) {
	server := s.r.IntN(repeatServers)
	for i := 0; i < repeatServers && s.upAt[server] > s.now; i++ {
		server = (server + 1) % repeatServers
	}
	if s.upAt[server] > s.now { // No server is up.
		return
	}
	if !s.admit(vm, r) {
		if s.now >= s.countFrom {
			s.refused[target]++
		}
		s.lastRefused[target] = s.now
		return
	}
	x := &serviceRun{target: target, vm: vm, server: server, life: s.servers[server], r: r, started: s.now, ends: s.now + hotRun}
	switch target {
	case "/dead":
		s.arrivals = append(s.arrivals, deadRun{s.now, vm})
		x.ends = s.now + crashAfter
	case "/slow":
		x.ends = s.now + slowRun
	}
	s.runs = append(s.runs, x)
}

// finish ends the runs that are due.
func (s *service) finish() {
	for i := 0; i < len(s.runs); i++ {
		x := s.runs[i]
		if x.ends > s.now {
			continue
		}
		if x.target == "/dead" {
			s.crashes = append(s.crashes, deadRun{s.now, x.vm})
			s.crash(x.server)
			i = -1
			continue
		}
		s.runs = append(s.runs[:i], s.runs[i+1:]...)
		i--
		if s.now >= s.countFrom {
			s.answered[x.target]++
		}
		s.perform(x.vm, -1, s.nodes[x.vm].RunSucceeded(s.now, x.r.keys()))
	}
}

// crash ends a server with all its runs. It is back with another lifetime.
func (s *service) crash(server int) {
	s.upAt[server] = s.now + time.Second + time.Duration(s.r.IntN(2000))*time.Millisecond
	life := s.servers[server]
	s.ids++
	s.servers[server] = s.ids + repeatServers
	var left, cut []*serviceRun
	for _, x := range s.runs {
		if x.life == life {
			cut = append(cut, x)
		} else {
			left = append(left, x)
		}
	}
	s.runs = left
	for _, x := range cut {
		x.r.crashed = append(x.r.crashed, uint32(life))
		f := Failure{Run: x.r.Run, Server: uint32(life), Organisation: x.r.Organisation, Keys: x.r.keys()}
		s.perform(x.vm, -1, s.nodes[x.vm].RunFailed(s.now, f, x.started))
	}
	for _, x := range cut {
		if newView(s.nodes[x.vm], s.now, never).mayRepeat(x.r) {
			s.sendFrom(x.vm, x.target, x.r)
		}
	}
}

// play sends the crashing request once in an interval, and sound ones, until a time.
func (s *service) play(end, interval time.Duration) {
	for s.now < end {
		if s.now%interval == 0 {
			s.send("/dead")
		}
		if s.now%(50*time.Millisecond) == 0 {
			s.send("/hot")
		}
		if s.now%(500*time.Millisecond) == 0 {
			s.send("/slow")
		}
		s.finish()
		s.runUntil(s.now + repeatStep)
	}
}

// skip sends only the crashing request until a time. Heartbeats come more rarely.
func (s *service) skip(end, interval time.Duration) {
	for ; s.now < end; s.now += interval {
		if s.now%time.Minute == 0 {
			s.heartbeats()
		}
		for len(s.queue) > 0 {
			s.deliver(heap.Pop(&s.queue).(delivery))
		}
		for i, n := range s.nodes {
			if s.checkAt[i] != 0 && s.checkAt[i] <= s.now {
				s.perform(i, -1, n.Check(s.now))
			}
		}
		for _, x := range s.runs {
			x.ends = s.now
		}
		s.finish()
		s.send("/dead")
	}
}

// late returns the arrivals, of the VMs that are in touch, later than the operator's bound
// after the third crash under requests of such VMs.
func (s *service) late(inTouch func(deadRun) bool) []time.Duration {
	var out []time.Duration
	var crashes []deadRun
	for _, c := range s.crashes {
		if inTouch(c) {
			crashes = append(crashes, c)
		}
	}
	for _, a := range s.arrivals {
		if len(crashes) >= 3 && inTouch(a) && a.at > crashes[2].at+fleetContact {
			out = append(out, a.at-crashes[2].at)
		}
	}
	return out
}

func everyRun(deadRun) bool { return true }

// Guards against a request that goes on crashing servers in a whole day, at any VM, with
// lost messages and VMs that start anew, against sound requests that are refused beside it,
// and against more control traffic than a VM may send.
func TestRepeatedRequestInAWholeDay(t *testing.T) {
	for _, vms := range []int{18, 295} {
		for _, interval := range []time.Duration{250 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("vms=%d,interval=%v", vms, interval), func(t *testing.T) {
				s := newService(vms, 0.1, 1)
				start := s.now
				s.countFrom = start + 30*time.Second
				s.play(start+20*time.Second, interval)
				s.setNode(0)
				s.setNode(vms / 2)
				s.play(start+time.Minute, interval)
				rate := 0.0
				for _, sent := range s.sent {
					rate = max(rate, float64(sent)/60)
				}
				for hour := range 24 {
					if hour == 2 && vms > 18 {
						interval = 4 * time.Second // Both probes are over; this saves half a minute.
					}
					s.setNode(hour % vms)
					s.runUntil(s.now + fleetContact) // It learns the rules.
					s.skip(start+time.Duration(hour+1)*time.Hour, interval)
				}
				t.Logf("%d crashes at %v, %d arrivals, late %v; sound: answered %v, refused %v; %.0f bytes a second",
					len(s.crashes), relative(s.crashes, start), len(s.arrivals), s.late(everyRun), s.answered, s.refused, rate)
				if len(s.crashes) < 3 || len(s.late(everyRun)) > allowedArrivals {
					t.Errorf("%d crashes, %d arrivals later than %v after the third", len(s.crashes), len(s.late(everyRun)), fleetContact)
				}
				if s.refused["/hot"]+s.refused["/slow"] > 0 || s.answered["/hot"] == 0 || s.answered["/slow"] == 0 {
					t.Errorf("sound requests after 30 s: refused %v, answered %v", s.refused, s.answered)
				}
				if rate > maxControlRate {
					t.Errorf("a VM sends %.0f bytes a second, %d allowed", rate, maxControlRate)
				}
			})
		}
	}
}

// Guards against a cut region whose VMs, back in touch, send the request again as if nobody
// knew it, against probes that the two sides count apart, and against a sound request that
// runs long and is refused for more than seconds.
func TestRepeatedRequestBesideACutRegion(t *testing.T) {
	const cutFor = 20 * time.Second
	for seed := range uint64(20) {
		s := newService(18, 0.1, seed)
		start := s.now
		s.countFrom = start
		for vm := 0; vm < len(s.cut); vm += 3 {
			s.cut[vm] = true
		}
		s.play(start+cutFor, 250*time.Millisecond)
		clear(s.cut)
		s.play(start+90*time.Second, 250*time.Millisecond)
		late := s.late(func(x deadRun) bool { return x.vm%3 != 0 || x.at > start+cutFor+fleetContact })
		t.Logf("seed %d: %d crashes at %v, late %v, refused %v, last at %v", seed, len(s.crashes), relative(s.crashes, start), late, s.refused, s.lastRefused)
		if len(late) > allowedArrivals {
			t.Errorf("seed %d: %d arrivals later than %v after the third crash: %v", seed, len(late), fleetContact, late)
		}
		for _, sound := range []string{"/hot", "/slow"} {
			if at := s.lastRefused[sound]; at > start+cutFor+10*time.Second {
				t.Errorf("seed %d: %s is refused %v after the start", seed, sound, at-start)
			}
		}
	}
}

func relative(runs []deadRun, start time.Duration) []time.Duration {
	var out []time.Duration
	for _, x := range runs {
		out = append(out, x.at-start)
	}
	return out
}

// variant returns the content of a request that crashes servers and of which an organisation
// sends many variants.
func (s *service) variant(n int) Content {
	return Content{Method: "POST", Target: "/dead", Organisation: s.organisation, Body: fmt.Appendf(nil, "variant %d", n)}
}

// fillRules lets each of as many variants as there is room for rules have crashed two servers.
func (s *service) fillRules() {
	for n := range maxRules {
		for range suspectCrashes {
			s.ids++
			r := NewRequest(fmt.Sprintf("request-%d", s.ids), s.variant(-n))
			f := Failure{Run: r.Run, Server: uint32(s.ids + repeatServers), Organisation: r.Organisation, Keys: r.keys()}
			vm := s.r.IntN(len(s.nodes))
			s.perform(vm, -1, s.nodes[vm].RunFailed(s.now, f, s.now))
		}
		s.runUntil(s.now + repeatStep)
	}
	s.runUntil(s.now + 2*settleDelay)
}

// Times of variants: how long one is sent before the next, and the time between two of it and
// between two sound requests of a kind.
const (
	variantTime     = 6 * time.Second
	variantInterval = 250 * time.Millisecond
)

// playVariants sends one variant after the other. beside is called as often to send sound
// requests. It returns the number of its calls.
func (s *service) playVariants(variants int, beside func()) (calls int) {
	for end := s.now + time.Duration(variants)*variantTime; s.now < end; {
		if s.now%variantInterval == 0 {
			s.sendContent("/dead", s.variant(variants-int((end-s.now)/variantTime)))
			beside()
			calls++
		}
		s.finish()
		s.runUntil(s.now + repeatStep)
	}
	return calls
}

// Guards against an organisation that varies the body of a request that crashes servers, each
// variant of which may crash three (see platform.md), and so makes the VMs refuse short requests
// of others or its own on other paths, or makes their tables grow.
func TestVariantsOfARequest(t *testing.T) {
	const (
		variants = 12
		// minServedShare leaves room for the requests that a crash takes along, and for those
		// that find no server.
		minServedShare = 0.5
	)
	s := newService(3, 0.1, 1)
	s.fillRules()
	other := Content{Method: "POST", Target: "/dead", Organisation: "other", Body: []byte("sound")}
	mostRules, mostFailures := 0, 0
	sent := s.playVariants(variants, func() {
		s.send("/hot")
		s.sendContent("other", other)
		for _, n := range s.nodes {
			mostRules, mostFailures = max(mostRules, len(n.rules)), max(mostFailures, len(n.failures))
		}
	})
	t.Logf("%d variants: %d crashes; most on a VM: %d rules, %d failures; sound: %d sent of each kind, answered %v, refused %v",
		variants, len(s.crashes), mostRules, mostFailures, sent, s.answered, s.refused)
	if len(s.crashes) < variants || mostRules != maxRules || mostFailures > maxFailures {
		t.Errorf("%d crashes, most on a VM: %d rules, %d failures", len(s.crashes), mostRules, mostFailures)
	}
	for _, sound := range []string{"/hot", "other"} {
		if s.refused[sound] > 0 || float64(s.answered[sound]) < minServedShare*float64(sent) {
			t.Errorf("%s: %d of %d answered, %d refused", sound, s.answered[sound], sent, s.refused[sound])
		}
	}
}

// Guards against a sound request of another organisation that runs for seconds and is refused for a
// minute or more as one that crashes servers, since its probes were on servers that variants crashed.
func TestLongRequestBesideVariants(t *testing.T) {
	const (
		seeds    = 10
		variants = 8
	)
	for seed := range uint64(seeds) {
		s := newService(3, 0, seed)
		long := Content{Method: "GET", Target: "/slow", Organisation: "other"}
		sent := s.playVariants(variants, func() { s.sendContent("/slow", long) })
		t.Logf("seed %d: %d crashes; %d sent, %d answered, %d refused", seed, len(s.crashes), sent, s.answered["/slow"], s.refused["/slow"])
		if s.refused["/slow"] > sent/2 {
			t.Errorf("seed %d: %d of %d refused", seed, s.refused["/slow"], sent)
		}
	}
}
