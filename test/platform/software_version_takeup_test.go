package platform_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/localsite"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// takeUpPlaces are the VMs at which streams that the first VM began are taken up.
var takeUpPlaces = map[string]func(*versionSite) *localsite.VM{
	"same VM":    func(s *versionSite) *localsite.VM { return s.vms[0] },
	"another VM": func(s *versionSite) *localsite.VM { return s.vms[1] },
	"VM gone": func(s *versionSite) *localsite.VM {
		s.stopVMs(s.vms[0])
		s.vms = s.vms[1:]
		return s.vms[0]
	},
	"all VMs gone": func(s *versionSite) *localsite.VM {
		old := len(s.vms)
		s.stopVMs(s.vms...)
		s.vms = nil
		for i := range old {
			s.vms = append(s.vms, s.mustStartVM(fmt.Sprintf("again-%d", i)))
		}
		for _, v := range s.vms {
			s.eventually(10*time.Second, v.Name+" serves", func() bool {
				_, err := s.beginStream(v, 1)
				return err == nil
			})
		}
		return s.vms[0]
	},
}

// stopVMs stops VMs that reach the store no more, as if they were killed.
func (s *versionSite) stopVMs(vms ...*localsite.VM) {
	var names []string
	for _, v := range vms {
		names = append(names, v.Name)
	}
	s.store.SetFaults(userplatform.StoreFaults{Refuse: names, RefuseStatus: http.StatusServiceUnavailable})
	for _, v := range vms {
		v.Stop()
	}
	for _, v := range vms {
		<-v.Done
	}
}

// takeUpAll takes streams up at once, and checks each answer.
func (s *versionSite) takeUpAll(v *localsite.VM, streams []begun, change func(map[string]string), check func(begun, takenUp) error) {
	s.t.Helper()
	var all sync.WaitGroup
	for _, st := range streams {
		all.Go(func() {
			if err := check(st, s.takeUp(v, st, change)); err != nil {
				s.t.Errorf("%s: %v", st.id, err)
			}
		})
	}
	all.Wait()
}

// goesOn returns an error unless a stream goes on at its version, right after its last event.
func goesOn(st begun, got takenUp) error {
	return checkOutcome(got.response, st.last, st.version, whole)
}

// refused returns an error unless the stream was refused.
func (s *versionSite) refused(_ begun, got takenUp) error { return s.checkRefused(got) }

const takenUpStreams = 4

// Guards against streams that go on at another software version, or not at all, when their callers take
// them up: at the VM that began them, at another one, and after their VM, or all VMs, were killed.
func TestTakenUpStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	for _, engines := range []string{"abbb", "abc", "aa"} {
		for place, vmOf := range takeUpPlaces {
			t.Run(engines+", "+place, func(t *testing.T) {
				t.Parallel()
				s := newVersionSite(t, 2, takeUpInterval, engines)
				streams := s.beginStreams(takenUpStreams, s.vms[0], oldVersion)
				s.takeUpAll(vmOf(s), streams, nil, goesOn)
			})
		}
	}
}

// Guards against a stream that is taken up twice, and whose version is known of its latest request only.
func TestStreamIsTakenUpTwice(t *testing.T) {
	t.Parallel()
	s := newVersionSite(t, 2, takeUpInterval, "abbb")
	streams := s.beginStreams(takenUpStreams, s.vms[0], oldVersion)
	for _, v := range []*localsite.VM{s.vms[1], s.vms[0]} {
		s.takeUpAll(v, streams, nil, goesOn)
		for i := range streams {
			streams[i].last += 10
		}
	}
}

// Guards against streams that go on at another software version, that wait, or that are refused with false
// words, since no engine of their version is in service when their callers take them up.
func TestTakenUpStreamIsRefusedWithoutItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	for name, act := range map[string]func(s *versionSite){
		"gone":    func(s *versionSite) { s.remove(s.of(oldVersion)...) },
		"leaving": func(s *versionSite) { s.leave(s.of(oldVersion)...) },
		"started again with the other version": func(s *versionSite) {
			for _, e := range s.of(oldVersion) {
				s.restartAs(e, "b")
			}
		},
	} {
		for place, vmOf := range takeUpPlaces {
			t.Run(name+", "+place, func(t *testing.T) {
				t.Parallel()
				s := newVersionSite(t, 2, takeUpInterval, "abab")
				streams := s.beginStreams(takenUpStreams, s.vms[0], oldVersion)
				act(s)
				s.takeUpAll(vmOf(s), streams, nil, s.refused)
			})
		}
	}
	t.Run("evacuated", func(t *testing.T) {
		t.Parallel()
		s := newVersionSite(t, 2, takeUpInterval, "aa")
		streams := s.beginStreams(takenUpStreams, s.vms[0], oldVersion)
		s.startEngines(otherZone, "bb")
		s.evacuate(evacuatedZone)
		s.takeUpAll(s.vms[1], streams, nil, s.refused)
	})
}

