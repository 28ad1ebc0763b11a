package platform_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"
)

// counters returns the counters of a VM by name.
func (s *site) counters(address string) map[string]struct{ Count int64 } {
	s.t.Helper()
	answer, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	defer answer.Body.Close()
	var out map[string]struct{ Count int64 }
	if err := json.NewDecoder(answer.Body).Decode(&out); err != nil {
		s.t.Fatal(err)
	}
	return out
}

// Guards against connections that end within the head of a request, or by a head that is refused,
// and leave no trace: their callers say that they got no answer.
func TestHeadsWithoutARequestAreCounted(t *testing.T) {
	s := newSite(t, options{vms: 1, plainServers: 1})
	v := s.vms[0]
	if r := s.send(v, book()); r.status != http.StatusOK {
		t.Fatalf("status %d, %v", r.status, r.err)
	}
	before := s.counters(v.Entry.Addresses().Metrics)
	refused := dialVM(t, v.Entry.Addresses().Callers)
	refused.send("GET / HTTP/1.1\r\nno colon\r\n\r\n")
	if status, err := refused.readStatus(); status != http.StatusBadRequest {
		t.Errorf("status %d, %v", status, err)
	}
	partial := dialVM(t, v.Entry.Addresses().Callers)
	partial.send("GET / HTTP/1.1\r\nHost: h\r\n")
	_ = partial.Close()
	heads := func() int64 {
		now := s.counters(v.Entry.Addresses().Metrics)
		accepted := now["gateway.requests_accepted"].Count - before["gateway.requests_accepted"].Count
		return now["connections.heads"].Count - before["connections.heads"].Count - accepted
	}
	s.eventually(5*time.Second, "two heads without a request", func() bool { return heads() == 2 })
}
