package frontend

import (
	"bytes"
	"math"
	"net/http"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/internal/httphead"
	"github.com/vanillaarch/vanillaarch/membudget"
	"github.com/vanillaarch/vanillaarch/requestbody"
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
	// smallPartDivisor is the divisor of the budget that gives the part which only requests of up
	// to smallRequestBytes, head and body, may take.
	smallPartDivisor  = 8
	smallRequestBytes = requestBaseBytes + tlsBytes + receiveWindowBytes + maxFrameBytes + 64<<10
)

// newRequestMemory returns the memory that requests share. It has no limit if the memory of the
// VM is unknown, and always room for one request with the largest body.
func newRequestMemory(vmBytes int64, limits config.Limits) *requestbody.Memory {
	if vmBytes == 0 {
		return requestbody.New(requestbody.Options{LimitBytes: math.MaxInt64, SmallRequestBytes: math.MaxInt64})
	}
	beside := requestBaseBytes + tlsBytes + receiveWindowBytes + maxFrameBytes + 2*int64(limits.HeaderBytes)
	single := 2*beside + (1+completionCopies)*(limits.BodyBytes+bytes.MinRead) // holdCopies counts it twice for a short time.
	limit := max(int64(requestMemoryFraction*float64(vmBytes)), single+single/(smallPartDivisor-1)+1)
	return requestbody.New(requestbody.Options{
		LimitBytes: limit, SmallPartBytes: limit / smallPartDivisor, SmallRequestBytes: smallRequestBytes,
	})
}

// headMemory returns the memory of a request beside its body.
func headMemory(r *http.Request) int64 {
	return requestBaseBytes + connectionMemory(r) + 2*httphead.Size(r.Header)
}

// holdCopies replaces the memory of a completion request whose body was read by that for the
// copies of the body. The body itself counts until it was collected.
func (f *Frontend) holdCopies(c *call) error {
	copies := f.requests.Reserve(c.identity.Organisation)
	if err := copies.Admit(c.ctx, headMemory(c.Request())+completionCopies*int64(len(c.body))); err != nil {
		return f.noMemory(c, err)
	}
	c.memory.Release()
	c.memory = copies
	return nil
}

// EvictStalledBody lets a request whose body does not arrive give way to a new connection. It
// returns false if there is none.
func (f *Frontend) EvictStalledBody() bool { return f.requests.EvictStalled() }

// noMemory returns the problem of a request for which the VM has no memory, of which nothing was
// passed on.
func (f *Frontend) noMemory(c *call, cause error) error {
	f.counter.withoutMemory.Inc(1)
	c.log.Warn("request_memory_refused", zap.Int64("bytes", c.Request().ContentLength),
		zap.Int64("used", f.requests.Used()), zap.Error(cause))
	return notRunProblem(api.ProblemNoMemory, http.StatusServiceUnavailable, "the VM has no memory for the request", retryAfterBackend, cause)
}

// gaveWay returns the problem of a request whose incomplete body gave way to another request.
// Its connection is closed.
func (f *Frontend) gaveWay(c *call, evicted *membudget.EvictedError) error {
	f.counter.bodiesEvicted.Inc(1)
	c.log.Warn("request_body_evicted", zap.String("owner", evicted.Owner), zap.Int64("owner_bytes", evicted.OwnerBytes),
		zap.Int64("held", evicted.Bytes), zap.Int64("bytes", c.Request().ContentLength), zap.String("for", evicted.For),
		zap.String("remote", c.Request().RemoteAddr))
	c.Response().Header().Set("Connection", "close")
	return notRunProblem(api.ProblemNoMemory, http.StatusServiceUnavailable,
		"the VM needs the memory of the incomplete body", retryAfterBackend, evicted)
}
