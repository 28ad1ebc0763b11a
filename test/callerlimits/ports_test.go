package callerlimits

import (
	"net"
	"testing"
)

const (
	// addressesTaken is the number of addresses that the test of free addresses takes.
	addressesTaken = 200
	// otherListeners is the number of listeners on ports that the system chooses.
	otherListeners = 1000
)

// Guards against an address for the daemon that a test of another package takes before the daemon
// listens on it: the daemon then ended with "address already in use".
func TestFreeAddressesStayFree(t *testing.T) {
	addresses := make([]string, addressesTaken)
	for i := range addresses {
		addresses[i] = freeAddress(t)
	}
	for range otherListeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
	}
	taken := 0
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			taken++
			continue
		}
		defer l.Close()
	}
	if taken > 0 {
		t.Errorf("%d of %d addresses are in use, or were handed out twice", taken, len(addresses))
	}
}
