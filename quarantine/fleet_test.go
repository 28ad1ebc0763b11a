package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanillaarch/vanillaarch/membership"
)

// Parameters of the simulated fleet.
const (
	fleetFanout    = 4
	fleetHeartbeat = 500 * time.Millisecond
	fleetDelay     = 3 * time.Millisecond
	// fleetContact is the operator's bound from which a crashing prompt must be refused.
	fleetContact = 3 * time.Second
	// maxControlRate is the control traffic that a VM may send, in bytes per second.
	maxControlRate = 2 << 10
)

// fleet is a set of nodes that exchange messages with their heartbeat targets, as
// Manager does.
type fleet struct {
	now   time.Duration
	r     *rand.Rand
	nodes []*Node
	peers [][]int
	queue deliveries
	// loss is the fraction of lost messages.
	loss float64
	sent []int
	// checkAt is when each node asks to be checked, 0 if it does not.
	checkAt []time.Duration
	// views holds the view of each node, nil if it must be built again.
	views []*View
	// cut tells which nodes exchange no messages with the others.
	cut []bool
}

type delivery struct {
	at       time.Duration
	from, to int
	message  Message
	// digest is that of a heartbeat, if heartbeat is set.
	heartbeat bool
	digest    uint64
}

type deliveries []delivery

