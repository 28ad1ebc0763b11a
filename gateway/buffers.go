package gateway

import (
	"context"
	"fmt"
	"io"
	"math"
	"sync/atomic"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/wait"
)

// Limits on the memory for the bodies of requests and of responses that are buffered before
// they are forwarded.
const (
	// requestMemoryFraction is the fraction of the VM's memory that is the budget for bodies
	// of requests. They are kept as long as a run may go on at another engine, so most of the
	// memory that the process does not need for itself is theirs.
	requestMemoryFraction = 0.6
	// requestMemoryWait bounds the wait for memory that other requests hold. A caller whose
	// request is not read gives up after a second.
	requestMemoryWait = 500 * time.Millisecond
	// requestMemoryPoll is the time between two attempts to get it.
	requestMemoryPoll = 10 * time.Millisecond
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
	// initialBufferBytes is the initial size of a buffer for a body of unknown length.
	initialBufferBytes = 4 << 10
)

// BufferBudgetError reports a body that was abandoned because the buffered bodies of this VM
// together reached the memory limit.
type BufferBudgetError struct{ Limit int64 }

func (e *BufferBudgetError) Error() string {
	return fmt.Sprintf("buffered bodies of this VM exceed %d bytes", e.Limit)
}

// bufferBudget tracks the memory of all buffered bodies of a VM, either of requests or of
// responses.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
	// uncounted is the part of each body that does not count.
	uncounted int64
}

// newResponseBudget returns the budget for responses.
func newResponseBudget(vmBytes int64) *bufferBudget {
	return &bufferBudget{limit: max(vmBytes/bufferMemoryDivisor, minBufferBudgetBytes), uncounted: uncountedResponseBytes}
}

// newRequestBudget returns the budget for requests. It has no limit if the memory of the VM
// is unknown.
func newRequestBudget(vmBytes int64) *bufferBudget {
	if vmBytes == 0 {
		return &bufferBudget{limit: math.MaxInt64}
	}
	return &bufferBudget{limit: max(int64(requestMemoryFraction*float64(vmBytes)), minBufferBudgetBytes)}
}

// bufferReservation is the share of the budget that one body uses. It is not
// safe for concurrent use.
type bufferReservation struct {
	budget *bufferBudget
	bytes  int64
}

// reserve raises the reservation to size bytes, less the part that does not count. It
// never lowers it. It returns a *BufferBudgetError if the budget is exhausted.
func (res *bufferReservation) reserve(size int) error {
	extra := int64(size) - res.budget.uncounted - res.bytes
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

// await is reserve, but waits for memory that other bodies hold.
func (res *bufferReservation) await(ctx context.Context, size int) error {
	ctx, cancel := context.WithTimeout(ctx, requestMemoryWait)
	defer cancel()
	for {
		err := res.reserve(size)
		if err == nil || !wait.Sleep(ctx, requestMemoryPoll) {
			return err
		}
	}
}

// release returns the reserved memory to the budget.
func (res *bufferReservation) release() {
	res.budget.used.Add(-res.bytes)
	res.bytes = 0
}

// readAll reads a body to its end. It stops after limit+1 bytes, by which the
// caller recognizes a body that exceeds the limit.
func (res *bufferReservation) readAll(r io.Reader, limit int) ([]byte, error) {
	return res.readInto(make([]byte, 0, initialBufferBytes), r, limit)
}

// readInto is readAll with a first buffer.
func (res *bufferReservation) readInto(buffer []byte, r io.Reader, limit int) ([]byte, error) {
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
