package platform_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/localsite"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// The operator's rule on the limit that a server names: in every limitSpan it gets at most
// limitFactor times what the limit allows, and limitSlack requests, from the VMs that had
// such an answer toldMargin before or earlier. It holds from limitContact after the first
// such answer on.
const (
	limitSpan    = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	toldMargin   = 500 * time.Millisecond
	limitContact = 3 * time.Second
	// limitUse is the part of its limit that a server gets at least while the callers ask
	// for more: the target is that it gets near to what it has named.
	limitUse = 0.75
)

// The load of the tests of limits: callers ask for three times what the servers take.
const (
	limitVMs      = 6
	limitServers  = 3
	limitPerS     = 4.0
	offeredPerS   = 36.0
	offeredEngine = 18.0
	// limitLoadTime is the time for which the load goes on after the limit was named.
	limitLoadTime = 9 * time.Second
)

func limitValue(perS float64) string { return strconv.FormatFloat(perS, 'f', 1, 64) }

// nameLimit makes servers name a limit, and returns the time from which they do.
func nameLimit(servers []*userplatform.Server, values ...string) time.Time {
	now := time.Now()
	for _, server := range servers {
		server.SetLimit(values...)
	}
	return now
}

// offeredRequest is a request of an offeredLoad and its response.
type offeredRequest struct {
	response
	vm     string
	sentAt time.Time
	took   time.Duration
}

// offeredLoad sends requests at a fixed rate, whether or not earlier ones have ended.
type offeredLoad struct {
	s    *site
	make func() request
	// vms are the current VMs, which a test may replace by restart.
	vms      []atomic.Pointer[localsite.VM]
	senders  sync.WaitGroup
	requests sync.WaitGroup
	end      *closer
	n        atomic.Int64

	mu  sync.Mutex
	all []offeredRequest
}

func (s *site) newOfferedLoad(make func() request) *offeredLoad {
	o := &offeredLoad{s: s, make: make, vms: newVMPointers(s.vms), end: closeOnce()}
	s.t.Cleanup(func() { o.stop() })
	return o
}

func newVMPointers(vms []*localsite.VM) []atomic.Pointer[localsite.VM] {
	out := make([]atomic.Pointer[localsite.VM], len(vms))
	for i, v := range vms {
		out[i].Store(v)
	}
	return out
}

// sendTo sends perS requests a second to the VMs with the given indexes together.
func (o *offeredLoad) sendTo(perS float64, vms ...int) {
	interval := time.Duration(float64(len(vms)) / perS * float64(time.Second))
	for i, vm := range vms {
		o.senders.Go(func() {
			next := time.Now().Add(interval * time.Duration(i) / time.Duration(len(vms)))
			for !o.end.closed() {
				time.Sleep(time.Until(next))
				next = next.Add(interval)
				o.requests.Go(func() { o.sendOne(vm) })
			}
		})
	}
}

func (o *offeredLoad) sendOne(vm int) {
	v, a := o.vms[vm].Load(), o.make()
	a.id = v.Name + "/" + strconv.FormatInt(o.n.Add(1), 10)
	sent := time.Now()
	got := offeredRequest{response: o.s.send(v, a), vm: v.Name, sentAt: sent}
	got.took = time.Since(sent)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, got)
}

// restart stops a VM and starts another under its name.
func (o *offeredLoad) restart(vm int) {
	o.s.t.Helper()
	v := o.vms[vm].Load()
	v.Stop()
	<-v.Done
	o.vms[vm].Store(o.s.mustStartVM(v.Name))
}

// stop ends the load and returns all requests.
func (o *offeredLoad) stop() []offeredRequest {
	o.end.close()
	o.senders.Wait()
	o.requests.Wait()
	return o.all
}

func allVMs() []int { return []int{0, 1, 2, 3, 4, 5} }

// sharedLimitSite returns a site whose plain servers or engines are to name a limit.
func sharedLimitSite(t *testing.T, o options) *site {
	t.Helper()
	o.vms = limitVMs
	s := newSite(t, o)
	s.recordVMs()
	return s
}

func plainLimitSite(t *testing.T) *site {
	t.Helper()
	return sharedLimitSite(t, options{plainServers: limitServers})
}

