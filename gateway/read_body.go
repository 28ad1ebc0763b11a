package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/httphead"
	"github.com/vanillaarch/vanillaarch/internal/listen"
	"github.com/vanillaarch/vanillaarch/membudget"
	"github.com/vanillaarch/vanillaarch/requestbody"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// readBody buffers the whole body, so that an attempt can be retried and a slow
// caller does not slow down a backend server.
func (c *call) readBody() error {
	c.memory = c.g.requestMemory.Reserve(c.bodyOwner())
	if c.r.Body == nil || c.r.Body == http.NoBody {
		if err := c.memory.Admit(c.r.Context(), c.headMemory()); err != nil {
			return c.noMemory(err)
		}
		return nil
	}
	if limit := c.snap.Routes.Limits.BodyBytes; c.r.ContentLength > limit {
		c.dropBody()
		return bodyTooLarge(&http.MaxBytesError{Limit: limit})
	}
	control := http.NewResponseController(c.w)
	limited, release := c.g.drain.limit(c.r.Context(), noTime)
	defer release()
	defer context.AfterFunc(limited, func() { c.endRead(control) })()
	if err := control.SetReadDeadline(time.Now().Add(c.remaining())); err != nil {
		c.log.Debug("read_deadline_failed", telemetry.Error(err))
	}
	body, err := c.bufferBody(limited, control)
	if err == nil {
		c.clearReadDeadline(control)
		c.body = body
		return nil
	}
	return c.bodyNotRead(control, err)
}

// bodyOwner returns the owner of the memory that the body takes: the organisation, or without one
// the address of the caller.
func (c *call) bodyOwner() string {
	if c.organisation != nil {
		return c.organisation.Name
	}
	address, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		return c.r.RemoteAddr
	}
	return address
}

// bufferBody reads the body into memory for requests.
func (c *call) bufferBody(ctx context.Context, control *http.ResponseController) ([]byte, error) {
	limit := c.snap.Routes.Limits.BodyBytes
	return c.memory.Read(ctx, c.headMemory(), requestbody.Body{
		Reader: http.MaxBytesReader(c.w, c.r.Body, limit), Length: c.r.ContentLength, Limit: limit,
		End: func() { c.endRead(control) },
	})
}

// bodyNotRead returns the problem of a request whose body was not read to its end.
func (c *call) bodyNotRead(control *http.ResponseController, err error) error {
	if tooLarge, ok := errors.Into[*http.MaxBytesError](err); ok {
		return bodyTooLarge(tooLarge)
	}
	if full, ok := errors.Into[*membudget.ExceededError](err); ok {
		c.dropBody()
		return c.noMemory(full)
	}
	c.recordBodyError(err)
	listen.ExpectInput(c.r.Context())
	// http.Server would wait for the rest of the body before it sends the answer.
	c.w.Header().Set("Connection", "close")
	c.expireRead(control)
	if evicted, ok := errors.Into[*membudget.EvictedError](err); ok {
		return c.gaveWay(evicted)
	}
	return api.NewProblem(api.ProblemBodyTimeout, http.StatusRequestTimeout, api.OutcomeNotRun,
		"the body did not arrive").WithCause(err)
}

func bodyTooLarge(cause *http.MaxBytesError) error {
	return api.NewProblem(api.ProblemBodyTooLarge, http.StatusRequestEntityTooLarge, api.OutcomeNotRun,
		"the body exceeds the limit").WithCause(cause)
}

// headMemory returns the memory that the request takes beside its body. The header exists
// twice while an attempt is in progress.
func (c *call) headMemory() int64 { return requestBaseBytes + 2*httphead.Size(c.r.Header) }

// noMemory returns the problem of a request for which the VM has no memory.
func (c *call) noMemory(cause error) error {
	c.log.Warn("request_memory_refused", zap.Int64("bytes", c.r.ContentLength), zap.Int64("head_bytes", c.headMemory()),
		zap.Int64("used", c.g.requestMemory.Used()), telemetry.Error(cause))
	c.g.Metrics.requestsWithoutMemory.Inc(1)
	return notReady("the VM has no memory for the request").WithCause(cause)
}

