package gateway

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Memory for answers that are not passed on yet.
const (
	// uncountedResponseBytes may be held for each answer in any case, so that a server
	// whose answers have no end fails none of the usual answers of others.
	uncountedResponseBytes = 16 << 10
	// bufferMemoryDivisor is the part of the memory of a VM that answers may hold.
	bufferMemoryDivisor = 8
	// minBufferBudgetBytes is the least memory that answers may hold.
	minBufferBudgetBytes = 4 << 20
	// initialResponseBufferBytes is the size by which the buffer of an answer begins.
	initialResponseBufferBytes = 4 << 10
)

// BufferBudgetError reports an answer that is given up, since the answers of this
// VM together hold more memory than they may.
type BufferBudgetError struct{ Limit int64 }

func (e *BufferBudgetError) Error() string {
	return fmt.Sprintf("the answers of this VM hold more than %d bytes", e.Limit)
}

// bufferBudget counts the bytes that answers hold.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
}

func newBufferBudget(vmBytes int64) *bufferBudget {
	return &bufferBudget{limit: max(vmBytes/bufferMemoryDivisor, minBufferBudgetBytes)}
}

// bufferReservation is the memory of one answer. It is not safe for concurrent use.
type bufferReservation struct {
	budget *bufferBudget
	bytes  int64
}

// reserve asks for a buffer of a size. It returns a *BufferBudgetError.
func (h *bufferReservation) reserve(size int) error {
	more := int64(size) - uncountedResponseBytes - h.bytes
	if more <= 0 {
		return nil
	}
	if h.budget.used.Add(more) > h.budget.limit {
		h.budget.used.Add(-more)
		return &BufferBudgetError{Limit: h.budget.limit}
	}
	h.bytes += more
	return nil
}

// release gives the memory back.
func (h *bufferReservation) release() {
	h.budget.used.Add(-h.bytes)
	h.bytes = 0
}

// readAll reads an answer to its end, and limit bytes at most. It may return one
// byte more than that.
func (h *bufferReservation) readAll(r io.Reader, limit int) ([]byte, error) {
	buffer := make([]byte, 0, initialResponseBufferBytes)
	for {
		if len(buffer) > limit {
			return buffer, nil
		}
		if len(buffer) == cap(buffer) {
			larger := min(2*cap(buffer), limit+1)
			// Both buffers are in use while the bytes are copied.
			if err := h.reserve(larger + cap(buffer)); err != nil {
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