// countedFor returns a function that selects what counts against the limit that a server
// names from the given time on: requests of VMs that had been told, and with management
// also calls beside them, which do not tell their VM.
func countedFor(server string, exchanges []userplatform.Exchange, named time.Time, management bool) func(userplatform.Exchange) bool {
	told := map[string]time.Time{}
	for _, e := range exchanges {
		if e.Server != server || e.Limit == nil || e.AnsweredAt.IsZero() || e.AnsweredAt.Before(named) {
			continue
		}
		if at, ok := told[e.VM]; !ok || e.AnsweredAt.Before(at) {
			told[e.VM] = e.AnsweredAt
		}
	}
	return func(e userplatform.Exchange) bool {
		at, ok := told[e.VM]
		return e.Server == server && (management || e.VM != "") && ok && e.ArrivedAt.Sub(at) >= toldMargin
	}
}

// requireLimitKept fails if a server got more than the limit that it names allows. Spans
// that end limitContact after named or later count, since the rule may be read as looking
// back: all that a VM sends once it has been told.
func (s *site) requireLimitKept(servers []*userplatform.Server, named time.Time, perS float64) {
	s.t.Helper()
	s.requireWithin(servers, named, named.Add(limitContact-limitSpan), perS)
}

// requireWithin is requireLimitKept for spans that begin at from or later.
func (s *site) requireWithin(servers []*userplatform.Server, named, from time.Time, perS float64) {
	s.t.Helper()
	s.requireWithinOf(s.fleet.Exchanges(), servers, named, from, perS)
}

// requireWithinOf is requireWithin for given exchanges.
func (s *site) requireWithinOf(exchanges []userplatform.Exchange, servers []*userplatform.Server, named, from time.Time, perS float64) {
	s.t.Helper()
	allowed := int(limitFactor*perS*limitSpan.Seconds() + limitSlack)
	for _, server := range servers {
		for reading, management := range map[string]bool{"requests": false, "requests and calls beside them": true} {
			counts := countedFor(server.ID(), exchanges, named, management)
			most, first := userplatform.MostArrivals(exchanges, from, limitSpan, counts)
			later, _ := userplatform.MostArrivals(exchanges, laterOf(from, named.Add(limitContact)), limitSpan, counts)
			s.t.Logf("%s, limit %.1f: most %s in %v: %d, in spans that begin after %v: %d", server.ID(), perS, reading, limitSpan, most, limitContact, later)
			if most > allowed {
				s.t.Errorf("%s named a limit of %.1f a second and got %d %s in %v from VMs that it had told, from %v after the first naming on; allowed %d",
					server.ID(), perS, most, reading, limitSpan, first.ArrivedAt.Sub(named).Round(time.Millisecond), allowed)
			}
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// requireLimitUsed fails if a server got little of what it named between two times.
func (s *site) requireLimitUsed(servers []*userplatform.Server, from, to time.Time, perS float64) {
	s.t.Helper()
	want := limitUse * perS * to.Sub(from).Seconds()
	for _, server := range servers {
		got := 0
		for _, e := range s.fleet.Exchanges() {
			if e.Server == server.ID() && e.Request != "" && !e.ArrivedAt.Before(from) && e.ArrivedAt.Before(to) {
				got++
			}
		}
		s.t.Logf("%s, limit %.1f: %d requests in %v", server.ID(), perS, got, to.Sub(from).Round(time.Millisecond))
		if float64(got) < want {
			s.t.Errorf("%s named a limit of %.1f a second and got %d requests in %v, want %.0f or more", server.ID(), perS, got, to.Sub(from), want)
		}
	}
}

// requireServedOrRefused fails unless each request was served, or refused with a time to
// come back.
func requireServedOrRefused(t *testing.T, requests []offeredRequest) {
	t.Helper()
	bad := 0
	for _, r := range requests {
		if r.err == nil && (r.status == http.StatusOK || r.status == http.StatusServiceUnavailable && asksToComeBack(r.response)) {
			continue
		}
		if bad++; bad <= 3 {
			t.Errorf("%s: status %d, %v, Retry-After %q after %v", r.id, r.status, r.err, r.header.Get("Retry-After"), r.took)
		}
	}
	if bad > 0 {
		t.Errorf("%d of %d requests were neither served nor refused with a time to come back", bad, len(requests))
	}
}

func asksToComeBack(r response) bool {
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	return err == nil && seconds > 0
}

// Guards against servers that get far more than the limit that they have named, since each
// VM counts alone or none counts, and against limits that leave the servers idle.
func TestServersGetWhatTheyHaveNamed(t *testing.T) {
	t.Parallel()
	for name, vms := range map[string][]int{"all VMs send": allVMs(), "one VM sends": {0}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := plainLimitSite(t)
			load := s.newOfferedLoad(look)
			load.sendTo(offeredPerS, vms...)
			time.Sleep(500 * time.Millisecond)
			named := nameLimit(s.plainServers, limitValue(limitPerS))
			time.Sleep(limitLoadTime)
			end := time.Now()
			requireServedOrRefused(t, load.stop())
			s.requireLimitKept(s.plainServers, named, limitPerS)
			s.requireLimitUsed(s.plainServers, named.Add(limitContact), end, limitPerS)
		})
	}
}

// Guards against VMs that still hold back after a server has stopped naming a limit,
// because they send nothing by which they could learn it.
func TestEndOfALimitReachesAllVMs(t *testing.T) {
	t.Parallel()
	const (
		endBound = 2 * time.Second
		observed = 4 * time.Second
	)
	s := plainLimitSite(t)
	first := s.newOfferedLoad(look)
	first.sendTo(offeredPerS, 0)
	nameLimit(s.plainServers, limitValue(limitPerS))
	time.Sleep(limitSpan)
	nameLimit(s.plainServers)
	time.Sleep(endBound)
	first.stop()
	begin := time.Now()
	others := s.newOfferedLoad(look)
	others.sendTo(offeredPerS, 1, 2, 3, 4, 5)
	time.Sleep(observed)
	refused := 0
	requests := others.stop()
	for _, r := range requests {
		if r.err != nil || r.status != http.StatusOK {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d requests were not served although no server names a limit any more", refused, len(requests))
	}
	// Half of an equal share, since the balancer chooses at random among equal servers.
	s.requireLimitUsed(s.plainServers, begin, time.Now(), offeredPerS/limitServers/2/limitUse)
}

// Guards against VMs that keep to the limit that a server named first.
func TestLimitThatChanges(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name          string
		before, after float64
	}{{"down", 6, 2}, {"up", 2, 6}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := plainLimitSite(t)
			load := s.newOfferedLoad(look)
			load.sendTo(offeredPerS, allVMs()...)
			named := nameLimit(s.plainServers, limitValue(c.before))
			time.Sleep(limitContact)
			changed := nameLimit(s.plainServers, limitValue(c.after))
			time.Sleep(limitContact + limitSpan)
			end := time.Now()
			requireServedOrRefused(t, load.stop())
			s.requireWithin(s.plainServers, named, changed.Add(limitContact), c.after)
			s.requireLimitUsed(s.plainServers, changed.Add(limitContact), end, c.after)
		})
	}
}

