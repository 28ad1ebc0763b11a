package vmlist

import (
	"slices"
	"testing"
)

// Guards against a VM with a fifth of a core dispatching for 122 engines while
// VMs with a whole core are available, and against an empty selection when the
// VMs with a large CPU share are gone or no VM reports its share.
func TestLargestByCPU(t *testing.T) {
	weak, strong, middle, unknown := VM{ID: "weak", CPU: 0.192}, VM{ID: "strong", CPU: 0.8}, VM{ID: "middle", CPU: 0.5}, VM{ID: "unknown"}
	for _, c := range []struct{ vms, want []VM }{
		{[]VM{weak, strong, unknown, middle}, []VM{strong, middle}},
		{[]VM{weak, unknown}, []VM{weak}},
		{[]VM{unknown, unknown}, []VM{unknown, unknown}},
		{nil, nil},
	} {
		same := func(a, b VM) bool { return a.ID == b.ID }
		if got := LargestByCPU(c.vms); !slices.EqualFunc(got, c.want, same) {
			t.Errorf("LargestByCPU(%v) = %v, want %v", c.vms, got, c.want)
		}
	}
}
