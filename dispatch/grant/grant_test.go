package grant

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// bypassLimit is the time within which a frozen dispatcher must be bypassed.
const bypassLimit = 400 * time.Millisecond

// Guards against requests that hang on a frozen dispatcher: new ones, and ones
// that it had already queued. Also guards against a dispatcher that never
// learns of the grants taken meanwhile.
func TestFrozenDispatcherIsBypassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 2, 2)
		owner, others := c.owner()
		running := others[0].mustAcquire(t, 4) // all room
		queued := make(chan *ticket, 1)
		go func() {
			tk, _ := others[1].acquire(context.Background())
			queued <- tk
		}()
		time.Sleep(330 * time.Millisecond)
		thaw := owner.freeze(t)
		start := time.Now()
		fresh := others[2].mustAcquire(t, 1)[0]
		if e := time.Since(start); e > bypassLimit || fresh.local == nil {
			t.Errorf("new request got its ticket after %v, bypassed: %v", e, fresh.local != nil)
		}
		waited := <-queued
		if e := time.Since(start); waited == nil || e > bypassLimit {
			t.Errorf("queued request got %v after %v", waited, e)
		}
		time.Sleep(5 * time.Second)
		thaw()
		time.Sleep(3 * time.Second)
		if got := owner.granted(t); got != 6 {
			t.Errorf("dispatcher knows %d grants after it came back, want 4 and 2 bypassed", got)
		}
		for _, tk := range append(running, fresh, waited) {
			tk.Release(10)
		}
		if tk := others[1].mustAcquire(t, 1)[0]; tk.local != nil {
			t.Error("dispatcher is still bypassed")
		}
		time.Sleep(time.Second)
		if got := owner.granted(t); got != 1 {
			t.Errorf("dispatcher holds %d grants, want 1", got)
		}
	})
}

// Guards against a new dispatcher that overfills engines because it does not
// know the grants of its predecessor, and against lost or delayed waiters.
func TestRoleMoveKeepsWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 2, 4)
		old, others := c.owner()
		var tickets []*ticket
		for _, n := range others {
			tickets = append(tickets, n.mustAcquire(t, 2)...)
		}
		waiting := make(chan *ticket, 1)
		go func() {
			tk, _ := others[3].acquire(context.Background())
			waiting <- tk
		}()
		time.Sleep(50 * time.Millisecond)
		c.lose(old)
		time.Sleep(50 * time.Millisecond)
		owner, _ := c.owner()
		if owner == old || owner.granted(t) != 8 {
			t.Fatalf("new dispatcher %s knows %d of 8 grants", owner.id, owner.granted(t))
		}
		select {
		case tk := <-waiting:
			t.Fatalf("request was granted beyond the window: %+v", tk)
		case <-time.After(3 * time.Second):
		}
		tickets[0].Release(5)
		if tk := <-waiting; tk == nil || tk.local != nil || tk.target.ID != tickets[0].target.ID {
			t.Errorf("waiting request got %+v", tk)
		}
		if got := owner.granted(t); got != 8 {
			t.Errorf("new dispatcher holds %d grants, want 8", got)
		}
	})
}

// Guards against a new dispatcher that admits at its full window before the
// frontends have declared.
func TestReducedWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, 4)
		old, others := c.owner()
		c.set(func(w *network) {
			w.cut[[2]string{others[0].id, others[1].id}], w.cut[[2]string{others[1].id, others[0].id}] = true, true
		})
		c.lose(old)
		time.Sleep(10 * time.Millisecond)
		owner, _ := c.owner()
		start := time.Now()
		owner.mustAcquire(t, 2)
		if e := time.Since(start); e > heldFor+50*time.Millisecond {
			t.Errorf("half of the window took %v", e)
		}
		owner.mustAcquire(t, 1)
		if e := time.Since(start); e < 900*time.Millisecond || e > 1100*time.Millisecond {
			t.Errorf("grant beyond half of the window came after %v, want 1s", e)
		}
	})
}

// Guards against grants that stay in use after their caller left, and against
// requests that are queued twice when the transport repeats messages.
func TestLateAndRepeatedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 1, 1)
		owner, others := c.owner()
		c.set(func(w *network) { w.copies, w.delay = 3, 20*time.Millisecond })
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
			if tk, err := others[0].acquire(ctx); err == nil {
				t.Errorf("got %+v before the grant could arrive", tk)
			}
			cancel()
		}
		time.Sleep(200 * time.Millisecond)
		// A withdrawal that is lost leaves the release to the late grant alone.
		path := [2]string{others[0].id, owner.id}
		time.AfterFunc(25*time.Millisecond, func() { c.set(func(w *network) { w.cut[path] = true }) })
		time.AfterFunc(35*time.Millisecond, func() { c.set(func(w *network) { w.cut[path] = false }) })
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		_, _ = others[0].acquire(ctx)
		time.Sleep(100 * time.Millisecond)
		if q := others[0].queues(t); q.LateGrants == 0 || q.Held != 0 || owner.granted(t) != 0 {
			t.Errorf("late grants %d, held %d, dispatcher holds %d", q.LateGrants, q.Held, owner.granted(t))
		}
		others[0].mustAcquire(t, 1)[0].Release(1)
		time.Sleep(200 * time.Millisecond)
		if q := owner.queues(t); q.Groups[0].Granted != 0 || q.Groups[0].Queued != 0 {
			t.Errorf("dispatcher holds %+v after the release", q.Groups[0])
		}
	})
}

