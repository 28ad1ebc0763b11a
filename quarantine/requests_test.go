package quarantine

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"
)

// request returns a repeat of a request.
func (w *world) request(organisation, target string, parts ...string) *Request {
	w.runs++
	return NewRequest(fmt.Sprintf("request-%d", w.runs), Content{Method: "GET", Target: target, Organisation: organisation, Pool: "pool", Parts: parts})
}

// crashRequests lets servers crash under a repeat of a request each, an interval apart.
func (w *world) crashRequests(count int, interval time.Duration, organisation, target string, parts ...string) {
	for range count {
		r := w.request(organisation, target, parts...)
		w.crash(fmt.Sprintf("server-%d", w.runs), r)
		w.pass(interval)
	}
}

func (w *world) answer(r *Request) Effects { return w.n.RunSucceeded(w.now, r.keys()) }

// admit checks a request on a VM that may start probes, as Manager does.
func (w *world) admit(r *Request) bool {
	v := newView(w.n, w.now, always)
	if v.check(w.now, r) != nil {
		return false
	}
	for _, p := range r.probes {
		if _, started := w.n.StartProbe(w.now, p); !started {
			return false
		}
	}
	return true
}

func (w *world) wantRequest(refused bool, r *Request) {
	w.t.Helper()
	if err := newView(w.n, w.now, never).check(w.now, r); (err != nil) != refused {
		w.t.Errorf("refused: %v, want %t; rules %v", err, refused, w.n.Rules())
	}
}

// Guards against a request that crashes one server after the other, and against refusing
// another organisation's same request.
func TestRequestIsRefusedFromTheSecondCrash(t *testing.T) {
	w := newWorld(t)
	w.crashRequests(1, 50*time.Millisecond, "org", "/dead")
	w.wantRequest(false, w.request("org", "/dead"))
	w.crashRequests(1, 0, "org", "/dead")
	w.wantRequest(true, w.request("org", "/dead")) // before there is a rule
	for _, sound := range []*Request{w.request("org", "/sound"), w.request("other", "/dead")} {
		w.wantRequest(false, sound)
	}
	w.pass(settleDelay)
	if rules := w.n.Rules(); len(rules) != 1 || !rules[0].suspects() {
		t.Fatalf("rules %+v", rules)
	}
	w.pass(firstProbeDelay)
	probe := w.request("org", "/dead")
	if !w.admit(probe) || w.admit(w.request("org", "/dead")) {
		t.Error("not exactly one probe")
	}
	w.wantRequest(false, probe) // It is checked before each send.
	w.crash("third", probe)
	w.wantRequest(true, probe)
	w.pass(settleDelay)
	if rules := w.n.Rules(); len(rules) != 1 || rules[0].Activations != 1 || rules[0].Until != w.now+initialDuration {
		t.Errorf("rules %+v", rules)
	}
}

// Guards against a request without known effects that is refused for good since a zone with
// several servers was lost, and against a rule that stays after the success of its probe.
func TestZoneLossOnlySuspectsARequest(t *testing.T) {
	w := newWorld(t)
	w.crashRequests(8, 10*time.Millisecond, "org", "/slow")
	w.pass(settleDelay)
	if rules := w.n.Rules(); len(rules) != 1 || !rules[0].suspects() {
		t.Fatalf("rules %+v", rules)
	}
	w.pass(firstProbeDelay)
	probe := w.request("org", "/slow")
	if !w.admit(probe) {
		t.Fatal("no probe")
	}
	w.pass(3 * time.Second)
	if e := w.answer(probe); len(e.Removed) != 1 || len(e.Send.Successes) != 1 {
		t.Errorf("effects %+v", e)
	}
	w.wantRequest(false, w.request("org", "/slow"))
}

// Guards against one unlucky run, a server that resets its runs, and crashes with answers in
// between, that make a request suspect.
func TestSoundRequestIsNoSuspect(t *testing.T) {
	w := newWorld(t)
	for range 10 {
		w.crash("grey", w.request("org", "/sound"))
		w.pass(time.Second)
		w.wantRequest(false, w.request("org", "/sound"))
	}
	w.answer(w.request("org", "/sound"))
	for range 10 {
		w.crashRequests(1, time.Second, "org", "/sound")
		w.answer(w.request("org", "/sound"))
		w.wantRequest(false, w.request("org", "/sound"))
	}
}

// Guards against blaming a request that is often in flight for the crashes by another one.
func TestHotRequestBesideTheCrashingOne(t *testing.T) {
	w := newWorld(t)
	w.answer(w.request("org", "/hot"))
	for i := range 4 {
		w.pass(time.Second)
		w.crash(fmt.Sprintf("server-%d", i), w.request("org", "/hot"), w.request("org", "/dead"), w.request("other", fmt.Sprintf("/once-%d", i)))
		w.wantRequest(false, w.request("org", "/hot"))
	}
	w.pass(settleDelay)
	w.wantRequest(true, w.request("org", "/dead"))
	w.wantRequest(false, w.request("org", "/hot"))
	w.crashRequests(2, time.Second, "org", "/hot") // two crashes without the other request
	w.wantRequest(true, w.request("org", "/hot"))
}

