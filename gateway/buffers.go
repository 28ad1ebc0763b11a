package gateway

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Limits on the memory for responses that are buffered before they are forwarded.
const (
	// uncountedResponseBytes is the part of each response that does not count
	// against the budget. Responses of typical size therefore still succeed while
	// another server exhausts the budget with endless responses.
	uncountedResponseBytes = 16 << 10
	// bufferMemoryDivisor is the divisor of the VM's memory that gives the budget
	// for buffered responses.
	bufferMemoryDivisor = 8
	// minBufferBudgetBytes is the lower bound of the budget. It also applies
	// when the memory of the VM is unknown.
	minBufferBudgetBytes = 4 << 20
	// initialResponseBufferBytes is the initial size of a response buffer.
	initialResponseBufferBytes = 4 << 10
)

// BufferBudgetError reports a response that was abandoned because the buffered
// responses of this VM together reached the memory limit.
type BufferBudgetError struct{ Limit int64 }

func (e *BufferBudgetError) Error() string {
	return fmt.Sprintf("buffered responses of this VM exceed %d bytes", e.Limit)
}

// bufferBudget tracks the memory of all buffered responses of a VM.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
}

func newBufferBudget(vmBytes int64) *bufferBudget {
	return &bufferBudget{limit: max(vmBytes/bufferMemoryDivisor, minBufferBudgetBytes)}
}

// bufferReservation is the share of the budget that one response uses. It is not
// safe for concurrent use.
type bufferReservation struct {
	budget *bufferBudget
	bytes  int64
}

// reserve raises the reservation to size bytes, less uncountedResponseBytes. It
// never lowers it. It returns a *BufferBudgetError if the budget is exhausted.
func (res *bufferReservation) reserve(size int) error {
	extra := int64(size) - uncountedResponseBytes - res.bytes
	if extra <= 0 {
		return nil
	}
	if res.budget.used.Add(extra) > res.budget.limit {
		res.budget.used.Add(-extra)
		return &BufferBudgetError{Limit: res.budget.limit}
	}
	res.bytes += extra
	return nil
}

// release returns the reserved memory to the budget.
func (res *bufferReservation) release() {
	res.budget.used.Add(-res.bytes)
	res.bytes = 0
}

// readAll reads a response to its end. It stops after limit+1 bytes, by which the
// caller recognizes a response that exceeds the limit.
func (res *bufferReservation) readAll(r io.Reader, limit int) ([]byte, error) {
	buffer := make([]byte, 0, initialResponseBufferBytes)
	for {
		if len(buffer) > limit {
			return buffer, nil
		}
		if len(buffer) == cap(buffer) {
			larger := min(2*cap(buffer), limit+1)
			// Both buffers are allocated while the bytes are copied.
			if err := res.reserve(larger + cap(buffer)); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, larger), buffer...)
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
