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
	// portsPerProcess is the distance between the first ports of two process ids, so
	// that concurrent tests use different ports.
	portsPerProcess = 1500
)

// allocator hands out the ports of a process.
type allocator struct {
	mu    sync.Mutex
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
	for range portCount {
		port := firstPort + (os.Getpid()*portsPerProcess+a.next)%portCount
		a.next++
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if _, taken := a.taken[address]; taken {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			a.taken[address] = struct{}{}
			return l, nil
		}
	}
	return nil, errors.New("no free port")
}

func (a *allocator) release(addresses ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, address := range addresses {
		delete(a.taken, address)
	}
}
