package flowcontrol

import (
	"fmt"
	"testing"
)

func benchNames(n int) ([]string, []Tenant) {
	names, tenant := make([]string, n), Tenant{Name: "t", Share: 1}
	for i := range names {
		names[i] = fmt.Sprintf("org-%d", i)
		tenant.Organisations = append(tenant.Organisations, Organisation{Name: names[i], Weight: 1})
	}
	return names, []Tenant{tenant}
}

func perOrganisations(b *testing.B, run func(b *testing.B, n int)) {
	for _, n := range []int{10, 100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			run(b, n)
		})
	}
}

func BenchmarkCharge(b *testing.B) {
	perOrganisations(b, func(b *testing.B, n int) {
		names, tenants := benchNames(n)
		q := NewQueue[int](Limits{PerOrganisation: 1, Total: n})
		q.SetShares(tenants)
		for _, name := range names {
			q.Push(name, 0)
		}
		for i := 0; b.Loop(); i++ {
			q.Charge(names[i%n], 16)
		}
	})
}

func BenchmarkEstimator(b *testing.B) {
	perOrganisations(b, func(b *testing.B, n int) {
		names, _ := benchNames(n)
		e := NewLengthEstimator()
		for i := range 32 * n {
			e.Observe(names[i%n], "m", i%4096)
		}
		for i := 0; b.Loop(); i++ {
			e.Observe(names[i%n], "m", i%4096)
			e.RemainingTokens(names[i%n], "m", i%1024, 0.7)
		}
	})
}
