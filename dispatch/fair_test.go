package dispatch

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestFair(engines ...string) Core {
	f := NewFair(FairOptions{})
	f.SetShares(epoch, []TenantShare{
		{Tenant: "t1", Share: 0.5, Organisations: map[string]float64{"a": 1, "b": 1}},
		{Tenant: "t2", Share: 0.5, Organisations: map[string]float64{"c": 1}},
	})
	var backends []Backend
	for _, id := range engines {
		backends = append(backends, Backend{ID: id, BlocksTotal: 1000, BlockTokens: 16})
	}
	f.SetBackends(epoch, backends)
	return f
}

func request(sequence uint64, organisation string, excluded ...string) Request {
	return Request{ID: RequestID{VM: "vm", Sequence: sequence}, Ask: Ask{
		Organisation: organisation, Model: "m", PromptTokens: 100, MaxTokens: 400, Excluded: excluded,
	}}
}

// Guards against declared grants that do not count against an engine's window.
func TestFairDeclaredGrantsTakeRoom(t *testing.T) {
	f := newTestFair("e1")
	for i := range uint64(100) {
		f.Declare(epoch, Held{Grant: Grant{Request: RequestID{VM: "old", Sequence: i}, Backend: "e1"}, Ask: request(0, "a").Ask})
	}
	if err := f.Submit(epoch, request(1, "a")); err != nil {
		t.Fatal(err)
	}
	if g := f.Next(epoch); len(g) != 0 {
		t.Fatalf("grants on a full engine: %v", g)
	}
	for i := range uint64(100) {
		f.Finish(epoch, RequestID{VM: "old", Sequence: i}, 10)
	}
	if g := f.Next(epoch); len(g) != 1 {
		t.Fatalf("grants after the declared ones ended: %v, want 1", g)
	}
}
