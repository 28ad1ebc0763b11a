package platform_test

import (
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// versionRow is a case in which the engines of a version fail or leave while streams run.
type versionRow struct {
	// engines names the versions of the engines, one letter each.
	engines string
	// prepare is called before the streams start, act while they run. Streams that are cut end at once
	// after act has returned.
	prepare, act func(*versionSite)
	// want is what becomes of the streams of the first engine of the old version, wantOfOthers of those
	// of its other ones. Streams of other versions are whole.
	want, wantOfOthers outcome
}

// runVersionRows plays rows in parallel.
func runVersionRows(t *testing.T, newRequest func() request, rows map[string]versionRow) {
	const (
		streams = 12
		// begunTime is the time after which the first parts of backups have arrived.
		begunTime = 600 * time.Millisecond
	)
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newVersionSite(t, 1, runInterval, row.engines)
			if row.prepare != nil {
				row.prepare(s)
			}
			all := s.startStreams(streams, newRequest)
			time.Sleep(begunTime)
			row.act(s)
			actedAt := time.Now()
			ofFirst := 0
			for _, st := range all {
				<-st.done
				want := whole
				switch {
				case st.engine == s.of(oldVersion)[0]:
					want = row.want
					ofFirst++
				case st.first == oldVersion:
					want = row.wantOfOthers
				}
				if err := checkOutcome(st.response, 0, st.first, want); err != nil {
					t.Errorf("%s, begun at %s: %v", st.id, st.engine.ID(), err)
				}
				if late := st.endedAt.Sub(actedAt); want == cut && late > atOnce {
					t.Errorf("%s ended %v after it could not go on", st.id, late)
				}
				s.checkBackups(st.id)
			}
			if ofFirst == 0 {
				t.Fatal("no stream of the first engine of the old version")
			}
		})
	}
}

// lateBackups are faults of an engine whose runs have no backup in time, so that planned moves copy them.
var lateBackups = userplatform.ServerFaults{BackupDelay: time.Minute}

// stopTime is the time from the departure of an engine to its stop.
const stopTime = time.Second

// leaveAndStop makes an engine leave, and stops it after stopTime.
func (s *versionSite) leaveAndStop(e *userplatform.Server) {
	s.t.Helper()
	s.leave(e)
	time.Sleep(stopTime)
	e.Crash()
}