// Guards against a VM that has started again and sends as if no server had named a limit.
func TestLimitIsKeptByAVMThatStartsAgain(t *testing.T) {
	t.Parallel()
	s := plainLimitSite(t)
	load := s.newOfferedLoad(look)
	load.sendTo(offeredPerS, allVMs()...)
	time.Sleep(500 * time.Millisecond)
	named := nameLimit(s.plainServers, limitValue(limitPerS))
	time.Sleep(limitContact)
	load.restart(1)
	time.Sleep(time.Until(named.Add(limitLoadTime)))
	load.stop()
	s.requireLimitKept(s.plainServers, named, limitPerS)
}

// Guards against a limit that is exceeded, or a server that is left idle, when the VM stops
// that shares it out among the others.
func TestLimitIsKeptWhenTheVMThatGrantsStops(t *testing.T) {
	t.Parallel()
	s := plainLimitSite(t)
	load := s.newOfferedLoad(look)
	load.sendTo(offeredPerS, allVMs()...)
	time.Sleep(500 * time.Millisecond)
	named := nameLimit(s.plainServers, limitValue(limitPerS))
	time.Sleep(time.Second)
	for vm := range limitVMs {
		load.restart(vm)
	}
	time.Sleep(max(time.Until(named.Add(limitLoadTime)), time.Second))
	end := time.Now()
	load.stop()
	s.requireLimitKept(s.plainServers, named, limitPerS)
	// Half, since in turn one VM of six is missing and the others may take a moment to agree.
	s.requireLimitUsed(s.plainServers, named.Add(limitContact), end, limitPerS/2/limitUse)
}

