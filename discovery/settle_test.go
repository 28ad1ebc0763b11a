package discovery

import (
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Guards against a VM that takes the configuration of a copy although the store has just come
// back from it, and against one that waits at each start since the store has eras.
func TestFirstReadIsDoubtedAfterAReturnOnly(t *testing.T) {
	member := func(id string, era int64, age time.Duration) kv.Entry {
		return entry(t, "vms/", vmlist.VM{ID: id, Role: vmlist.RoleEntry, Era: era, Incarnation: time.Now().Add(-age).UnixMilli()})
	}
	f, _ := follower(t, newEraStore(3))
	for name, c := range map[string]struct {
		era     kv.Era
		entries []kv.Entry
		want    bool
	}{
		"a store without eras":             {0, nil, false},
		"no VM":                            {3, nil, true},
		"VMs of the era before":            {3, []kv.Entry{member("a", 2, time.Hour)}, true},
		"a VM that has just started":       {3, []kv.Entry{member("a", 3, time.Second)}, true},
		"a VM that runs for longer":        {3, []kv.Entry{member("a", 2, time.Hour), member("b", 3, time.Minute)}, false},
		"an odd entry and one that counts": {3, []kv.Entry{{Key: "vms/odd", Value: []byte("{")}, member("b", 3, time.Minute)}, false},
	} {
		if got := f.mayLackWrites(kv.Listing{Era: c.era, Entries: c.entries}); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a wait that goes on although a peer has sent its configuration, and against one
// without an end.
func TestWaitForTheNewestConfigurationEnds(t *testing.T) {
	f, loop := follower(t, newEraStore(3))
	begin := time.Now()
	_, got := f.awaitSettled(t.Context(), 0, kv.Listing{Revision: 1, Era: 3})
	if elapsed := time.Since(begin); elapsed < control.ReturnSettleTime || elapsed > control.ReturnSettleTime+time.Second || got.Revision != 7 {
		t.Errorf("without peers: a read of revision %d after %v", got.Revision, elapsed)
	}
	loop.Post(control.RoutesReceived{Table: route.NewTable(route.TableSpec{Version: 2}), Content: []byte("{}"), Source: "peer"})
	begin = time.Now()
	if f.awaitSettled(t.Context(), 0, kv.Listing{Revision: 1, Era: 3}); time.Since(begin) > control.ReturnSettleTime/2 {
		t.Errorf("with the configuration of a peer it took %v", time.Since(begin))
	}
}
