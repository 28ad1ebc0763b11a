package platform_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/localsite"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Guards against streams of several VMs that are cut at once: the entry of their engine is missing for
// a moment, or it leaves and serves on, the VMs move their runs, and the next engines refuse them.
// The first engine has ended the runs by then, and keeps their memory.
func TestRunsGoBackToTheirEngine(t *testing.T) {
	const events, drafts = 250, 9
	for name, leave := range map[string]func(*userplatform.Server){
		"entry missing for a moment": func(e *userplatform.Server) {
			e.Unregister()
			time.Sleep(500 * time.Millisecond)
			e.Register("ready")
		},
		"entry removed": (*userplatform.Server).Unregister,
		"draining":      func(e *userplatform.Server) { e.Register("draining") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, options{vms: 2, engines: 3, events: events, interval: 10 * time.Millisecond})
			for _, e := range s.engines {
				e.SetFaults(userplatform.ServerFaults{BackupDelay: time.Minute, RefuseCopies: true})
			}
			var ended []<-chan response
			for i := range drafts {
				ended = append(ended, s.startDraftAt(s.vms[i%len(s.vms)], fmt.Sprint("goes-back-", i)))
			}
			first := s.engineOf("goes-back-0")
			time.Sleep(200 * time.Millisecond)
			leave(first)
			for _, end := range ended {
				if err := checkStream(<-end, events); err != nil {
					t.Error(err)
				}
			}
			returned := 0 // Runs with a backup stay at their engine.
			for i := range drafts {
				if len(s.fleet.Executions(fmt.Sprint("goes-back-", i))) > 1 {
					returned++
				}
			}
			if returned == 0 {
				t.Error("no run has left its engine")
			}
		})
	}
}

// startDraftAt is startDraft for a given VM.
func (s *site) startDraftAt(v *localsite.VM, id string) <-chan response {
	s.t.Helper()
	a := draft()
	a.id = id
	ended := make(chan response, 1)
	go func() { ended <- s.send(v, a) }()
	s.eventually(3*time.Second, "the draft runs", func() bool { return len(s.fleet.Runs(id)) == 1 })
	return ended
}
