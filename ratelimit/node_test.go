package ratelimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// pair is the owner of a service and another VM, whose messages the test delivers.
type pair struct {
	now          time.Duration
	owner, other *Node
	sequence     uint64
}

var pairVMs = []vmlist.VM{{ID: "vm-0"}, {ID: "vm-1"}}

// newPair returns two VMs that know a limit of testServer. The owner has free permits.
func newPair(rate Rate) *pair {
	p := &pair{now: time.Hour}
	for _, vm := range pairVMs {
		table := NewTable()
		table.Observe(p.now, 0, testServer, rate, true)
		n := NewNode(vm.ID, table, 1)
		n.SetView(p.now, View{EntryVMs: pairVMs})
		n.exchange.setSynced()
		if n.owner("service") == vm.ID {
			p.owner = n
		} else {
			p.other = n
		}
	}
	p.owner.service("service").bucket(testServer)
	p.pass(time.Minute - time.Second)
	return p
}

// pass lets time pass at the owner.
func (p *pair) pass(d time.Duration) (decisions []Decision) {
	for end := p.now + d; p.now < end; {
		p.now = min(p.now+TickInterval, end)
		decisions = append(decisions, p.owner.Tick(p.now).Decisions...)
	}
	return decisions
}

// request returns a request with a new sequence.
func (p *pair) request(aim, longest time.Duration) Request {
	p.sequence++
	return Request{Sequence: p.sequence, Service: "service", Servers: []serverstate.Server{testServer}, Organisation: "a", Priority: 1, AimWait: aim, MaxWait: longest}
}

// grantedAtOnce reports whether the owner grants a request of its own at once.
func (p *pair) grantedAtOnce(r Request) bool {
	for _, d := range p.owner.Request(p.now, r).Decisions {
		if d.Sequence == r.Sequence {
			return d.Granted
		}
	}
	return false
}

// reply returns the reply among the messages of an event, nil if there is none.
func reply(e Effects) *Reply {
	for _, out := range e.Send {
		if out.Message.Reply != nil {
			return out.Message.Reply
		}
	}
	return nil
}

func (p *pair) free() int { return int(p.owner.services[0].buckets[0].tokensAt(p.now)) }

// Guards against two owners that grant the same permits, after a takeover and after a pause
// of the owner, and against permits in advance that are forgotten with an owner.
func TestNewOwnerWaits(t *testing.T) {
	for name, takeOver := range map[string]func(p *pair){
		"takeover": func(p *pair) {
			p.owner.SetView(p.now, View{EntryVMs: []vmlist.VM{{ID: p.other.vm}}})
			p.owner.SetView(p.now, View{EntryVMs: pairVMs})
		},
		"pause": func(p *pair) { p.now += stallLimit + TickInterval },
		"start": func(p *pair) {
			p.owner = NewNode(p.owner.vm, p.owner.table, 2)
			p.owner.SetView(p.now, View{EntryVMs: pairVMs})
		},
	} {
		p := newPair(40)
		if !p.grantedAtOnce(p.request(0, 0)) {
			t.Fatalf("%s: no permit before", name)
		}
		takeOver(p)
		start := p.now
		for !p.grantedAtOnce(p.request(0, 0)) && p.now < start+5*time.Second {
			p.pass(TickInterval)
		}
		if waited := p.now - start; waited < takeoverHold+time.Second/40 || waited > 2*takeoverHold {
			t.Errorf("%s: a permit after %v", name, waited)
		}
	}
	p := newPair(0.1)
	p.owner.SetView(p.now, View{EntryVMs: []vmlist.VM{{ID: p.other.vm}}})
	p.owner.SetView(p.now, View{EntryVMs: pairVMs})
	urgent := p.request(0, 0)
	urgent.Urgent = true
	for p.pass(3900 * time.Millisecond); p.grantedAtOnce(urgent); urgent.Sequence++ { // the operator counts over 4 s
		t.Error("a new owner grants in advance")
	}
	p.pass(time.Second)
	p.owner.SetView(p.now, View{EntryVMs: pairVMs, Listed: 4})
	if urgent.Sequence++; p.grantedAtOnce(urgent) {
		t.Error("an owner grants in advance in half of the fleet")
	}
	p.owner.SetView(p.now, View{EntryVMs: pairVMs, Listed: 3})
	p.pass(15 * time.Second)
	if urgent.Sequence++; !p.grantedAtOnce(urgent) {
		t.Error("an owner grants nothing in advance")
	}
}