// Guards against streams that must not be run again and that are joined from two software versions: by
// their backups, by planned moves, by the evacuation of a zone, and after an engine that has started again
// with another version.
func TestRunsGoOnAtTheirSoftwareVersion(t *testing.T) {
	t.Parallel()
	first := func(s *versionSite) *userplatform.Server { return s.of(oldVersion)[0] }
	withoutBackups := func(s *versionSite) { s.setFaults(lateBackups, s.engines...) }
	runVersionRows(t, draft, map[string]versionRow{
		"engine crashes": {
			engines: "ababab", act: func(s *versionSite) { first(s).Crash() },
		},
		"engine leaves and stops": {
			engines: "ababab", act: func(s *versionSite) { s.leaveAndStop(first(s)) },
		},
		"engine leaves, runs are moved": {
			engines: "ababab", prepare: withoutBackups, act: func(s *versionSite) { s.leave(first(s)) },
		},
		"last engine of its version leaves and serves on": {
			engines: "abbb", prepare: withoutBackups, act: func(s *versionSite) { s.leave(first(s)) },
		},
		"last engine of its version leaves and stops": {
			engines: "abbb", prepare: withoutBackups, want: cut, act: func(s *versionSite) { s.leaveAndStop(first(s)) },
		},
		"last engine of its version crashes": {
			engines: "abbb", want: cut, act: func(s *versionSite) { first(s).Crash() },
		},
		"all engines of its version leave and serve on": {
			engines: "abab", prepare: withoutBackups, act: func(s *versionSite) { s.leave(s.of(oldVersion)...) },
		},
		"all engines of its version crash": {
			engines: "abab", want: cut, wantOfOthers: cut, act: func(s *versionSite) {
				for _, e := range s.of(oldVersion) {
					e.Crash()
				}
			},
		},
		"others of its version pause": {
			engines: "abab", want: wholeOrCut, act: func(s *versionSite) {
				s.of(oldVersion)[1].Announce(userplatform.Announcement{RetryAfter: []string{"1"}})
				first(s).Crash()
			},
		},
		"others of its version are full": {
			engines: "abab", want: wholeOrCut, act: func(s *versionSite) {
				s.setFaults(userplatform.ServerFaults{Shed: true}, s.of(oldVersion)[1])
				first(s).Crash()
			},
		},
		"others of its version are not reachable": {
			engines: "abab", want: cut, wantOfOthers: cut, act: func(s *versionSite) {
				for _, e := range s.of(oldVersion) {
					e.Pause()
				}
			},
		},
		"others of its version have lost their addresses": {
			engines: "abab", want: cut, act: func(s *versionSite) {
				s.of(oldVersion)[1].SetFaults(userplatform.ServerFaults{Replaced: true})
				first(s).Crash()
			},
		},
		"engine leaves, others of its version pause": {
			engines: "abab", prepare: withoutBackups, act: func(s *versionSite) {
				s.of(oldVersion)[1].Announce(userplatform.Announcement{RetryAfter: []string{"5"}, RejectManagement: true})
				s.leave(first(s))
			}, want: wholeOrCut,
		},
		"engine leaves, others of its version are full": {
			engines: "abab", prepare: withoutBackups, act: func(s *versionSite) {
				s.setFaults(userplatform.ServerFaults{Shed: true}, s.of(oldVersion)[1])
				s.leave(first(s))
			}, want: wholeOrCut,
		},
		"engine leaves, others of its version are not reachable": {
			engines: "abab", prepare: withoutBackups, wantOfOthers: wholeOrCut, act: func(s *versionSite) {
				s.of(oldVersion)[1].Pause()
				s.leave(first(s))
			},
		},
		"engine leaves, others of its version have lost their addresses": {
			engines: "abab", prepare: withoutBackups, want: wholeOrCut, act: func(s *versionSite) {
				s.of(oldVersion)[1].SetFaults(userplatform.ServerFaults{Replaced: true})
				s.leave(first(s))
			},
		},
		"engine starts again with the other version": {
			engines: "abb", want: cut, act: func(s *versionSite) { s.restartAs(first(s), "b") },
		},
		"engine with the backup starts again with the other version": {
			engines: "abab", want: cut, wantOfOthers: cut, act: func(s *versionSite) {
				// Its own runs go on at the first engine.
				s.restartAs(s.of(oldVersion)[1], "b")
				first(s).Crash()
			},
		},
		"zone is evacuated, none of its version outside": {
			engines: "aa", act: func(s *versionSite) {
				s.startEngines(otherZone, "bb")
				s.evacuate(evacuatedZone)
			},
		},
		"zone is evacuated, some of its version outside": {
			engines: "aa", act: func(s *versionSite) {
				s.startEngines(otherZone, "abb")
				s.evacuate(evacuatedZone)
			},
		},
		"versions unknown": {
			engines: "abab", want: cut, prepare: func(s *versionSite) { s.dropVersion(s.of(oldVersion)...) },
			act: func(s *versionSite) { first(s).Crash() },
		},
		"one version": {
			engines: "aaa", act: func(s *versionSite) { first(s).Crash() },
		},
	})
}

// Guards against a run whose moved copy is refused and that goes on at an engine of another version, or is
// lost although another one of its version has its backup.
func TestRefusedCopyIsFollowedByOneOfItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	const (
		sites = 3
		// begunTime is shorter than the time from which a backup is relied on, so that the run is moved.
		begunTime = 600 * time.Millisecond
	)
	for range sites {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			s := newVersionSite(t, 1, runInterval, "ababab")
			st := s.startStreams(1, draft)[0]
			time.Sleep(begunTime)
			backup := s.backupOf(st.id)
			for _, e := range s.of(st.first) {
				if e != st.engine && e != backup {
					e.SetFaults(userplatform.ServerFaults{Shed: true})
				}
			}
			st.engine.Register("draining")
			<-st.done
			if err := checkOutcome(st.response, 0, st.first, whole); err != nil {
				t.Error(err)
			}
			s.checkBackups(st.id)
		})
	}
}

