package control

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// rig applies messages to a state whose clock it sets.
type rig struct {
	*State
	now time.Time
}

func newRig() *rig {
	l := NewLoop(zap.NewNop(), time.Now)
	return &rig{State: &l.state, now: time.Unix(1000, 0)}
}

func (r *rig) apply(m Message) {
	r.Now = r.now
	m.Apply(r.State)
}

// listServers applies a list of servers of an era.
func (r *rig) listServers(era, revision int64, servers ...vmlist.VM) {
	r.apply(ServersListed{List: &vmlist.List{Revision: vmlist.NewRevision(era, revision, vmlist.MaxFreshness), VMs: servers}, Source: "test"})
}

// wait lets time pass.
func (r *rig) wait(d time.Duration) {
	r.now = r.now.Add(d)
	r.apply(EndRetention{})
}

// usable reports whether requests may be sent to a server.
func (r *rig) usable(id string) bool {
	vm, listed := newSnapshot(r.State, nil).Backends[id]
	return listed && vm.State == vmlist.StateLive
}

func (r *rig) requireUsable(t *testing.T, when, id string, want bool) {
	t.Helper()
	if got := r.usable(id); got != want {
		t.Errorf("%s: %s usable: %v, want %v", when, id, got, want)
	}
}

func server(id string, state vmlist.State, incarnation int64) vmlist.VM {
	return vmlist.VM{ID: id, Role: vmlist.RoleService, State: state, Incarnation: incarnation, Services: []string{"s"}}
}

// Guards against a server that is dropped since the copy from which the store has come back does
// not have it yet, and against one that stays for good although it is gone.
func TestServersMissingFromACopyAreKeptForATime(t *testing.T) {
	a, b := server("a", vmlist.StateLive, 1), server("b", vmlist.StateLive, 1)
	r := newRig()
	r.listServers(1, 50, a, b)
	r.listServers(2, 10, a)
	r.requireUsable(t, "after the return", "b", true)
	r.listServers(2, 11, a)
	r.requireUsable(t, "after the next list", "b", true)
	r.wait(missingServerGrace / 2)
	r.listServers(3, 9, a)
	r.wait(missingServerGrace * 3 / 4)
	r.requireUsable(t, "after a second return", "b", true)
	r.listServers(3, 12, a, b)
	r.wait(2 * missingServerGrace)
	r.requireUsable(t, "once it has written its entry again", "b", true)
	r.listServers(4, 5, a)
	r.wait(missingServerGrace + time.Millisecond)
	r.requireUsable(t, "after its time", "b", false)
	r.listServers(3, 99, a, b)
	r.requireUsable(t, "after a list of an earlier era", "b", false)
}

// Guards against a server that leaves, or is removed, within an era and is kept.
func TestServersThatLeaveWithinAnEraAreNotKept(t *testing.T) {
	a, b := server("a", vmlist.StateLive, 1), server("b", vmlist.StateLive, 1)
	r := newRig()
	r.listServers(1, 50, a, b)
	r.listServers(1, 51, a)
	r.requireUsable(t, "after its removal", "b", false)
	r.listServers(1, 52, a, server("b", vmlist.StateLeaving, 1))
	r.listServers(2, 10, a)
	r.requireUsable(t, "after a return, when it had said that it leaves", "b", false)
}
