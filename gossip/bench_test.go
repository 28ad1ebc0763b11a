package gossip

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// poolServers is the number of backend servers behind 300 entry VMs in a sweep.
const poolServers = 3000

func poolList(revision int64) *vmlist.List {
	list := &vmlist.List{Revision: revision}
	for i := range poolServers {
		vm := vmlist.VM{
			ID: fmt.Sprintf("i-%010x", i*7919), Role: vmlist.RoleEngine, State: vmlist.StateLive, Zone: "hafnar-b",
			Address: fmt.Sprintf("10.2.%d.%d:8488", i/250, i%250), Models: []string{"drafter/m"}, Slots: 24, Incarnation: 1786442319689,
		}
		if int64(i) == revision%poolServers {
			vm.State = vmlist.StateLeaving
		}
		list.VMs = append(list.VMs, vm)
	}
	return list
}

// BenchmarkApplyVMListDelta measures the cost of applying a delta that changes one
// of 3,000 backend servers.
func BenchmarkApplyVMListDelta(b *testing.B) {
	loop := control.NewLoop(zap.NewNop(), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go loop.Run(ctx)
	decode := func([]byte) (*route.Table, error) { return nil, nil }
	g := New(RouteSources(loop, decode), zap.NewNop())
	sender := NewHistory(VMListHistoryBytes)
	var encoder vmlist.Encoder
	b.ReportAllocs()
	for revision := int64(1); b.Loop(); revision++ {
		b.StopTimer()
		content, err := encoder.Encode(poolList(revision))
		if err != nil {
			b.Fatal(err)
		}
		sender.Add(revision, content)
		encoded, base, err := sender.Encode(g.histories[KindVMList].Fingerprint())
		if err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		now := time.Now()
		g.handle(now, message{"peer", &peerpb.Membership{Message: &peerpb.Membership_Heartbeat{
			Heartbeat: &peerpb.Heartbeat{VmListRevision: revision},
		}}})
		g.handle(now, message{"peer", &peerpb.Membership{Message: &peerpb.Membership_Document{Document: &peerpb.Document{
			Kind: KindVMList, Version: revision, Encoded: encoded, BaseFingerprint: base,
		}}}})
		for loop.Snapshot().Servers.Revision < revision {
			time.Sleep(10 * time.Microsecond)
		}
		g.recordVersion(KindVMList)
	}
}
