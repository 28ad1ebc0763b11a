package platform_test

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Guards against streams that are cut because a permit is missing for what moves them away
// from an engine that leaves, and against calls beside the streams, such as moves, that go
// beyond the limits of the engines.
func TestLimitOfAnEngineThatLeaves(t *testing.T) {
	t.Parallel()
	const (
		events   = 120
		interval = 50 * time.Millisecond
		// leaveTime is half of a stream's time, so that half of the streams have to move.
		leaveTime = 3 * time.Second
		perS      = 1.0
		// offered is more than the limits allow, and less than two engines can run, so that
		// the streams that move find room.
		offered = 4.0
	)
	s := sharedLimitSite(t, options{engines: 3, events: events, interval: interval})
	load := s.newOfferedLoad(func() request {
		a := draft()
		// The tokens of all events: a VM leaves a run at its engine that may not be longer than the
		// engine stays.
		a.header["Token-Count"] = "300,480"
		return a
	})
	load.sendTo(offered, allVMs()...)
	time.Sleep(500 * time.Millisecond)
	named := nameLimit(s.engines, limitValue(perS))
	time.Sleep(limitContact + limitSpan)
	leaving := s.engines[0]
	leaving.Announce(userplatform.Announcement{Leaving: true})
	leaving.Register("draining")
	time.Sleep(leaveTime)
	leaving.Crash()
	leaving.Unregister()
	time.Sleep(2 * time.Second)
	requests := load.stop()
	requireServedOrRefused(t, requests)
	requireWholeStreams(t, requests, events)
	s.requireLimitKept(s.engines, named, perS)
}

// requireWholeStreams fails unless all streams that were begun are complete.
func requireWholeStreams(t *testing.T, requests []offeredRequest, events int) {
	t.Helper()
	whole := 0
	for _, r := range requests {
		if r.status != http.StatusOK {
			continue
		}
		if err := checkStream(r.response, events); err != nil {
			t.Error(err)
			continue
		}
		whole++
	}
	t.Logf("%d whole streams", whole)
	if whole == 0 {
		t.Error("no stream is complete")
	}
}

// Guards against a pause that ends the limit, and against a limit that ends the pause.
func TestLimitBesideAPause(t *testing.T) {
	t.Parallel()
	const pause = 1500 * time.Millisecond
	s := plainLimitSite(t)
	load := s.newOfferedLoad(look)
	load.sendTo(offeredPerS, allVMs()...)
	time.Sleep(500 * time.Millisecond)
	named := nameLimit(s.plainServers, limitValue(limitPerS))
	time.Sleep(limitContact)
	paused := s.plainServers[0]
	paused.Announce(userplatform.Announcement{RetryAfter: []string{"1.5"}, RejectManagement: true})
	time.Sleep(700 * time.Millisecond)
	paused.Announce(userplatform.Announcement{})
	// Several VMs learn of the pause by requests of their own, up to the end of the time in
	// which the server asks for it.
	time.Sleep(2 * pause)
	resumed := time.Now()
	time.Sleep(limitSpan)
	end := time.Now()
	requireServedOrRefused(t, load.stop())
	late, told := s.lateArrivals(paused.ID(), noticeBound, func(e userplatform.Exchange) time.Duration {
		if len(e.RetryAfter) > 0 {
			return pause
		}
		return 0
	})
	if len(late) > 0 || told == 0 {
		t.Errorf("%d VMs were told, %d requests were late: %+v", told, len(late), late[:min(len(late), 1)])
	}
	s.requireLimitKept(s.plainServers, named, limitPerS)
	s.requireLimitUsed(s.plainServers, resumed, end, limitPerS)
}

// Guards against requests to a server that leaves because there is a permit for it, and
// against a limit that is taken for that of its next start.
func TestLimitOfAServerThatLeaves(t *testing.T) {
	t.Parallel()
	s := plainLimitSite(t)
	load := s.newOfferedLoad(look)
	load.sendTo(offeredPerS, allVMs()...)
	time.Sleep(500 * time.Millisecond)
	leaving := s.plainServers[:1]
	named := nameLimit(leaving, limitValue(limitPerS))
	time.Sleep(limitContact)
	leaving[0].Announce(userplatform.Announcement{Leaving: true})
	time.Sleep(limitSpan)
	ended := time.Now()
	leaving[0].Restart()
	time.Sleep(time.Second)
	begin := time.Now()
	time.Sleep(limitSpan)
	end := time.Now()
	requests := load.stop()
	for _, r := range requests {
		if r.err != nil || r.status != http.StatusOK {
			t.Errorf("%s: status %d, %v, although other servers name no limit", r.id, r.status, r.err)
		}
	}
	late, told := s.lateArrivals(leaving[0].ID(), noticeBound, leavingUntil(ended))
	if len(late) > 0 || told == 0 {
		t.Errorf("%d VMs were told, %d requests were late: %+v", told, len(late), late[:min(len(late), 1)])
	}
	s.requireWithinUntil(leaving, named, ended, limitPerS)
	// Half of an equal share, as in TestEndOfALimitReachesAllVMs.
	s.requireLimitUsed(leaving, begin, end, offeredPerS/limitServers/2/limitUse)
}

// leavingUntil returns the notices of a server that starts again at a time.
func leavingUntil(end time.Time) func(userplatform.Exchange) time.Duration {
	return func(e userplatform.Exchange) time.Duration {
		if !e.Leaving {
			return 0
		}
		return end.Sub(e.AnsweredAt)
	}
}

// requireWithinUntil is requireLimitKept for a limit that is named until a time.
func (s *site) requireWithinUntil(servers []*userplatform.Server, named, until time.Time, perS float64) {
	s.t.Helper()
	var exchanges []userplatform.Exchange
	for _, e := range s.fleet.Exchanges() {
		if e.ArrivedAt.Before(until) {
			exchanges = append(exchanges, e)
		}
	}
	s.requireWithinOf(exchanges, servers, named, named.Add(limitContact-limitSpan), perS)
}

// Guards against a limit that is not kept, or a server that is left idle, because each
// answer names another one: limits that are exchanged too often, or permits that are
// forgotten with each change.
func TestLimitThatChangesWithEachAnswer(t *testing.T) {
	t.Parallel()
	const lowest, highest = 3.0, 5.0
	s := plainLimitSite(t)
	load := s.newOfferedLoad(look)
	load.sendTo(offeredPerS, allVMs()...)
	time.Sleep(500 * time.Millisecond)
	change := func() time.Time {
		return nameLimit(s.plainServers, limitValue(lowest+rand.Float64()*(highest-lowest)))
	}
	named := change()
	// Answers of a server are some 100 ms apart and more.
	for ticks := time.NewTicker(10 * time.Millisecond); time.Since(named) < limitLoadTime; <-ticks.C {
		change()
	}
	end := time.Now()
	requireServedOrRefused(t, load.stop())
	s.requireLimitKept(s.plainServers, named, highest)
	s.requireLimitUsed(s.plainServers, named.Add(limitContact), end, lowest)
}
