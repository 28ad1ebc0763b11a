package control

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// benchList returns a list of 20 entry VMs and n engines.
func benchList(n int) *vmlist.List {
	list := &vmlist.List{Revision: 1}
	for i := range 20 {
		list.VMs = append(list.VMs, vmlist.VM{ID: fmt.Sprintf("entry-%d", i), Role: vmlist.RoleEntry, State: vmlist.StateLive})
	}
	for i := range n {
		list.VMs = append(list.VMs, vmlist.VM{ID: fmt.Sprintf("engine-%d", i), State: vmlist.StateLive, Models: []string{"m"}})
	}
	return list
}

// BenchmarkSnapshotSwap measures publishing a snapshot after a change that does
// not affect the VM list.
func BenchmarkSnapshotSwap(b *testing.B) {
	for _, n := range []int{10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			l := NewLoop(zap.NewNop(), time.Now)
			VMListReceived{List: benchList(n)}.Apply(&l.state)
			l.publish()
			ids := []string{"entry-1"}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				SuspicionsChanged{Suspect: ids[:i%2], Cleared: ids[i%2:]}.Apply(&l.state)
				l.publish()
			}
		})
	}
}