// Guards against resumable streams that are joined from two software versions within one answer, that wait
// for a version that is not in service, or that are cut although an engine of their version serves.
func TestResumableStreamsGoOnAtTheirSoftwareVersion(t *testing.T) {
	t.Parallel()
	first := func(s *versionSite) *userplatform.Server { return s.of(oldVersion)[0] }
	second := func(s *versionSite) *userplatform.Server { return s.of(oldVersion)[1] }
	crashFirst := func(s *versionSite) { first(s).Crash() }
	runVersionRows(t, check, map[string]versionRow{
		"engine breaks off": {
			engines: "ababab", prepare: func(s *versionSite) { first(s).SetFaults(userplatform.ServerFaults{BreakAfter: 40}) },
			act: func(*versionSite) {},
		},
		"engine crashes":                     {engines: "ababab", act: crashFirst},
		"last engine of its version crashes": {engines: "abbb", want: cut, act: crashFirst},
		"engine leaves":                      {engines: "ababab", act: func(s *versionSite) { s.leave(first(s)) }},
		"last engine of its version leaves and serves on": {
			engines: "abbb", act: func(s *versionSite) { s.leave(first(s)) },
		},
		"last engine of its version leaves and stops": {
			engines: "abbb", want: cut, act: func(s *versionSite) { s.leaveAndStop(first(s)) },
		},
		"others of its version leave": {
			engines: "abab", want: cut, prepare: func(s *versionSite) { s.leave(second(s)) }, act: crashFirst,
		},
		"others of its version are full": {
			engines: "abab", want: wholeOrCut, act: func(s *versionSite) {
				s.setFaults(userplatform.ServerFaults{Shed: true}, second(s))
				first(s).Crash()
			},
		},
		"others of its version are not reachable": {
			engines: "abab", want: cut, wantOfOthers: cut, act: func(s *versionSite) {
				first(s).Pause()
				second(s).Pause()
			},
		},
		"others of its version have lost their addresses": {
			engines: "abab", want: cut, act: func(s *versionSite) {
				second(s).SetFaults(userplatform.ServerFaults{Replaced: true})
				first(s).Crash()
			},
		},
		"others of its version are gone": {
			engines: "abab", want: cut, prepare: func(s *versionSite) { s.remove(second(s)) }, act: crashFirst,
		},
		"others of its version pause": {
			engines: "abab", want: wholeOrCut, act: func(s *versionSite) {
				second(s).Announce(userplatform.Announcement{RetryAfter: []string{"1"}})
				first(s).Crash()
			},
		},
		"engine starts again with the other version": {
			engines: "abb", want: cut, act: func(s *versionSite) { s.restartAs(first(s), "b") },
		},
		"others of its version are evacuated": {
			engines: "abb", want: cut, prepare: func(s *versionSite) {
				s.startEngines(otherZone, "a")
				s.evacuate(otherZone)
			}, act: crashFirst,
		},
		"versions unknown": {
			engines: "abab", want: cut, prepare: func(s *versionSite) { s.dropVersion(s.of(oldVersion)...) }, act: crashFirst,
		},
		"one version": {engines: "aaa", act: crashFirst},
	})
}

// Guards against a stream that is bound to the version of an engine that has sent no event of it.
func TestEngineThatSentNoEventBindsNoSoftwareVersion(t *testing.T) {
	t.Parallel()
	const promptTime = 300 * time.Millisecond
	for name, c := range map[string]struct {
		faults userplatform.ServerFaults
		act    func(*versionSite)
	}{
		"ends after its head":       {faults: userplatform.ServerFaults{HeadOnly: true}},
		"resets the connection":     {faults: userplatform.ServerFaults{Reset: true}},
		"refuses":                   {faults: userplatform.ServerFaults{Shed: true}},
		"crashes during the prompt": {act: func(s *versionSite) { s.of(oldVersion)[0].Crash() }},
		"restarts during the prompt": {act: func(s *versionSite) {
			s.restartAs(s.of(oldVersion)[0], "b")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newVersionSite(t, 1, runInterval, "ab")
			s.fleet.SetPromptTime(promptTime, false)
			s.of(oldVersion)[0].SetFaults(c.faults)
			streams := s.startStreams(4, check)
			if c.act != nil {
				time.Sleep(promptTime / 3)
				c.act(s)
			}
			for _, st := range streams {
				<-st.done
				if err := checkOutcome(st.response, 0, "b", whole); err != nil {
					t.Errorf("%s, begun at %s: %v", st.id, st.engine.ID(), err)
				}
			}
			arrivals := 0
			for _, st := range streams {
				arrivals += s.of(oldVersion)[0].Arrivals(st.id)
			}
			if arrivals == 0 {
				t.Error("no stream was sent to the engine that sends no events")
			}
		})
	}
}
