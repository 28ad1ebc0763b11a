package quarantine

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/hash"
)

// world drives one node with runs of named parts.
type world struct {
	t    *testing.T
	n    *Node
	now  time.Duration
	runs int
}

func newWorld(t *testing.T) *world { return &world{t: t, n: NewNode(), now: time.Hour} }

func (w *world) prompt(parts ...string) *Request {
	w.runs++
	return NewRequest(fmt.Sprintf("request-%d", w.runs), Content{Pool: "pool", Parts: parts})
}

// crash lets a server crash under one run per request.
func (w *world) crash(server string, requests ...*Request) {
	for _, r := range requests {
		w.n.RunFailed(w.now, Failure{Run: r.Run, Server: uint32(hash.Pair(server, "")), Organisation: r.Organisation, Keys: r.keys()}, w.now-time.Second)
	}
}

// crashes lets engines crash one second apart under a run of the parts each.
func (w *world) crashes(count int, parts ...string) {
	for range count {
		w.runs++
		w.crash(fmt.Sprintf("engine-%d", w.runs), w.prompt(parts...))
		w.pass(time.Second)
	}
}

func (w *world) succeed(parts ...string) { w.n.RunSucceeded(w.now, w.prompt(parts...).Parts) }

func (w *world) pass(d time.Duration) {
	w.now += d
	w.n.Check(w.now)
}

func never(Rule) *atomic.Bool  { return nil }
func always(Rule) *atomic.Bool { return &atomic.Bool{} }

func (w *world) refused(parts ...string) bool {
	p := w.prompt(parts...)
	return newView(w.n, w.now, never).check(w.now, p) != nil
}

func (w *world) want(refused bool, parts ...string) {
	w.t.Helper()
	if got := w.refused(parts...); got != refused {
		w.t.Errorf("prompt %v refused: %t, want %t; rules %v", parts, got, refused, w.n.Rules())
	}
}

// Guards against a part that crashes one engine after the other without being refused,
// wherever it stands in a prompt, and against refusing other prompts.
func TestPartIsQuarantinedAfterSeparateCrashes(t *testing.T) {
	w := newWorld(t)
	w.crashes(1, "dead", "a")
	w.crashes(1, "b", "c", "dead")
	w.want(false, "dead", "x")
	w.crashes(1, "d", "dead")
	w.want(true, "dead", "x")
	w.want(true, "x", "y", "dead")
	for _, sound := range []string{"a", "b", "c", "d", "x"} {
		w.want(false, sound)
	}
}

// Guards against rules from an event that takes many engines at once, such as the
// loss of a zone, and against one unlucky run that was sent to one engine after another.
func TestOneEventAndOneRunQuarantineNothing(t *testing.T) {
	w := newWorld(t)
	for i := range 8 {
		w.crash(fmt.Sprintf("engine-%d", i), w.prompt("common", "tenant"), w.prompt("common"))
	}
	w.pass(time.Second)
	w.want(false, "common", "tenant")
	unlucky := w.prompt("rare")
	for i := range 4 {
		w.crash(fmt.Sprintf("again-%d", i), unlucky)
		w.pass(time.Second)
	}
	w.want(false, "rare")
}

// Guards against taking an engine that resets its runs for a fault of their prompts, and
// against a part that escapes because few engines crash again and again.
func TestCrashesOfTheSameEngine(t *testing.T) {
	w := newWorld(t)
	for range 10 {
		w.crash("grey", w.prompt("part"))
		w.pass(time.Second)
	}
	w.want(false, "part")
	w.crash("other", w.prompt("part"))
	w.pass(time.Second)
	w.want(true, "part")
}

// Guards against refusing a part with which other runs succeed while engines crash for
// other reasons.
func TestSuccessfulPartIsNotQuarantined(t *testing.T) {
	w := newWorld(t)
	for range 10 {
		w.crashes(1, "common")
		w.succeed("common")
	}
	w.pass(2 * time.Second)
	w.want(false, "common")
	w.crashes(minCrashesAfterSuccess-1, "common")
	w.want(false, "common")
	w.crashes(1, "common")
	w.want(true, "common") // It was sound and crashes engines now.
}

