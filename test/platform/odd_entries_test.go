package platform_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// oddEntry returns the entry of a plain server with one field replaced.
func oddEntry(field, value string) string {
	fields := map[string]string{
		"service": `"desk"`, "address": `"127.0.0.1:9"`, "zone": `"z"`, "slots": "6", "state": `"ready"`, "born": "17",
	}
	fields[field] = value
	var members []string
	for name, v := range fields {
		members = append(members, fmt.Sprintf("%q:%s", name, v))
	}
	return "{" + strings.Join(members, ",") + "}"
}

// nested returns JSON arrays within each other.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// oddEntries returns entries that another writer may have left among those of servers.
func oddEntries() map[string]string {
	entries := map[string]string{
		"nested":         nested(400_000),
		"nested-field":   oddEntry("extra", nested(100_000)),
		"nested-models":  oddEntry("models", nested(20_000)),
		"not-closed":     strings.Repeat(`{"a":`, 100_000),
		"large-slots":    oddEntry("slots", "1e400"),
		"overflow-slots": oddEntry("slots", "99999999999999999999"),
		"negative-slots": oddEntry("slots", "-9000000000000000000"),
		"large-born":     oddEntry("born", "1e300"),
		"negative-born":  oddEntry("born", "-1"),
		"id\nwith lines": oddEntry("zone", `"z"`),
		"":               oddEntry("zone", `"z"`),
		"bytes":          "\x00\xff\xfe",
	}
	for i, address := range []string{"127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1:99999999999999999999", ":", "127.0.0.1:", ":80", "nowhere:80"} {
		entries[fmt.Sprintf("address-%d", i)] = oddEntry("address", `"`+address+`"`)
	}
	return entries
}

// Guards against odd entries among those of the servers: a VM that reads them ends or stops
// following the list, or sends requests to servers that cannot exist.
func TestOddEntriesAmongServersAreIgnored(t *testing.T) {
	s := newSite(t, options{vms: 1, plainServers: 2, plainServerSlots: 64})
	for id, entry := range oddEntries() {
		s.store.Put("servers/"+id, []byte(entry))
	}
	// The sound servers are replaced: their successors are as unknown as the odd ones.
	for i, old := range s.plainServers {
		if _, err := s.StartServer(userplatform.ServerOptions{
			ID: fmt.Sprintf("successor-%d", i), Service: "desk", Zone: "z", Slots: 64, ProcessingTime: 5 * time.Millisecond,
		}); err != nil {
			t.Fatal(err)
		}
		old.Unregister()
	}
	vm := s.vms[0]
	s.eventually(5*time.Second, "the successors alone are listed", func() bool {
		snap := vm.Snapshot()
		_, first := snap.Backends["successor-0"]
		_, second := snap.Backends["successor-1"]
		return first && second && snap.Backends["desk-0"].ID == "" && snap.Backends["desk-1"].ID == ""
	})
	if n := len(vm.Snapshot().Backends); n != 2 {
		t.Errorf("%d servers are used, want 2", n)
	}
	for i := range 100 {
		if r := s.send(vm, look()); r.err != nil || r.status != http.StatusOK {
			t.Errorf("request %d: status %d, %v, %s", i, r.status, r.err, r.body)
		}
	}
	late := s.mustStartVM("vm-late")
	s.eventually(5*time.Second, "a VM that starts later serves", func() bool {
		r := s.send(late, book())
		return r.err == nil && r.status == http.StatusOK
	})
}