// Guards against permits that count twice or not at all: when a message is repeated, when
// a permit is given back twice, and when a request is withdrawn while its permit comes.
func TestPermitsCountOnce(t *testing.T) {
	p := newPair(40)
	for range 3 { // else what is given back twice is cut off at the capacity
		p.grantedAtOnce(p.request(0, 0))
	}
	free := p.free()
	ask := Message{Ask: &Ask{Request: p.request(0, 0), Attempt: 1}}
	sequences := []uint64{ask.Ask.Request.Sequence}
	for range 2 {
		if r := reply(p.owner.Receive(p.now, p.other.vm, ask)); r == nil || !r.Decision.Granted {
			t.Fatal("no permit")
		}
	}
	if got := p.free(); got != free-1 {
		t.Errorf("%d permits left of %d after one was granted", got, free)
	}
	for _, back := range []Message{{Withdraw: sequences}, {Return: sequences}, {Return: sequences}} {
		p.owner.Receive(p.now, p.other.vm, back)
	}
	if got := p.free(); got != free {
		t.Errorf("%d permits left of %d after it was given back", got, free)
	}
	if r := reply(p.owner.Receive(p.now, p.other.vm, ask)); r == nil || r.Decision.Granted {
		t.Error("a permit that was given back is granted again")
	}
	for i, want := range []int{0, -1} { // one late return in four seconds counts
		free = p.free()
		for range 3 {
			ask.Ask.Request.Sequence += 1000
			p.owner.Receive(p.now, p.other.vm, ask)
		}
		p.owner.services[0].buckets[0].at = p.now + 3*time.Second/2 // no new tokens meanwhile
		p.pass(3 * time.Second / 2)
		p.owner.Receive(p.now, p.other.vm, Message{Return: []uint64{ask.Ask.Request.Sequence, ask.Ask.Request.Sequence - 1000}})
		if got := p.free() - free + 2; got != want {
			t.Errorf("late return %d: %d permits too many", i, got-want)
		}
	}
}

// Guards against permits that are used after their lifetime, and so in a later period.
func TestLatePermitsAreNotUsed(t *testing.T) {
	for _, delay := range []time.Duration{PermitLifetime / 2, PermitLifetime + time.Millisecond} {
		p := newPair(40)
		e := p.other.Request(p.now, p.request(3*time.Second, 3*time.Second))
		r := reply(p.owner.Receive(p.now, p.other.vm, e.Send[0].Message))
		decisions := p.other.Receive(p.now+delay, p.owner.vm, Message{Reply: r}).Decisions
		if used := len(decisions) == 1; used != (delay < PermitLifetime) || used && decisions[0].ExpiresIn != PermitLifetime-delay {
			t.Errorf("after %v: %+v", delay, decisions)
		}
	}
}

// Guards against requests that wait for an owner that does not answer, and against VMs that
// do without an owner after it answers again.
func TestSilentOwner(t *testing.T) {
	p := newPair(40)
	tick := func(d time.Duration) (decisions []Decision) {
		for end := p.now + d; p.now < end; {
			p.now += TickInterval
			decisions = append(decisions, p.other.Tick(p.now).Decisions...)
		}
		return decisions
	}
	p.other.Request(p.now, p.request(0, 0))
	if d := tick(ownerTimeout); len(d) != 0 {
		t.Errorf("decided before the timeout: %+v", d)
	}
	d := tick(2 * TickInterval)
	if len(d) != 1 || !d[0].Floor || !d[0].Granted && (d[0].Reason != ReasonOwner || d[0].RetryAfter <= 0) {
		t.Errorf("decided without the owner: %+v", d)
	}
	if d := p.other.Request(p.now, p.request(0, 0)).Decisions; len(d) != 1 || !d[0].Floor {
		t.Errorf("a request waits for a silent owner: %+v", d)
	}
	for range 40 {
		p.other.Request(p.now, p.request(0, 0))
		for _, d := range tick(50 * time.Millisecond) {
			t.Errorf("late decision %+v", d)
		}
	}
	const part = 40 * floorRatio / 2 // of each of the two VMs
	if got := p.other.client.floored; got < 2*part-2 || got > 2*part+2 {
		t.Errorf("%d permits without an owner in 2 s, %v wanted", got, 2*part)
	}
	p.other.Receive(p.now, p.owner.vm, Message{Reply: &Reply{}})
	if d := p.other.Request(p.now, p.request(0, 0)).Decisions; len(d) != 0 {
		t.Errorf("the owner is not asked although it answers: %+v", d)
	}
}