// Guards against a rule that stays although a run on another VM has succeeded, and
// against adopting it again from a VM that has not heard so.
func TestSuccessOnAnotherVMEndsAQuarantine(t *testing.T) {
	w := newWorld(t)
	w.crashes(3, "part")
	w.want(true, "part")
	success := Success{Key: w.prompt("part").Parts[0], At: w.now}
	e := w.n.Receive(w.now, Message{Successes: []Success{success}})
	w.want(false, "part")
	if len(e.Removed) != 1 || !slices.Contains(e.Send.Successes, success) {
		t.Errorf("effects %+v", e)
	}
	// A VM that does not know the success gets it in reply to its rule.
	e = w.n.Receive(w.now, Message{Rules: []Rule{{Keys: []Key{success.Key}, Since: w.now - time.Second, Until: w.now + time.Minute, Activations: 1}}})
	w.want(false, "part")
	if len(e.Reply.Successes) != 1 {
		t.Errorf("effects %+v", e)
	}
}

// Guards against refusing sound prompts that share all parts but one with those that
// crash engines, while nothing tells these parts apart.
func TestPartsThatFailTogetherAreRefusedTogether(t *testing.T) {
	w := newWorld(t)
	w.crashes(3, "first", "tenant", "dead")
	w.want(true, "first", "tenant", "dead")
	w.want(true, "dead", "tenant", "other", "first")
	w.want(false, "first", "tenant")
	w.want(false, "dead")
	w.succeed("first", "tenant")
	w.want(false, "first", "tenant")
	w.want(true, "dead") // The only part that is left.
}

// Guards against a part that escapes because its first crashes had other parts in
// common: one crash without them is enough.
func TestOneCrashTellsPartsApart(t *testing.T) {
	w := newWorld(t)
	w.crashes(3, "first", "dead")
	w.want(false, "dead", "x")
	w.crashes(1, "dead", "x")
	w.want(true, "dead", "y")
	w.want(false, "first", "y")
	w.want(false, "x")
}

// Guards against refusing a sound part that sound work has stopped using, so that only
// prompts that crash engines still hold it.
func TestPartThatSoundWorkNoLongerUses(t *testing.T) {
	w := newWorld(t)
	w.succeed("template")
	w.pass(time.Minute)
	w.crashes(4, "template", "dead")
	w.want(true, "template", "dead")
	w.want(false, "template", "x")
	w.want(true, "dead", "x")
}

// Guards against innocent runs on the crashed engines hiding the part, and against being
// quarantined with it.
func TestRunsBesideTheCrashingOneAreNotQuarantined(t *testing.T) {
	w := newWorld(t)
	for i := range 4 {
		others := []*Request{w.prompt("dead", "x")}
		for j := range 23 {
			others = append(others, w.prompt("common", fmt.Sprintf("session-%d", 100*i+j)))
		}
		w.crash(fmt.Sprintf("engine-%d", i), others...)
		w.succeed("common")
		w.pass(time.Second)
	}
	w.want(true, "dead", "x")
	w.want(false, "common", "session-1")
	w.want(false, "common")
}

// Guards against a second part that is taken for an effect of the first.
func TestTwoPartsAtOnce(t *testing.T) {
	w := newWorld(t)
	for range 3 {
		w.crashes(1, "one", "common")
		w.succeed("common")
		w.crashes(1, "two", "common")
		w.succeed("common")
	}
	w.want(true, "one")
	w.want(true, "two")
	w.want(false, "common")
}

// Guards against a rule without end, against more than one crash when it expires, and
// against as many crashes per minute as at first.
func TestExpiredRuleIsProbedByOneRequest(t *testing.T) {
	w := newWorld(t)
	w.crashes(3, "dead")
	since := w.n.Rules()[0].Until - initialDuration
	w.now = since + initialDuration
	w.n.Check(w.now)
	w.want(true, "dead") // The probe belongs to another VM.
	v := newView(w.n, w.now, always)
	first, second := w.prompt("dead"), w.prompt("dead")
	for range 2 { // It is checked before each send.
		if v.check(w.now, first) != nil {
			t.Error("the probe is refused")
		}
	}
	if v.check(w.now, second) == nil {
		t.Error("a second probe is admitted")
	}
	if v.mayRepeat(first) {
		t.Error("the probe may be repeated on another engine")
	}
	w.crash("probe", first)
	if until := w.n.Rules()[0].Until; until-w.now != quarantineDuration(2) || quarantineDuration(2) <= 2*quarantineDuration(1) {
		t.Errorf("renewed for %v, want %v", until-w.now, quarantineDuration(2))
	}
	if newView(w.n, w.now, always).check(w.now, first) == nil {
		t.Error("the probe is repeated after it has crashed an engine")
	}
	w.now += quarantineDuration(2)
	w.n.Check(w.now)
	w.succeed("dead")
	w.want(false, "dead")
}