func (d deliveries) Len() int           { return len(d) }
func (d deliveries) Less(i, j int) bool { return d[i].at < d[j].at }
func (d deliveries) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)        { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func newFleet(size int, loss float64) *fleet {
	f := &fleet{now: time.Hour, r: rand.New(rand.NewPCG(1, uint64(size))), loss: loss, sent: make([]int, size), checkAt: make([]time.Duration, size), views: make([]*View, size), cut: make([]bool, size)}
	ids := make([]string, size)
	index := map[string]int{}
	for i := range ids {
		ids[i] = fmt.Sprintf("vm-%d", i)
		index[ids[i]] = i
	}
	for _, id := range ids {
		f.nodes = append(f.nodes, NewNode())
		d := membership.NewDetector(id, fleetFanout, 2*time.Second, 1)
		d.SetVMs(time.Unix(0, 0), ids)
		var peers []int
		for _, target := range gossipTargets(d.Targets()) {
			peers = append(peers, index[target])
		}
		f.peers = append(f.peers, peers)
	}
	return f
}

// perform sends what the effects of an event on a node ask for.
func (f *fleet) perform(node, from int, e Effects) {
	f.checkAt[node] = e.CheckAt
	f.views[node] = nil
	if !e.Send.Empty() {
		for _, peer := range f.peers[node] {
			if peer != from {
				f.send(delivery{from: node, to: peer, message: e.Send})
			}
		}
	}
	if from >= 0 && !e.Reply.Empty() {
		f.send(delivery{from: node, to: from, message: e.Reply})
	}
}

func (f *fleet) send(d delivery) {
	if !d.message.Empty() {
		f.sent[d.from] += proto.Size(envelope(f.now, d.message))
	}
	if f.r.Float64() >= f.loss && f.cut[d.from] == f.cut[d.to] {
		d.at = f.now + fleetDelay
		heap.Push(&f.queue, d)
	}
}

// runUntil delivers messages, sends heartbeats and checks nodes until a time.
func (f *fleet) runUntil(end time.Duration) {
	for ; f.now < end; f.now += time.Millisecond {
		for len(f.queue) > 0 && f.queue[0].at <= f.now {
			f.deliver(heap.Pop(&f.queue).(delivery))
		}
		if f.now%fleetHeartbeat == 0 {
			f.heartbeats()
		}
		for i, n := range f.nodes {
			if f.checkAt[i] != 0 && f.checkAt[i] <= f.now {
				f.perform(i, -1, n.Check(f.now))
			}
		}
	}
}

func (f *fleet) deliver(d delivery) {
	n := f.nodes[d.to]
	if !d.heartbeat {
		f.perform(d.to, d.from, n.Receive(f.now, d.message))
		return
	}
	if d.digest != n.Digest() {
		f.perform(d.to, d.from, Effects{Reply: Message{Rules: n.Rules()}, CheckAt: f.checkAt[d.to]})
	}
}

func (f *fleet) heartbeats() {
	for i, n := range f.nodes {
		for _, peer := range f.peers[i] {
			f.send(delivery{from: i, to: peer, heartbeat: true, digest: n.Digest()})
			f.send(delivery{from: peer, to: i, heartbeat: true, digest: f.nodes[peer].Digest()})
		}
	}
}

// crash lets an engine crash under the runs of several VMs, one with the given parts and
// some with sound parts, unless the VM of the first one refuses it. It reports whether
// the engine crashes.
func (f *fleet) crash(engine int, parts ...string) bool {
	vm := f.r.IntN(len(f.nodes))
	if f.refuses(vm, parts...) {
		return false
	}
	fail := func(parts ...string) {
		p := NewRequest(fmt.Sprintf("request-%d-%d", engine, f.r.Uint64()), Content{Pool: "pool", Parts: parts})
		f.perform(vm, -1, f.nodes[vm].RunFailed(f.now, Failure{Run: p.Run, Server: uint32(engine), Keys: p.Parts}, f.now-time.Second))
	}
	fail(parts...)
	for range 6 {
		vm = f.r.IntN(len(f.nodes))
		fail("common", fmt.Sprintf("tenant-%d", f.r.IntN(40)))
	}
	return true
}

// succeed lets a run with sound parts succeed on a VM.
func (f *fleet) succeed() {
	vm := f.r.IntN(len(f.nodes))
	parts := NewRequest("", Content{Pool: "pool", Parts: []string{"common", fmt.Sprintf("tenant-%d", f.r.IntN(40))}}).Parts
	f.perform(vm, -1, f.nodes[vm].RunSucceeded(f.now, parts))
}

func (f *fleet) refuses(vm int, parts ...string) bool {
	p := NewRequest("probe", Content{Pool: "pool", Parts: parts})
	return newView(f.nodes[vm], f.now, never).check(f.now, p) != nil
}

// Guards against VMs that go on sending a crashing prompt to engines later than the
// operator's bound after the fifth crash, that refuse sound prompts, or that spend more
// on telling each other than control traffic may cost: at the size to design for, with
// lost messages, and while half of the VMs start anew.
func TestFleetAgreesInTime(t *testing.T) {
	for _, size := range []int{18, 295, 510} {
		t.Run(fmt.Sprintf("vms=%d", size), func(t *testing.T) {
			f := newFleet(size, 0.1)
			start := f.now
			crashes := 0
			var fifthCrash time.Duration
			for i := 0; i < 60; i++ { // 6 s of crashing prompts and sound work
				if f.crash(i, "dead", fmt.Sprintf("tenant-%d", f.r.IntN(40))) {
					crashes++
					if crashes == 5 {
						fifthCrash = f.now
					} else if crashes > 5 && f.now > fifthCrash+fleetContact {
						t.Errorf("an engine crashes %v after the fifth crash", f.now-fifthCrash)
					}
				}
				for range 20 {
					f.succeed()
					f.runUntil(f.now + 5*time.Millisecond)
				}
				if i == 15 {
					for vm := range size / 2 {
						f.nodes[2*vm] = NewNode()
					}
				}
			}
			admitted, refused := 0, 0
			for vm := range size {
				if !f.refuses(vm, "x", "dead") {
					admitted++
				}
				if f.refuses(vm, "common", "tenant-1") || f.refuses(vm, "common") {
					refused++
				}
			}
			if admitted+refused > 0 {
				t.Errorf("%d VMs admit the prompt, %d refuse sound ones", admitted, refused)
			}
			rate := float64(slices.Max(f.sent)) / (f.now - start).Seconds()
			t.Logf("%d crashes; the busiest VM sends %.0f bytes a second", crashes, rate)
			if rate > maxControlRate {
				t.Errorf("a VM sends %.0f bytes a second, %d allowed", rate, maxControlRate)
			}
		})
	}
}
