package localcluster_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/delta"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
	"github.com/vanillaarch/vanillaarch/peer"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Guards against a faulty peer that announces an incorrect VM list with the highest
// revision and so prevents all VMs from accepting newer lists of the platform.
func TestWrongVMListOfPeerDoesNotLast(t *testing.T) {
	c := start(t, localcluster.Options{VMs: 6, Engines: 2, Configure: func(cfg *config.Config) {
		cfg.Bundle.FallbackInterval = config.Duration(500 * time.Millisecond)
	}})
	rollOut(t, c, 1)
	waitAll(t, c.VMs, failoverLimit, "list of 6 VMs", hasEntryVMs(6))
	forged := *c.VMs[0].Server.Snapshot().VMs
	forged.Revision = 1 << 62
	forged.VMs = nil
	for _, vm := range c.VMs[0].Server.Snapshot().VMs.VMs {
		if vm.Role == vmlist.RoleEntry {
			forged.VMs = append(forged.VMs, vm)
		}
	}
	announce(t, c, &forged)
	waitAll(t, c.VMs, failoverLimit, "wrong list", func(s *control.Snapshot) bool { return len(s.Backends) == 0 })
	c.VMList.SetState("engine-1", vmlist.StateLeaving)
	waitAll(t, c.VMs, 10*time.Second, "list of the platform", func(s *control.Snapshot) bool {
		return len(s.Engines[localcluster.Model]) == 1
	})
	c.VMList.SetState("engine-2", vmlist.StateLeaving)
	waitAll(t, c.VMs, failoverLimit, "next list of the platform", func(s *control.Snapshot) bool {
		return len(s.Engines[localcluster.Model]) == 0 && len(s.Backends) == 2
	})
}

// announce starts a peer that sends the given VM list to one VM.
func announce(t *testing.T, c *localcluster.Cluster, list *vmlist.List) {
	t.Helper()
	content, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := delta.Encode(nil, content)
	if err != nil {
		t.Fatal(err)
	}
	send := func(s *peer.Sessions, to string, m *peerpb.Membership) {
		if err := s.Send(to, &peerpb.Envelope{Body: &peerpb.Envelope_Membership{Membership: m}}); err != nil {
			t.Error(err)
		}
	}
	offer := &peerpb.Heartbeat{VmListRevision: list.Revision}
	var s *peer.Sessions
	s, err = peer.Listen(peer.Options{
		VM: "vm-wrong", Listen: "127.0.0.1:0", HeartbeatInterval: time.Second, SuspectAfter: time.Second, Log: zap.NewNop(),
		Handler: func(from string, m *peerpb.Envelope) {
			if r := m.GetMembership().GetDocumentRequest(); r.GetKind() == peerpb.DocumentKind_DOCUMENT_KIND_VM_LIST {
				send(s, from, &peerpb.Membership{Message: &peerpb.Membership_Document{Document: &peerpb.Document{
					Kind: r.GetKind(), Version: list.Revision, Encoded: encoded,
				}}})
			}
		},
		Probe: func() *peerpb.Heartbeat { return offer },
		Ack:   func(string, *peerpb.Heartbeat) *peerpb.HeartbeatAck { return &peerpb.HeartbeatAck{} },
	})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(t.Context())
	}()
	t.Cleanup(func() { <-done })
	self := vmlist.VM{ID: "vm-wrong", Role: vmlist.RoleEntry, State: vmlist.StateLeaving, Zone: "z", Region: "r", PeerAddress: s.Addr()}
	c.VMList.Put(self)
	waitAll(t, c.VMs, failoverLimit, "wrong peer", func(s *control.Snapshot) bool {
		return slices.ContainsFunc(s.VMs.VMs, func(vm vmlist.VM) bool { return vm.ID == self.ID })
	})
	s.SetVMs(list.VMs)
	send(s, "vm-1", &peerpb.Membership{Message: &peerpb.Membership_Heartbeat{Heartbeat: offer}})
}