// Guards against VMs that all use the permit at once that was free before an outage: a limit
// of 1 got 16 requests in 4 s from 18 VMs.
func TestOutagesBeginWithoutPermits(t *testing.T) {
	granted := 0
	for seed := range uint64(200) {
		vms := make([]vmlist.VM, 18)
		for i := range vms {
			vms[i].ID = fmt.Sprint("vm-", i)
		}
		p := &pair{now: time.Hour, other: NewNode("vm-x", NewTable(), seed)}
		p.other.table.Observe(p.now, 0, testServer, 1, true)
		for i := range 2 { // the first owner is silent and replaced, the second one is silent a minute later
			p.now += time.Duration(i) * time.Minute
			p.other.SetView(p.now, View{EntryVMs: vms, Listed: 18})
			for range 20 {
				p.now += TickInterval
				decisions := append(p.other.Tick(p.now).Decisions, p.other.Request(p.now, p.request(0, 0)).Decisions...)
				for _, d := range decisions {
					granted += map[bool]int{true: i}[d.Granted]
				}
			}
			owner := p.other.owner("service")
			vms = slices.DeleteFunc(slices.Clone(vms), func(vm vmlist.VM) bool { return vm.ID == owner })
		}
	}
	if granted > 2*200/36 { // half a second of an interval of 18 s
		t.Errorf("%d of 200 VMs have a permit at once", granted)
	}
}

// Guards against a waiting request that more urgent ones push beyond its bound, and that
// learns of it only when its time is over.
func TestDisplacedRequestsAreDeniedAtOnce(t *testing.T) {
	p := newPair(2)
	for p.grantedAtOnce(p.request(0, 0)) {
	}
	r := p.request(time.Second, 3*time.Second)
	if d := p.owner.Request(p.now, r).Decisions; len(d) != 0 {
		t.Fatalf("the request does not wait: %+v", d)
	}
	for range 4 {
		urgent := p.request(3*time.Second, 3*time.Second)
		urgent.Priority = 0
		p.owner.Request(p.now, urgent)
	}
	d := p.pass(2 * TickInterval)
	if len(d) != 1 || d[0].Sequence != r.Sequence || d[0].Reason != ReasonDisplaced || d[0].RetryAfter < time.Second {
		t.Errorf("decisions after more urgent requests: %+v", d)
	}
}

// Guards against VMs that ask for each request although the owner has told them when to ask
// again, and against ones that do not ask after that time or for other requests.
func TestDeniedVMsDoNotAskAgain(t *testing.T) {
	p := newPair(2)
	for p.grantedAtOnce(p.request(0, 0)) {
	}
	e := p.other.Request(p.now, p.request(0, 0))
	r := reply(p.owner.Receive(p.now, p.other.vm, e.Send[0].Message))
	if r == nil || r.Decision.Granted || len(r.Decision.AskAgain) != 1 {
		t.Fatalf("reply %+v", r)
	}
	p.other.Receive(p.now, p.owner.vm, Message{Reply: r})
	asks := func(r Request) bool { return len(p.other.Request(p.now, r).Send) > 0 }
	if asks(p.request(0, 0)) {
		t.Error("the owner is asked again at once")
	}
	longer, more := p.request(time.Second, time.Second), p.request(0, 0)
	more.Priority = 0
	if !asks(longer) || !asks(more) {
		t.Error("the owner is not asked for a request that can wait or is more urgent")
	}
	p.now += r.Decision.AskAgain[0].For + 1
	if !asks(p.request(0, 0)) {
		t.Error("the owner is not asked when a permit may be free")
	}
}

// Guards against a VM that starts and sends to a server whose limit its peers know.
func TestStartedVMLearnsRecords(t *testing.T) {
	p := newPair(40)
	started := NewNode(p.other.vm, NewTable(), 3)
	if started.Synced() {
		t.Error("synced without a view")
	}
	e := started.SetView(p.now, View{EntryVMs: pairVMs})
	if started.Synced() || len(e.Send) != 1 || !e.Send[0].Message.Pull {
		t.Fatalf("synced %v, messages %+v", started.Synced(), e.Send)
	}
	e = p.owner.Receive(p.now, started.vm, e.Send[0].Message)
	started.Receive(p.now, p.owner.vm, e.Send[0].Message)
	if _, limited := started.table.Limited(testServer); !limited || !started.Synced() {
		t.Errorf("limited %v, synced %v", limited, started.Synced())
	}
	one, other := NewNode("vm-0", NewTable(), 4), NewNode("vm-1", NewTable(), 5)
	one.SetView(p.now, View{EntryVMs: pairVMs})
	e = other.SetView(p.now, View{EntryVMs: pairVMs})
	if e = one.Receive(p.now, "vm-1", e.Send[0].Message); len(e.Send) > 0 {
		t.Errorf("two VMs that start exchange messages without end: %+v", e.Send)
	}
	for _, now := range []time.Duration{p.now + startGrace - 1, p.now + startGrace} {
		if one.Tick(now); one.Synced() != (now == p.now+startGrace) {
			t.Errorf("synced %v by a VM that has just started, after %v", one.Synced(), now-p.now)
		}
	}
	alone := NewNode("vm-0", NewTable(), 3)
	alone.SetView(p.now, View{EntryVMs: pairVMs[:1]})
	if !alone.Synced() {
		t.Error("a VM without peers is not synced")
	}
}
