// Package freeport chooses loopback addresses for processes that tests and soaks start, and keeps
// them free until these processes listen on them.
package freeport

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/go-faster/errors"
)

// The ports lie below those that systems give to connections and to listeners without a port of
// their own (Linux: from 32768, IANA: from 49152). A port from there could be taken by another
// process before its process listens on it, or while that process restarts.
const (
	firstPort = 10000
	portCount = 22000
	// blockPorts is the number of ports that a process reserves together, against other processes
	// that use this package.
	blockPorts = 500
	blockCount = portCount / blockPorts
)

// block is a reserved part of the ports. It is reserved as long as mark is open, which is at most
// until the process ends.
type block struct {
	firstPort int
	// mark is bound to the UDP port with the number of the first port. The processes that get the
	// ports listen on TCP ports only.
	mark net.PacketConn
}

// allocator hands out the ports of a process.
type allocator struct {
	mu     sync.Mutex
	blocks []block
	// next is the number of the next port to try, counted over blocks.
	next  int
	taken map[string]struct{}
}

var ports = allocator{taken: map[string]struct{}{}}

// Address returns a loopback address on which nothing listens, and reserves it until Release.
func Address() (string, error) { return ports.address() }

// Listen listens on an unused loopback address and reserves it until Release.
func Listen() (net.Listener, error) { return ports.listen() }

// Release ends the reservation of addresses.
func Release(addresses ...string) { ports.release(addresses...) }

func (a *allocator) address() (string, error) {
	l, err := a.listen()
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func (a *allocator) listen() (net.Listener, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		total := len(a.blocks) * blockPorts
		for range total {
			n := a.next % total
			a.next = n + 1
			address := loopback(a.blocks[n/blockPorts].firstPort + n%blockPorts)
			if _, taken := a.taken[address]; taken {
				continue
			}
			if l, err := net.Listen("tcp", address); err == nil {
				a.taken[address] = struct{}{}
				return l, nil
			}
		}
		if err := a.reserveBlock(); err != nil {
			return nil, err
		}
		a.next = total
	}
}

// reserveBlock reserves one more block. The search begins at a block that depends on the process id,
// so that ports are not used again soon by the next process. The caller must hold a.mu.
func (a *allocator) reserveBlock() error {
	var err error
	for i := range blockCount {
		first := firstPort + (os.Getpid()+i)%blockCount*blockPorts
		var mark net.PacketConn
		if mark, err = net.ListenPacket("udp4", loopback(first)); err == nil {
			a.blocks = append(a.blocks, block{first, mark})
			return nil
		}
	}
	return errors.Wrap(err, "no free port")
}

func loopback(port int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}

func (a *allocator) release(addresses ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, address := range addresses {
		delete(a.taken, address)
	}
}
