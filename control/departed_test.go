package control

import (
	"slices"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Guards against a server being used again that had said before the return that it leaves, at the
// first list of the copy, at later ones, after a second return, and after its entry was removed.
func TestLeavingServersStayLeavingAfterAReturn(t *testing.T) {
	live, leaving := server("a", vmlist.StateLive, 1), server("a", vmlist.StateLeaving, 1)
	r := newRig()
	r.listServers(1, 40, live)
	r.listServers(1, 50, leaving)
	r.listServers(2, 10, live)
	r.requireUsable(t, "after the return", "a", false)
	if held := r.HeldLeaving(); !slices.ContainsFunc(held, func(vm vmlist.VM) bool { return vm.ID == "a" }) {
		t.Error("it is not announced to other VMs")
	}
	r.wait(time.Hour)
	r.listServers(2, 11, live)
	r.requireUsable(t, "after the next list", "a", false)
	r.listServers(3, 5, live)
	r.requireUsable(t, "after a second return", "a", false)
	r.listServers(3, 6)
	r.listServers(4, 5, live)
	r.requireUsable(t, "after its entry was removed and came back with a third return", "a", false)
	r.listServers(4, 6, server("a", vmlist.StateLive, 2))
	r.requireUsable(t, "once it has started again", "a", true)
}

// Guards against a server being used again whose entry had been removed, and against one that is
// never used again although it runs.
func TestRemovedServersAreHeldForATime(t *testing.T) {
	a, b := server("a", vmlist.StateLive, 1), server("b", vmlist.StateLive, 1)
	r := newRig()
	r.listServers(1, 40, a, b)
	r.listServers(1, 50, a)
	r.listServers(2, 10, a, b)
	r.requireUsable(t, "after the return", "b", false)
	r.requireUsable(t, "after the return", "a", true)
	r.wait(removedServerHold + time.Millisecond)
	r.requireUsable(t, "after its time", "b", true)
}

// Guards against a server that is held although it had come back before the return, or had left
// too long before.
func TestServersThatHadComeBackAreNotHeld(t *testing.T) {
	a, b := server("a", vmlist.StateLive, 1), server("b", vmlist.StateLive, 1)
	r := newRig()
	r.listServers(1, 40, a, b)
	r.listServers(1, 50, a)
	r.listServers(1, 60, a, b)
	r.listServers(2, 10, a, b)
	r.requireUsable(t, "it had come back", "b", true)
	r.listServers(2, 20, a)
	r.wait(departureMemory + time.Second)
	r.listServers(2, 30, a)
	r.listServers(3, 10, a, b)
	r.requireUsable(t, "it had left long before", "b", true)
}

// Guards against a fleet without servers, since the entries of most had lapsed in an outage right
// before the return.
func TestLapsedServersAreNotHeld(t *testing.T) {
	a, b, c := server("a", vmlist.StateLive, 1), server("b", vmlist.StateLive, 1), server("c", vmlist.StateLive, 1)
	r := newRig()
	r.listServers(1, 40, a, b, c)
	r.listServers(1, 50, a)
	r.listServers(2, 10, a, b, c)
	r.requireUsable(t, "after the return", "b", true)
	r.requireUsable(t, "after the return", "c", true)
}

// Guards against an earlier start of a server or VM taking the place of the one that runs, since the
// copy is from before it started again, and against the loss of its announced departure.
func TestEarlierStartsDoNotComeBack(t *testing.T) {
	first, second := server("a", vmlist.StateLive, 1), server("a", vmlist.StateLive, 2)
	r := newRig()
	r.listServers(1, 40, first)
	r.listServers(1, 50, second)
	r.listServers(2, 10, first)
	if got := newSnapshot(r.State, nil).Backends["a"]; got.Incarnation != 2 || got.State != vmlist.StateLive {
		t.Errorf("after the return: %+v", got)
	}
	r.listServers(2, 11, second)
	r.wait(time.Hour)
	r.requireUsable(t, "once it has written its entry again", "a", true)
	r.listServers(2, 12, server("a", vmlist.StateLeaving, 2))
	r.listServers(3, 5, first)
	r.requireUsable(t, "a second return, after it had said that it leaves", "a", false)
	r = newRig()
	r.listServers(1, 40, second, server("b", vmlist.StateLive, 1), server("c", vmlist.StateLive, 1))
	r.listServers(1, 50, server("b", vmlist.StateLive, 1), server("c", vmlist.StateLive, 1))
	r.listServers(2, 10, first, server("b", vmlist.StateLive, 1), server("c", vmlist.StateLive, 1))
	r.requireUsable(t, "after its removal", "a", false)
}
