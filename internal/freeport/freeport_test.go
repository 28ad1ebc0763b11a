package freeport

import (
	"net"
	"strconv"
	"testing"
)

// newAllocator returns the allocator of another process, whose reservations end with the test.
func newAllocator(t *testing.T) *allocator {
	t.Helper()
	a := &allocator{taken: map[string]struct{}{}}
	t.Cleanup(func() {
		for _, b := range a.blocks {
			_ = b.mark.Close()
		}
	})
	return a
}

// Guards against an address that two processes choose, as the test binaries of two packages do that
// run at the same time: each process has an allocator of its own.
func TestProcessesUseDifferentPorts(t *testing.T) {
	one, other := newAllocator(t), newAllocator(t)
	seen := map[string]bool{}
	for range 2 * blockPorts {
		for _, a := range []*allocator{one, other} {
			address, err := a.address()
			if err != nil {
				t.Fatal(err)
			}
			if seen[address] {
				t.Fatalf("%s was handed out twice", address)
			}
			seen[address] = true
		}
	}
}

// Guards against ports of VMs that another run or a connection can take while their VM
// restarts.
func TestPortsStayTaken(t *testing.T) {
	a := newAllocator(t)
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
