package control

import (
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// newReturnedRig returns a rig with version 7 of the configuration, which the store had confirmed
// in era 1 at an age, and the time at which the store has returned in era 2.
func newReturnedRig(age time.Duration) (r *rig, now time.Duration) {
	r = newRig()
	r.listServers(1, 50)
	now = boottime.Now()
	r.apply(RoutesReceived{Table: route.NewTable(route.TableSpec{Version: 7}), Source: "test", Confirmed: now - age, Era: 1})
	r.apply(EraSeen{Era: 2, Source: "test"})
	return r, now
}

// Guards against a confirmation by a copy that may lack the newest configuration, also once the store
// has had the time to write again, against one that is never accepted again, and against requests
// that are refused after a short absence.
func TestConfirmationsAfterAReturn(t *testing.T) {
	const limit = 4 * time.Second
	for name, age := range map[string]time.Duration{ // of the last confirmation when the return is seen
		"away for a moment":     time.Second,
		"away beyond the bound": limit - ReturnSettleTime + time.Second,
	} {
		r := newRig()
		r.listServers(1, 50)
		now := boottime.Now()
		r.apply(RoutesReceived{Table: route.NewTable(route.TableSpec{Version: 7}), Source: "test", Confirmed: now - age})
		r.apply(EraSeen{Era: 2, Source: "test"})
		r.apply(RoutesConfirmed{Version: 7, At: now + time.Millisecond, Era: 2})
		snap := newSnapshot(r.State, nil)
		if !snap.ConfirmedWithin(now+limit-age, limit) {
			t.Errorf("%s: the confirmation from before does not count", name)
		}
		for _, at := range []time.Duration{now + limit - age + time.Millisecond, snap.SettledAt + limit - age + time.Millisecond} {
			if snap.ConfirmedWithin(at, limit) {
				t.Errorf("%s: confirmed by the copy %v after the return", name, at-now)
			}
		}
		if got := snap.ConfirmedForPeers(); got != now-age {
			t.Errorf("%s: peers are told of a confirmation of an era that they do not know", name)
		}
		r.listServers(2, 1)
		if got := newSnapshot(r.State, nil).ConfirmedForPeers(); got != now+time.Millisecond {
			t.Errorf("%s: peers are not told of the confirmation", name)
		}
		r.apply(RoutesConfirmed{Version: 7, At: snap.SettledAt, Era: 2})
		if !newSnapshot(r.State, nil).ConfirmedWithin(snap.SettledAt+limit, limit) {
			t.Errorf("%s: not confirmed once the store has had the time to write again", name)
		}
	}
}

// Guards against a confirmation of the era before that does not count, since it arrives after the return.
func TestConfirmationOfTheEraBeforeCounts(t *testing.T) {
	r, now := newReturnedRig(time.Second)
	r.apply(RoutesConfirmed{Version: 7, At: now, Era: 1})
	if !newSnapshot(r.State, nil).ConfirmedWithin(now+time.Second, time.Second) {
		t.Error("the confirmation does not count")
	}
}

// Guards against a VM that starts beside others, and gets their configuration before it knows the
// era of the store, refusing requests as after a return.
func TestFirstEraAfterTheConfigurationIsNoReturn(t *testing.T) {
	r := newRig()
	now := boottime.Now()
	r.apply(RoutesReceived{Table: route.NewTable(route.TableSpec{Version: 7}), Source: "peer"})
	r.listServers(5, 1)
	r.apply(RoutesConfirmed{Version: 7, At: now})
	if snap := newSnapshot(r.State, nil); !snap.ConfirmedWithin(now, time.Second) || snap.ConfirmedForPeers() != now {
		t.Error("the first confirmation does not count")
	}
}

// Guards against a return that a VM takes its start for: what it reads first confirms nothing older.
func TestFirstEraIsNoReturn(t *testing.T) {
	r := newRig()
	r.apply(EraSeen{Era: 5, Source: "test"})
	r.apply(ServersListed{List: &vmlist.List{Revision: vmlist.NewRevision(5, 1, vmlist.MaxFreshness)}, Source: "test"})
	now := boottime.Now()
	r.apply(RoutesReceived{Table: route.NewTable(route.TableSpec{Version: 7}), Source: "test", Confirmed: now})
	if snap := newSnapshot(r.State, nil); snap.SettledAt != 0 || !snap.ConfirmedWithin(now, time.Second) {
		t.Errorf("settled at %v, confirmed %v", snap.SettledAt, snap.ConfirmedWithin(now, time.Second))
	}
}

// Guards against a second return before the first is settled, after which a confirmation by the
// first copy counts as one from before.
func TestSecondReturnKeepsTheConfirmationFromBefore(t *testing.T) {
	const limit, age = 4 * time.Second, 3 * time.Second
	r := newRig()
	r.listServers(1, 50)
	now := boottime.Now()
	r.apply(RoutesReceived{Table: route.NewTable(route.TableSpec{Version: 7}), Source: "test", Confirmed: now - age})
	r.listServers(2, 10)
	r.apply(RoutesConfirmed{Version: 7, At: now, Era: 2})
	r.listServers(3, 10)
	r.apply(RoutesConfirmed{Version: 7, At: now + time.Millisecond, Era: 3})
	snap := newSnapshot(r.State, nil)
	if snap.RoutesNewest != now-age || snap.ConfirmedWithin(now+limit-age+time.Millisecond, limit) {
		t.Errorf("confirmed %v before the returns, want %v", now-snap.RoutesNewest, age)
	}
}

// Guards against requests that are refused although the store has got the operator's configuration
// again, and against a write of an earlier era that counts as one of the present era.
func TestWriteOfTheOperatorSettlesTheStore(t *testing.T) {
	for _, c := range []struct {
		name    string
		era     int64
		settled bool
	}{{"this era", 2, true}, {"an earlier era", 1, false}} {
		r, now := newReturnedRig(0)
		r.apply(ConfigurationWritten{Era: c.era, At: now + time.Millisecond})
		for _, read := range []struct {
			after   time.Duration
			settled bool
		}{{rewriteMargin, false}, {rewriteMargin + time.Millisecond, c.settled}} {
			r.apply(RoutesConfirmed{Version: 7, At: now + read.after, Era: 2})
			if got := newSnapshot(r.State, nil).RoutesNewest > now; got != read.settled {
				t.Errorf("write of %s: a read %v after the return counts: %v", c.name, read.after, got)
			}
		}
	}
}

// Guards against a VM that does not read the store refusing requests, although a peer knows that the
// configuration is the newest one.
func TestPeerKnowsTheNewestConfiguration(t *testing.T) {
	r, now := newReturnedRig(time.Second)
	r.apply(RoutesConfirmed{Version: 7, At: now + 2*time.Millisecond, Era: 2, Newest: now + time.Millisecond})
	if got := newSnapshot(r.State, nil).RoutesNewest; got != now+time.Millisecond {
		t.Errorf("newest %v after the return, want 1ms", got-now)
	}
	r.apply(RoutesConfirmed{Version: 8, At: now + 4*time.Millisecond, Era: 2, Newest: now + 4*time.Millisecond})
	if got := newSnapshot(r.State, nil).RoutesNewest; got != now+time.Millisecond {
		t.Errorf("the confirmation of another version counts for this one")
	}
}
