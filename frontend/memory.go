package frontend

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/internal/httphead"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/membudget"
)

// Limits on the memory for requests in progress.
const (
	// requestMemoryFraction is the fraction of the VM's memory that is the budget for requests.
	requestMemoryFraction = 0.25
	// requestBaseBytes is the memory of a request in progress beside its head and body:
	// goroutines and buffers of two connections, see the constant of package gateway.
	requestBaseBytes = 40 << 10
	// completionCopies is how often the body of a completion request exists while it is encoded
	// for an engine: its prompt, the encoder's buffer, which doubles, and the encoded request.
	completionCopies = 4
	// requestMemoryWait bounds the wait for memory that other requests hold, requestMemoryPoll
	// is the time between two attempts to get it.
	requestMemoryWait = 500 * time.Millisecond
	requestMemoryPoll = 10 * time.Millisecond
	// initialBodyBytes is the size of the first buffer for a body. Larger bodies take memory as
	// they arrive.
	initialBodyBytes = 16 << 10
)

// newRequestBudget returns the budget for requests. It has no limit if the memory of the VM is
// unknown, and always room for one request with the largest body.
func newRequestBudget(vmBytes int64, limits config.Limits) *membudget.Budget {
	if vmBytes == 0 {
		return membudget.New(math.MaxInt64, 0)
	}
	single := requestBaseBytes + 2*int64(limits.HeaderBytes) + completionCopies*(limits.BodyBytes+1)
	return membudget.New(max(int64(requestMemoryFraction*float64(vmBytes)), single), 0)
}

// reserveMemory reserves the memory of a request beside its body. Until readBody has read the
// body, the request gives way to one that needs less than half of what it holds.
func (f *Frontend) reserveMemory(c *call) error {
	c.memory = f.requests.Reserve(fmt.Sprintf("%s %p", c.identity.Organisation, c))
	if err := c.memory.AddHead(requestBaseBytes + 2*httphead.Size(c.Request().Header)); err != nil {
		return f.noMemory(c, err)
	}
	return nil
}

// reserveCopies reserves the memory for the copies of a completion request, whose body was read.
func (f *Frontend) reserveCopies(c *call) error {
	if err := awaitBody(c.ctx, c.memory, completionCopies*len(c.body)); err != nil {
		return f.noMemory(c, err)
	}
	return nil
}

// noMemory returns the problem of a request for which the VM has no memory, of which nothing was
// passed on.
func (f *Frontend) noMemory(c *call, cause error) error {
	f.counter.withoutMemory.Inc(1)
	c.log.Warn("request_memory_refused", zap.Int64("bytes", c.Request().ContentLength),
		zap.Int64("used", f.requests.Used()), zap.Error(cause))
	return notRunProblem(api.ProblemNoMemory, http.StatusServiceUnavailable, "the VM has no memory for the request", retryAfterBackend, cause)
}

// isWithoutMemory reports whether err means that the budget for requests was exhausted, or that
// the request gave way to others.
func isWithoutMemory(err error) bool {
	if _, ok := errors.Into[*membudget.ExceededError](err); ok {
		return true
	}
	_, ok := errors.Into[*membudget.EvictedError](err)
	return ok
}

// awaitBody raises the bytes that a request holds of its body. It waits for memory that others
// hold.
func awaitBody(ctx context.Context, memory *membudget.Reservation, bytes int) error {
	ctx, cancel := context.WithTimeout(ctx, requestMemoryWait)
	defer cancel()
	for {
		err := memory.RaiseBody(int64(bytes))
		if err == nil || !wait.Sleep(ctx, requestMemoryPoll) {
			return err
		}
	}
}

// readInto reads a body of an expected size, -1 if that is unknown, into memory of the
// reservation.
func readInto(ctx context.Context, memory *membudget.Reservation, r io.Reader, expected int) ([]byte, error) {
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			larger := nextBuffer(cap(buffer), expected)
			// Both buffers are allocated while the bytes are copied.
			if err := awaitBody(ctx, memory, larger+cap(buffer)); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, larger), buffer...)
			memory.LowerBody(int64(larger))
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

// nextBuffer returns the size of the buffer that follows one of some size. A body of which a
// quarter has arrived gets a buffer of its whole size.
func nextBuffer(size, expected int) int {
	next := max(2*size, initialBodyBytes)
	if expected >= size && next > expected/2 {
		return expected + 1 // One more byte is needed to read the end of the body.
	}
	return next
}
