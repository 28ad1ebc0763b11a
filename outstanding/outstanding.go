// Package outstanding bounds the bytes of the requests that a VM has sent to a backend server
// and that the server has not answered. A server that holds more requests than its memory
// takes crashes, whatever the number of its slots.
package outstanding

import (
	"fmt"
	"sync"
)

const (
	// bytesPerSlot is the part of a server's memory that one VM uses for each slot.
	bytesPerSlot = 64 << 10
	// defaultSlots is assumed for servers whose number of slots is unknown.
	defaultSlots = 4
)

// Limit returns the bytes that one VM may have outstanding at a server with a number of slots, 0
// or less if it is unknown.
func Limit(slots int) int64 {
	if slots <= 0 {
		slots = defaultSlots
	}
	return int64(slots) * bytesPerSlot
}

// ExceededError reports a request that was not sent since the bytes outstanding at its server
// would exceed the limit.
type ExceededError struct {
	Server string
	// Bytes is the size of the request, Outstanding that of the requests before it.
	Bytes, Outstanding, Limit int64
}

func (e *ExceededError) Error() string {
	return fmt.Sprintf("%d bytes are outstanding at server %s: %d more exceed the limit of %d", e.Outstanding, e.Server, e.Bytes, e.Limit)
}

// Table counts the bytes outstanding at each server. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	bytes   map[string]int64
	changed chan struct{}
}

// New returns a Table without requests.
func New() *Table { return &Table{bytes: map[string]int64{}, changed: make(chan struct{})} }

// Check returns an *ExceededError if a request of the given size must not be sent to a server
// now. A request that is alone at its server may exceed the limit, since it would never be sent
// otherwise.
func (t *Table) Check(server string, bytes, limit int64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(server, bytes, limit)
}

func (t *Table) check(server string, bytes, limit int64) error {
	if held := t.bytes[server]; held > 0 && held+bytes > limit {
		return &ExceededError{Server: server, Bytes: bytes, Outstanding: held, Limit: limit}
	}
	return nil
}

// Add counts a request. It returns an *ExceededError like Check. release must be called once when
// the request is answered or given up.
func (t *Table) Add(server string, bytes, limit int64) (release func(), err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.check(server, bytes, limit); err != nil {
		return nil, err
	}
	t.bytes[server] += bytes
	return func() { t.remove(server, bytes) }, nil
}

func (t *Table) remove(server string, bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bytes[server] -= bytes; t.bytes[server] <= 0 {
		delete(t.bytes, server)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed when fewer bytes are outstanding at any server. It
// must be obtained before the Check whose result may change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Bytes returns the bytes outstanding at all servers.
func (t *Table) Bytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := int64(0)
	for _, n := range t.bytes {
		sum += n
	}
	return sum
}
