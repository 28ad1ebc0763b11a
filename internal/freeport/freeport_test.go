package freeport

import (
	"net"
	"strconv"
	"testing"
)

// Guards against ports of VMs that another run or a connection can take while their VM
// restarts.
func TestPortsStayTaken(t *testing.T) {
	a := allocator{taken: map[string]struct{}{}}
	seen := map[string]bool{}
	for range 300 {
		address, err := a.address()
		if err != nil {
			t.Fatal(err)
		}
		_, text, _ := net.SplitHostPort(address)
		if port, err := strconv.Atoi(text); err != nil || port < firstPort || port >= firstPort+portCount || seen[address] {
			t.Fatalf("%s, %v, handed out before: %t", address, err, seen[address])
		}
		seen[address] = true
		a.next = 0
	}
}