// Guards against a restarted dispatcher under the same id that never learns of
// the grants and the waiting requests that its predecessor held.
func TestRestartedDispatcherLearns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 1, 2)
		owner, others := c.owner()
		held := others[0].mustAcquire(t, 2)
		waiting := make(chan *ticket, 1)
		go func() {
			tk, _ := others[0].acquire(context.Background())
			waiting <- tk
		}()
		time.Sleep(100 * time.Millisecond)
		owner.loop.Post(restart{owner.m})
		time.Sleep(200 * time.Millisecond)
		if q := owner.queues(t).Groups[0]; q.Granted != 2 || q.Queued != 1 {
			t.Errorf("restarted dispatcher knows %+v, want 2 granted and 1 queued", q)
		}
		held[0].Release(1)
		if tk := <-waiting; tk == nil || tk.local != nil {
			t.Errorf("waiting request got %+v", tk)
		}
	})
}

// restart makes a dispatcher forget everything.
type restart struct{ m *Manager }

func (r restart) Apply(*control.State) {
	r.m.dispatcher = newDispatcher(r.m)
	r.m.dispatcher.adoptGroups()
}

// Guards against grants of a lost VM that occupy an engine for ever.
func TestGrantsOfLostVMAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, 2)
		owner, others := c.owner()
		others[0].mustAcquire(t, 2)
		c.lose(others[0])
		start := time.Now()
		others[1].mustAcquire(t, 1)
		if e := time.Since(start); e < goneGrace-time.Second || e > goneGrace+time.Second {
			t.Errorf("grants of the lost VM were dropped after %v, want %v", e, goneGrace)
		}
		if got := owner.granted(t); got != 1 {
			t.Errorf("dispatcher holds %d grants, want 1", got)
		}
	})
}

// Guards against grants for engines that leave or do not respond, whether the
// dispatcher or only the frontend knows.
func TestUnusableEnginesGetNoGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 3, 2)
		owner, others := c.owner()
		for i := range c.list.VMs {
			if c.list.VMs[i].ID == "engine-0" {
				c.list.VMs[i].State = vmlist.StateLeaving
			}
		}
		c.publish()
		for i, knows := range []*node{others[0], owner} {
			knows.m.opts.Breaker.Trip("engine-1")
			time.Sleep(10 * time.Millisecond)
			if tk := others[i].mustAcquire(t, 1)[0]; tk.target.ID != "engine-2" {
				t.Errorf("granted %s although %s knows better", tk.target.ID, knows.id)
			}
			knows.m.opts.Breaker.RecordResponse("engine-1")
		}
		owner.m.opts.Breaker.Trip("engine-1")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if tk, err := others[0].acquire(ctx); err == nil {
			t.Errorf("granted %s although all usable engines are full", tk.target.ID)
		}
	})
}

// Guards against grants that stay with the former group of their engine when a
// new engine splits the group, although one VM dispatches all parts.
func TestSplitMovesGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 4, 2, func(o *Options) { o.GroupSize = 4 })
		n := c.nodes["vm-0"]
		n.mustAcquire(t, 8)
		c.list.VMs = append(c.list.VMs, vmlist.VM{
			ID: "engine-4", Role: vmlist.RoleEngine, State: vmlist.StateLive, Region: "r", Models: []string{testModel},
		})
		c.publish()
		time.Sleep(2 * lingerFor)
		q, granted := n.queues(t), 0
		for _, g := range q.Groups {
			granted += g.Granted
			if !g.Owned || g.Granted > 2*g.Engines {
				t.Errorf("group after the split: %+v", g)
			}
		}
		if len(q.Groups) < 2 || granted != 8 {
			t.Errorf("%d groups know %d of 8 grants", len(q.Groups), granted)
		}
	})
}

// Guards against a dispatcher that is cut off from all engines and refuses work
// that frontends could run.
func TestIsolatedDispatcherGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, isolatedEngines, 2)
		owner, others := c.owner()
		for i := range isolatedEngines {
			owner.m.opts.Breaker.Trip(fmt.Sprintf("engine-%d", i))
		}
		time.Sleep(50 * time.Millisecond)
		others[0].mustAcquire(t, 1)
	})
}

// Guards against a waiting list without bounds, and against errors without a type.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 1, 1)
		_, others := c.owner()
		others[0].mustAcquire(t, 1)
		results := make(chan error, 101)
		for range 101 {
			go func() {
				_, err := others[0].acquire(context.Background())
				results <- err
			}()
		}
		kinds := map[string]int{}
		for range 101 {
			kinds[fmt.Sprintf("%T", <-results)]++
		}
		if kinds["*dispatch.QueueFullError"] != 1 || kinds["*dispatch.QueueTimeoutError"] != 100 {
			t.Errorf("refusals: %v", kinds)
		}
		_, err := others[0].m.Acquire(context.Background(), dispatch.Ask{Organisation: "o", Model: "other"})
		if _, ok := err.(*dispatch.NoBackendError); !ok {
			t.Errorf("unknown model: %v", err)
		}
	})
}

// Guards against a cut that moves many engines to other groups when one comes or goes.
func TestCutIsStable(t *testing.T) {
	engines := make([]string, 0, 400)
	for i := range 400 {
		engines = append(engines, fmt.Sprintf("engine-%d", i))
	}
	groupOf := func(engines []string) map[string]string {
		names := map[string]string{}
		for _, g := range cut("m", "r", slices.Clone(engines), 32) {
			if len(g.engines) > 32 {
				t.Errorf("group %s has %d engines", g.name, len(g.engines))
			}
			for _, id := range g.engines {
				names[id] = g.name
			}
		}
		return names
	}
	before := groupOf(engines)
	for n := 399; n > 390; n-- {
		after := groupOf(engines[:n])
		moved := 0
		for id, name := range after {
			if before[id] != name {
				moved++
			}
		}
		if moved > 33 || len(after) != n {
			t.Errorf("%d of %d engines moved when one left", moved, len(after))
		}
		before = after
	}
}