// Guards against probes beyond the bound after two VMs have started a probe at once.
func TestProbesStartedAtOnceCountEach(t *testing.T) {
	w := newWorld(t)
	w.crashRequests(2, 0, "org", "/dead")
	w.pass(settleDelay)
	w.pass(firstProbeDelay)
	crashes := 0
	for end := w.now + 12*time.Hour; w.now < end; w.pass(time.Second) {
		r := w.request("org", "/dead")
		if !w.admit(r) {
			continue
		}
		crashes++
		w.crash(fmt.Sprintf("server-%d", w.runs), r)
		if crashes == 1 { // The announcements of two VMs have crossed.
			w.pass(settleDelay) // The first crash has led to the quarantine.
			crashes++
			w.crash("another", w.request("org", "/dead"))
		}
	}
	if crashes != maxProbes {
		t.Errorf("%d probes, %d allowed", crashes, maxProbes)
	}
}

// Guards against a sound request that is quarantined since its probe was on the server that
// the probe of the crashing one took along.
func TestProbesOnTheSameServer(t *testing.T) {
	w := newWorld(t)
	for i := range 2 {
		w.crash(fmt.Sprintf("server-%d", i), w.request("org", "/dead"), w.request("org", "/slow"))
	}
	w.pass(settleDelay)
	w.pass(firstProbeDelay)
	dead, slow := w.request("org", "/dead"), w.request("org", "/slow")
	if !w.admit(dead) || !w.admit(slow) {
		t.Fatal("no probes")
	}
	w.crash("third", dead, slow)
	w.pass(settleDelay)
	w.pass(2 * minProbeInterval)
	dead, slow = w.request("org", "/dead"), w.request("org", "/slow")
	if !w.admit(dead) || !w.admit(slow) {
		t.Fatal("no second probes")
	}
	w.crash("fourth", dead)
	w.pass(settleDelay)
	w.answer(slow)
	w.wantRequest(false, w.request("org", "/slow"))
	if rules := w.n.Rules(); len(rules) != 1 || rules[0].Activations != 1 || rules[0].Spent != 2 {
		t.Errorf("rules %+v", rules)
	}
}

// Guards against a sound request that is refused for minutes since it was in flight at
// crashes, when probes of it are lost.
func TestLostProbeIsFollowedByAnother(t *testing.T) {
	w := newWorld(t)
	w.crashRequests(2, 0, "org", "/slow")
	w.pass(settleDelay)
	w.pass(firstProbeDelay)
	for i, interval := range []time.Duration{minProbeInterval, 2 * minProbeInterval, 4 * minProbeInterval} {
		if !w.admit(w.request("org", "/slow")) {
			t.Fatalf("no probe %d", i)
		}
		w.pass(interval - time.Millisecond)
		if w.admit(w.request("org", "/slow")) {
			t.Errorf("probe %d comes early", i+1)
		}
		w.pass(time.Millisecond)
	}
}

// Guards against probes without end of a request that crashes servers, and against a rule
// that stays for good or ends although it still refuses requests.
func TestProbesOfARequestAreBounded(t *testing.T) {
	w := newWorld(t)
	w.crashRequests(2, 0, "org", "/dead")
	var admitted []time.Duration
	start := w.now
	for ; w.now < start+30*time.Hour; w.pass(5 * time.Second) {
		r := w.request("org", "/dead")
		if w.admit(r) {
			admitted = append(admitted, w.now-start)
			w.crash(fmt.Sprintf("server-%d", w.runs), r)
		}
		for _, rule := range w.n.Rules() {
			w.n.Refused(rule.id(), w.now)
		}
	}
	if len(admitted) != maxProbes || admitted[1]-admitted[0] > 70*time.Second || admitted[2]-admitted[1] < time.Hour {
		t.Errorf("admitted at %v", admitted)
	}
	w.pass(requestLifetime - time.Minute)
	w.wantRequest(true, w.request("org", "/dead"))
	w.pass(2 * time.Minute)
	w.wantRequest(false, w.request("org", "/dead"))
}

// Guards against a request with successes that is probed more often than the operator
// allows, since it takes more crashes until it is quarantined.
func TestRequestThatHasSucceededBeforeIsBounded(t *testing.T) {
	w := newWorld(t)
	w.answer(w.request("org", "/dead"))
	w.pass(time.Second)
	crashes := 0
	for end := w.now + 12*time.Hour; w.now < end; w.pass(time.Second) {
		if r := w.request("org", "/dead"); w.admit(r) {
			crashes++
			w.crash(fmt.Sprintf("server-%d", w.runs), r)
		}
	}
	if crashes > 3+maxProbes {
		t.Errorf("%d crashes", crashes)
	}
}

