package gateway

import (
	"io"
	"math"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/membudget"
	"github.com/vanillaarch/vanillaarch/requestbody"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// Limits on the memory for the bodies of requests, and for what is held of responses before it
// is forwarded: heads, bodies and events.
const (
	// requestMemoryFraction is the fraction of the VM's memory that is the budget for
	// requests. Bodies are kept as long as a run may go on at another engine, so most of the
	// memory that the process does not need for itself is theirs. With 0.6, and an eighth for
	// answers, both budgets full took a VM of 120 MB to 120 MB.
	requestMemoryFraction = 0.555
	// processBytes is what the process needs for itself and for garbage, which is no smaller on
	// a small VM: the budget is less there. minRequestFraction is the least fraction.
	processBytes       = 28 << 20
	minRequestFraction = 0.45
	// smallPartDivisor is the divisor of this budget that gives the part which only small
	// requests may take, so that they are served while bodies take the rest. 16 bodies of 4 MB
	// still fit beside it on a VM of 120 MB.
	smallPartDivisor = 40
	// smallRequestBytes is the memory of the largest of them: requestBaseBytes, and about 64 KiB of head and body.
	smallRequestBytes = 112 << 10
	// requestBaseBytes is the memory of a request in progress beside its head and body:
	// goroutines and buffers of two connections. 400 streams in progress took 38 KB each.
	requestBaseBytes = 40 << 10
	// uncountedResponseBytes is the part of each response, head included, that does not
	// count against the budget. Responses of typical size therefore still succeed while
	// another server exhausts the budget with endless responses.
	uncountedResponseBytes = 16 << 10
	// bufferMemoryDivisor is the divisor of the VM's memory that gives the budget
	// for responses.
	bufferMemoryDivisor = 12
	// minBufferBudgetBytes is the lower bound of the budget. It also applies
	// when the memory of the VM is unknown.
	minBufferBudgetBytes = 4 << 20
	// initialBufferBytes is the initial size of a buffer for a body of unknown length.
	initialBufferBytes = 4 << 10
)

// newAnswerBudget returns the budget for answers of backend servers: their heads, bodies and
// events.
func newAnswerBudget(vmBytes int64) *membudget.Budget {
	return membudget.New(max(vmBytes/bufferMemoryDivisor, minBufferBudgetBytes), uncountedResponseBytes)
}

// newRequestMemory returns the memory for requests. It has no limit if the memory of the VM is
// unknown.
func newRequestMemory(vmBytes int64) *requestbody.Memory {
	if vmBytes == 0 {
		return requestbody.New(requestbody.Options{LimitBytes: math.MaxInt64})
	}
	rest := vmBytes - vmBytes/bufferMemoryDivisor - processBytes
	limit := min(int64(requestMemoryFraction*float64(vmBytes)), rest)
	limit = max(limit, int64(minRequestFraction*float64(vmBytes)), minBufferBudgetBytes)
	return requestbody.New(requestbody.Options{
		LimitBytes: limit, SmallPartBytes: limit / smallPartDivisor, SmallRequestBytes: smallRequestBytes,
	})
}

// readAll reads a body to its end into memory of the reservation. It stops after limit+1 bytes,
// by which the caller recognizes a body that exceeds the limit.
func readAll(memory *membudget.Reservation, r io.Reader, limit int) ([]byte, error) {
	return readInto(memory, make([]byte, 0, initialBufferBytes), r, limit)
}

// readInto is readAll with a first buffer.
func readInto(memory *membudget.Reservation, buffer []byte, r io.Reader, limit int) ([]byte, error) {
	for {
		if len(buffer) > limit {
			return buffer, nil
		}
		if len(buffer) == cap(buffer) {
			larger := min(2*cap(buffer), limit+1)
			// Both buffers are allocated while the bytes are copied.
			if err := memory.RaiseBody(int64(larger + cap(buffer))); err != nil {
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

// logMemory logs and counts an attempt whose answer found no memory or gave way to others.
func (c *call) logMemory(backendID string, err error) {
	fields := []zap.Field{zap.String("backend", backendID), zap.Int64("used", c.g.answerBudget.Used()), telemetry.Error(err)}
	if evicted, ok := errors.Into[*membudget.EvictedError](err); ok {
		c.log.Warn("answer_evicted", append(fields, zap.Int64("bytes", evicted.Bytes), zap.Int64("server_bytes", evicted.OwnerBytes),
			zap.String("for", evicted.For))...)
		c.g.Metrics.answersEvicted.Inc(1)
	}
	if _, ok := errors.Into[*membudget.ExceededError](err); ok {
		c.log.Warn("answer_memory_refused", fields...)
		c.g.Metrics.answersWithoutMemory.Inc(1)
	}
}

// withoutMemory reports whether an answer was given up since the answers of other servers take
// the memory of this VM, which says nothing about its own server. A server that is among those
// that hold the most has failed.
func withoutMemory(err error) bool {
	exceeded, ok := errors.Into[*membudget.ExceededError](err)
	return ok && !exceeded.AmongLargest
}