// EvictStalledBody lets a request whose body does not arrive give way to a new connection. It
// returns false if there is none.
func (g *Gateway) EvictStalledBody() bool { return g.requestMemory.EvictStalled() }

// gaveWay returns the problem of a request whose incomplete body gave way to another request.
func (c *call) gaveWay(evicted *membudget.EvictedError) error {
	c.log.Warn("request_body_evicted", zap.String("owner", evicted.Owner), zap.Int64("owner_bytes", evicted.OwnerBytes),
		zap.Int64("held", evicted.Bytes), zap.Int64("bytes", c.r.ContentLength), zap.String("for", evicted.For),
		zap.String("remote", c.r.RemoteAddr), zap.Duration("elapsed", c.elapsed()))
	c.g.Metrics.bodiesEvicted.Inc(1)
	return notReady("the VM needs the memory of the incomplete body").WithCause(evicted)
}

const (
	// refusedBytesPerSecond bounds what a VM reads of bodies that it refuses, beyond the first
	// part of each. Callers that send on without end had a VM read 1 GB/s.
	refusedBytesPerSecond = 64 << 20
	// refusedPartBytes is what listen.DiscardBody reads at most.
	refusedPartBytes = 256 << 10
	// maxDropTime limits how long the rest of a refused body is read.
	maxDropTime = 10 * time.Second
)

// partlyRead is a body that tells whether its end was read.
type partlyRead struct {
	io.ReadCloser
	ended bool
}

// Read implements io.Reader.
func (b *partlyRead) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err != nil
	return n, err
}

// dropBody reads and drops the rest of a refused body, since a caller that is still sending may
// not see the answer: as much as a legal body may have, if not too much is refused at a time.
func (c *call) dropBody() {
	end := boottime.Now() + maxDropTime
	left := func() time.Duration { return min(c.untilStop(), end-boottime.Now(), c.remaining()) }
	most := c.snap.Routes.Limits.BodyBytes
	if c.r.ContentLength > most || c.r.Header.Get("Expect") != "" {
		most = refusedPartBytes // Too long, or the caller may not have begun to send it.
	}
	body := &partlyRead{ReadCloser: c.r.Body}
	c.r.Body = body
	for dropped := int64(0); dropped < most && !body.ended; dropped += refusedPartBytes {
		if dropped > 0 && !c.g.refusedBytes.Take(refusedPartBytes) {
			c.g.Metrics.bodiesCutShort.Inc(1)
			return
		}
		if err := listen.DiscardBody(c.w, c.r, left); err != nil {
			c.recordBodyError(err)
			c.log.Debug("body_not_dropped", telemetry.Error(err))
			return
		}
	}
}

// recordBodyError records an error of a read of the body. http.Server ends the context of the
// request after any, also after one of a time limit of this VM.
func (c *call) recordBodyError(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.bodyLate.Store(true)
	}
}

// clearReadDeadline ends the time limit for the body, which must not end the watch for the
// caller's leaving.
func (c *call) clearReadDeadline(control *http.ResponseController) {
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		c.log.Debug("read_deadline_failed", telemetry.Error(err))
	}
}

// discardBody reads the rest of the body of a request that is refused before its body was read.
func (c *call) discardBody() {
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return
	}
	if err := listen.DiscardBody(c.w, c.r, c.untilStop); err != nil {
		c.recordBodyError(err)
		c.log.Debug("body_not_dropped", telemetry.Error(err))
	}
}

// endRead ends the read of a body because the VM stops, or after the caller has disconnected. The
// body may have ended in the same moment. What fails then is the read by which http.Server
// watches for the caller's leaving.
func (c *call) endRead(control *http.ResponseController) {
	if c.r.Context().Err() == nil {
		c.bodyLate.Store(true)
	}
	c.expireRead(control)
}

// expireRead ends the read of a body, so that a request of which the rest does not arrive
// gets its answer.
func (c *call) expireRead(control *http.ResponseController) {
	if err := control.SetReadDeadline(time.Unix(1, 0)); err != nil {
		c.log.Debug("read_deadline_failed", telemetry.Error(err))
	}
}