// Guards against refusing streams that share a part with a request that crashes engines.
func TestPartOfOneCrashingRequestIsNotQuarantined(t *testing.T) {
	w := newWorld(t)
	for i := range 5 {
		w.crash(fmt.Sprintf("engine-%d", i), w.request("org", "/dead", "common"), w.request("org", fmt.Sprintf("/%d", i), "common"))
		w.pass(time.Second)
	}
	w.wantRequest(true, w.request("org", "/dead", "common"))
	w.wantRequest(false, w.request("org", "/other", "common"))
	w.want(false, "common")
}

// Guards against a part that crashes engines and escapes, since its first crashes were those
// of one request.
func TestPartIsFoundAfterAnotherRequest(t *testing.T) {
	w := newWorld(t)
	w.crashRequests(3, time.Second, "org", "/first", "dead")
	w.want(false, "dead")
	w.crashRequests(1, time.Second, "org", "/second", "dead")
	w.want(true, "dead")
	w.wantRequest(true, w.request("org", "/third", "dead"))
}

// Guards against one organisation whose varied requests push the rules and the evidence of
// others out of the tables.
func TestFloodOfOneOrganisation(t *testing.T) {
	w := newWorld(t)
	w.crashRequests(3, time.Second, "org", "/dead")
	w.crashRequests(1, time.Second, "org", "/one-crash")
	w.crash("engine-a", w.request("org", "/parts", "dead"), w.request("org", "/x", "x"))
	for i := range maxFailures/2 + maxRules { // more failures and suspicions than there is room for
		w.crashRequests(2, 100*time.Millisecond, "flood", fmt.Sprintf("/%d", i))
	}
	if len(w.n.failures) > maxFailures || len(w.n.rules) > maxRules {
		t.Errorf("%d failures, %d rules", len(w.n.failures), len(w.n.rules))
	}
	w.wantRequest(true, w.request("org", "/dead"))
	w.crashRequests(1, time.Second, "org", "/one-crash")
	w.wantRequest(true, w.request("org", "/one-crash"))
}

// Guards against ordinary traffic that pushes out the successes of parts.
func TestRequestsKeepSuccessesOfParts(t *testing.T) {
	w := newWorld(t)
	w.succeed("common")
	for i := range maxPartSuccesses + 1 {
		w.answer(w.request("org", fmt.Sprintf("/%d", i)))
	}
	if !w.n.partSuccesses.Contains(w.prompt("common").Parts[0]) || w.n.requestSuccesses.Len() > maxRequestSuccesses {
		t.Errorf("the success is gone, or %d successes of requests are kept", w.n.requestSuccesses.Len())
	}
}

// Guards against a request that a VM repeats on another server although it has crashed one
// in another run, and against one that is not repeated after its first crash.
func TestRepeatsOfRequests(t *testing.T) {
	w := newWorld(t)
	mayRepeat := func(r *Request) bool { return newView(w.n, w.now, never).mayRepeat(r) }
	crash := func(server uint32, requests ...*Request) {
		for _, r := range requests {
			r.crashed = append(r.crashed, server)
			w.n.RunFailed(w.now, Failure{Run: r.Run, Server: server, Keys: r.keys()}, w.now)
		}
	}
	first, beside, second := w.request("org", "/a"), w.request("org", "/a"), w.request("org", "/a")
	crash(1, first, beside)
	if !mayRepeat(first) || !mayRepeat(beside) {
		t.Error("not repeated after one crash")
	}
	crash(2, second)
	if mayRepeat(first) || mayRepeat(second) {
		t.Error("repeated after a crash in another run")
	}
	w.pass(time.Second)
	w.answer(w.request("org", "/a"))
	third := w.request("org", "/a")
	crash(3, third)
	if !mayRepeat(third) {
		t.Error("not repeated although the request was answered since the other crash")
	}
}

// Guards against a probe of a rule that another VM has started meanwhile.
func TestStartOfAProbeIsKnownToPeers(t *testing.T) {
	w := newWorld(t)
	w.crashRequests(2, 0, "org", "/dead")
	w.pass(settleDelay)
	w.pass(firstProbeDelay)
	other := NewNode()
	other.Receive(w.now, Message{Rules: w.n.Rules()})
	r := w.request("org", "/dead")
	v := newView(w.n, w.now, func(Rule) *atomic.Bool { return &atomic.Bool{} })
	if v.check(w.now, r) != nil {
		t.Fatal("no probe")
	}
	e, _ := other.StartProbe(w.now, r.probes[0])
	w.n.Receive(w.now, decode(w.now, envelope(w.now, e.Send).GetQuarantine()))
	if _, started := w.n.StartProbe(w.now, r.probes[0]); started {
		t.Error("two VMs start the same probe")
	}
	if w.n.Digest() != other.Digest() || w.n.Rules()[0].Started == 0 {
		t.Errorf("rules %+v and %+v", w.n.Rules(), other.Rules())
	}
}