// Guards against a run that is not repeated because of a part that has succeeded since
// engines crashed for other reasons.
func TestSuccessfulPartIsNoSuspect(t *testing.T) {
	w := newWorld(t)
	mayRepeat := func() bool { return newView(w.n, w.now, never).mayRepeat(w.prompt("common")) }
	w.crashes(1, "common")
	if !mayRepeat() {
		t.Error("a single crash ends all repeats")
	}
	w.crashes(1, "common")
	if mayRepeat() {
		t.Error("a run is repeated after two crashes")
	}
	if e := w.n.RunSucceeded(w.now, w.prompt("common").Parts); !e.Changed || !mayRepeat() {
		t.Errorf("the success changes nothing: %+v", e)
	}
}

// Guards against tables that grow with the part ids that callers choose, and against
// losing a rule to them.
func TestCallersCannotFillTheTables(t *testing.T) {
	w := newWorld(t)
	w.crashes(3, "dead")
	for i := range maxFailures + 20 {
		var parts []string
		for j := range 2 * maxKeys {
			parts = append(parts, fmt.Sprintf("%d-%d", i, j))
		}
		w.crash(fmt.Sprintf("noise-%d", i), w.prompt(parts...))
		w.n.RunSucceeded(w.now, w.prompt(parts...).Parts)
		w.now += 10 * time.Millisecond
	}
	if len(w.n.failures) > maxFailures || w.n.partSuccesses.Len() > maxPartSuccesses || w.n.seen.Len() > maxSeenFailures {
		t.Errorf("%d failures, %d successes, %d seen", len(w.n.failures), w.n.partSuccesses.Len(), w.n.seen.Len())
	}
	w.want(true, "dead")
	for i := range 2 * maxRules {
		w.crashes(3, fmt.Sprintf("other-%d", i))
	}
	if n := len(w.n.Rules()); n > maxRules {
		t.Errorf("%d rules", n)
	}
}

// Guards against a prompt with so many parts that it pushes the successes of all other parts
// out of the table.
func TestLongPromptKeepsSuccessesOfOthers(t *testing.T) {
	w := newWorld(t)
	w.succeed("common")
	var parts []string
	for i := range 2 * maxPartSuccesses {
		parts = append(parts, fmt.Sprintf("part-%d", i))
	}
	w.succeed(parts...)
	if !w.n.partSuccesses.Contains(w.prompt("common").Parts[0]) {
		t.Error("the success is gone")
	}
}

// Guards against forwarding the same updates again and again between VMs.
func TestKnownUpdatesAreNotForwarded(t *testing.T) {
	w := newWorld(t)
	w.crashes(3, "dead")
	p := w.prompt("dead", "x")
	updates := Message{
		Failures:  []Failure{{Run: p.Run, Server: 1, At: w.now, Keys: p.Parts}},
		Successes: []Success{{Key: w.prompt("x").Parts[0], At: w.now}},
		Rules:     w.n.Rules(),
	}
	other := NewNode()
	if e := other.Receive(w.now, updates); len(e.Send.Failures) != 1 || len(e.Send.Successes) != 1 || len(e.Send.Rules) != 1 {
		t.Errorf("first: %+v", e.Send)
	}
	if e := other.Receive(w.now, updates); !e.Send.Empty() {
		t.Errorf("again: %+v", e.Send)
	}
	if other.Digest() != w.n.Digest() || other.Digest() == 0 {
		t.Errorf("digests %d, %d", other.Digest(), w.n.Digest())
	}
}