// Guards against streams and calls beside them that are not counted against the limit of an
// engine.
func TestLimitOfAnEngine(t *testing.T) {
	t.Parallel()
	s := sharedLimitSite(t, options{engines: 2, events: 40, interval: 50 * time.Millisecond})
	load := s.newOfferedLoad(func() request {
		a := check()
		a.header["Token-Count"] = "300,160" // The engines have memory for more than their slots.
		return a
	})
	load.sendTo(offeredEngine, allVMs()...)
	time.Sleep(500 * time.Millisecond)
	named := nameLimit(s.engines, limitValue(limitPerS))
	time.Sleep(limitLoadTime)
	end := time.Now()
	requireServedOrRefused(t, load.stop())
	s.requireLimitKept(s.engines, named, limitPerS)
	s.requireLimitUsed(s.engines, named.Add(limitContact), end, limitPerS/2/limitUse)
}

// Guards against requests that wait for a server until their time has passed, or run, when
// the limits of all servers leave no room for them.
func TestRequestsBeyondALimitAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	const (
		tinyPerS = 0.2
		// atOnce leaves time for a starved machine. The timeout of the route is 1 s.
		atOnce = 500 * time.Millisecond
	)
	s := plainLimitSite(t)
	load := s.newOfferedLoad(look)
	load.sendTo(offeredPerS, allVMs()...)
	named := nameLimit(s.plainServers, limitValue(tinyPerS))
	time.Sleep(limitContact + 3*time.Second)
	refused, late := 0, 0
	requests := load.stop()
	var counted []offeredRequest
	for _, r := range requests {
		if r.sentAt.Sub(named) >= limitContact {
			counted = append(counted, r)
		}
	}
	requireServedOrRefused(t, counted)
	for _, r := range counted {
		if r.status != http.StatusServiceUnavailable {
			continue
		}
		refused++
		if r.took > atOnce {
			late++
		}
		if runs := s.fleet.Runs(r.id); len(runs) > 0 {
			t.Errorf("%s was refused and ran on %v", r.id, runs)
		}
	}
	// The servers take 0.6 of 36 requests a second, and 5 each at once.
	if want := len(counted) * 8 / 10; refused < want {
		t.Errorf("%d of %d requests were refused, want %d or more", refused, len(counted), want)
	}
	if late > 0 {
		t.Errorf("%d of %d refusals took more than %v", late, refused, atOnce)
	}
	s.requireLimitKept(s.plainServers, named, tinyPerS)
}

// Guards against a header without a valid limit that stops the service of its server.
func TestInvalidLimitsDoNotStopService(t *testing.T) {
	t.Parallel()
	s := plainLimitSite(t)
	load := s.newOfferedLoad(look)
	load.sendTo(offeredPerS, allVMs()...)
	for _, value := range []string{"", " ", "abc", "-1", "nan", "inf", "-inf", "1e400", "0x10", "0x1p-4", "1_0", "4;q=1", strings.Repeat("9", 400)} {
		nameLimit(s.plainServers, value)
		time.Sleep(500 * time.Millisecond)
	}
	requests := load.stop()
	failed := 0
	for _, r := range requests {
		if r.err != nil || r.status != http.StatusOK {
			failed++
		}
	}
	if failed > 0 || len(requests) == 0 {
		t.Errorf("%d of %d requests failed", failed, len(requests))
	}
}

// Guards against a valid limit that is missed beside an invalid one, and against several
// limits that stop the service of their server.
func TestSeveralLimits(t *testing.T) {
	t.Parallel()
	for name, values := range map[string][]string{
		"beside an invalid one": {"abc", limitValue(limitPerS)}, "in two headers": {limitValue(limitPerS), "8.0"}, "in one header": {"8.0, " + limitValue(limitPerS)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := plainLimitSite(t)
			load := s.newOfferedLoad(look)
			load.sendTo(offeredPerS, allVMs()...)
			named := nameLimit(s.plainServers, values...)
			time.Sleep(limitContact + limitSpan)
			end := time.Now()
			requireServedOrRefused(t, load.stop())
			s.requireLimitKept(s.plainServers, named, limitPerS)
			s.requireLimitUsed(s.plainServers, named.Add(limitContact), end, limitPerS)
		})
	}
}