// Guards against streams that go on at another software version since the engines of theirs are paused,
// full or not reachable when their callers take them up.
func TestTakenUpStreamWaitsForItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	for name, act := range map[string]func(*userplatform.Server){
		"paused for a short time": func(e *userplatform.Server) {
			e.Announce(userplatform.Announcement{RetryAfter: []string{"0.3"}})
			time.AfterFunc(300*time.Millisecond, func() { e.Announce(userplatform.Announcement{}) })
		},
		"paused":        func(e *userplatform.Server) { e.Announce(userplatform.Announcement{RetryAfter: []string{"5"}}) },
		"full":          func(e *userplatform.Server) { e.SetFaults(userplatform.ServerFaults{Shed: true}) },
		"not reachable": func(e *userplatform.Server) { e.Pause() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newVersionSite(t, 2, takeUpInterval, "abab")
			streams := s.beginStreams(takenUpStreams, s.vms[0], oldVersion)
			for _, e := range s.of(oldVersion) {
				act(e)
			}
			s.takeUpAll(s.vms[1], streams, nil, func(st begun, got takenUp) error {
				for _, e := range s.of("b") {
					if n := e.Arrivals(got.id); n > 0 {
						return fmt.Errorf("%d arrivals at %s", n, e.ID())
					}
				}
				if got.err == nil && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests) {
					if got.header.Get("Retry-After") == "" {
						return fmt.Errorf("status %d without Retry-After: %s", got.status, got.body)
					}
					return nil
				}
				return goesOn(st, got)
			})
		})
	}
}

// Guards against a stream that goes on at some software version although that which began it is unknown.
func TestTakenUpStreamOfUnknownSoftwareVersionIsRefused(t *testing.T) {
	t.Parallel()
	nobodyKnows := func(header map[string]string) { header["Resumes"] = fmt.Sprint("unknown-", lastID.Add(1)) }
	for name, c := range map[string]struct {
		prepare, act func(*versionSite)
		change       func(map[string]string)
	}{
		"without Resumes":                    {change: func(header map[string]string) { delete(header, "Resumes") }},
		"id that nobody knows":               {change: nobodyKnows},
		"id that nobody knows, store away":   {change: nobodyKnows, act: func(s *versionSite) { s.refuseAllCalls() }},
		"its own id":                         {change: func(header map[string]string) { header["Resumes"] = header["Request-Id"] }},
		"begun at engines without a version": {prepare: func(s *versionSite) { s.dropVersion(s.of(oldVersion)...) }},
		"begun at engines without versions, again known": {
			prepare: func(s *versionSite) { s.dropVersion(s.of(oldVersion)...) },
			act: func(s *versionSite) {
				for _, e := range s.of(oldVersion) {
					e.Register("ready")
				}
				time.Sleep(300 * time.Millisecond)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newVersionSite(t, 2, takeUpInterval, "abab")
			if c.prepare != nil {
				c.prepare(s)
			}
			streams := s.beginStreams(2, s.vms[0], oldVersion)
			if c.act != nil {
				c.act(s)
			}
			for _, v := range s.vms {
				s.takeUpAll(v, streams, c.change, s.refused)
			}
		})
	}
	t.Run("store away", func(t *testing.T) {
		t.Parallel()
		s := newVersionSite(t, 2, takeUpInterval, "abab")
		streams := s.beginStreams(takenUpStreams, s.vms[0], oldVersion)
		s.refuseAllCalls()
		// The other VM may have learned the version of its peer.
		s.takeUpAll(s.vms[1], streams, nil, func(st begun, got takenUp) error {
			if err := goesOn(st, got); err != nil {
				return s.checkRefused(got)
			}
			return nil
		})
	})
}

// Guards against a new stream that is refused or bound to an earlier one since it names that.
func TestStreamFromItsStartIsNew(t *testing.T) {
	t.Parallel()
	s := newVersionSite(t, 2, takeUpInterval, "ab")
	st := s.beginStreams(1, s.vms[0], oldVersion)[0]
	s.remove(s.of(oldVersion)...)
	var all sync.WaitGroup
	for _, lastEvent := range []string{"", "0"} {
		for _, resumes := range []string{"", st.id, "unknown"} {
			all.Go(func() {
				got := s.takeUp(s.vms[1], st, func(header map[string]string) {
					for name, value := range map[string]string{"Last-Event-Id": lastEvent, "Resumes": resumes} {
						header[name] = value
						if value == "" {
							delete(header, name)
						}
					}
				})
				if err := checkOutcome(got.response, 0, "b", whole); err != nil {
					t.Errorf("Last-Event-Id %q, Resumes %q: %v", lastEvent, resumes, err)
				}
			})
		}
	}
	all.Wait()
}
