package frontend

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/internal/listen"
	"github.com/vanillaarch/vanillaarch/membudget"
	"github.com/vanillaarch/vanillaarch/requestbody"
)

func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// limitUnreadBody is the middleware that bounds the wait of answers to requests whose body is
// not read. readBody and discardBody set their own limits.
func (f *Frontend) limitUnreadBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if hasBody(c.Request()) {
			if err := listen.LimitUnreadBody(c.Response()); err != nil {
				f.Log.Debug("read_deadline_failed", zap.Error(err))
			}
		}
		return next(c)
	}
}

// discardBody reads the rest of the body of a request that is refused before its body was read.
// Over HTTP/2 the answer arrives without that, since a stream ends without its connection.
func (f *Frontend) discardBody(c echo.Context) {
	if !hasBody(c.Request()) || isHTTP2(c.Request()) {
		return
	}
	begun, limit := time.Now(), f.Config.Timeouts.Body.Std()
	left := func() time.Duration { return f.drain.bodyWait(begun, limit) }
	if err := listen.DiscardBody(c.Response(), c.Request(), left); err != nil {
		f.Log.Debug("body_not_dropped", zap.Error(err))
	}
}

// readBody reads the body of a request into memory of the budget for requests. If another request
// needs the memory before the body has ended, the request gives way and was not run.
func (f *Frontend) readBody(c *call) ([]byte, error) {
	if c.Request().ContentLength > f.Config.Limits.BodyBytes {
		return nil, f.bodyTooLarge()
	}
	control := http.NewResponseController(c.Response())
	limited := control.SetReadDeadline(time.Now().Add(f.Config.Timeouts.Body.Std())) == nil
	c.memory = f.requests.Reserve(c.identity.Organisation)
	listen.BeginBody(c.ctx)
	body, err := c.memory.Read(c.ctx, headMemory(c.Request()), requestbody.Body{
		Reader: http.MaxBytesReader(c.Response(), c.Request().Body, f.Config.Limits.BodyBytes),
		Length: c.Request().ContentLength, Limit: f.Config.Limits.BodyBytes, Shared: isHTTP2(c.Request()),
		End: func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }, // Fails only without a connection.
	})
	open := listen.EndBody(c.ctx)
	if err != nil {
		return nil, f.bodyProblem(c, err)
	}
	c.bodyRead = true
	if !open {
		return nil, f.noMemory(c, nil)
	}
	if limited {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, nil
}

// bodyProblem returns the problem of a request whose body was not read to its end.
func (f *Frontend) bodyProblem(c *call, err error) error {
	if _, ok := errors.Into[*membudget.ExceededError](err); ok {
		return f.noMemory(c, err)
	}
	c.bodyRead = true // Another read would fail as well.
	listen.ExpectInput(c.Request().Context())
	if evicted, ok := errors.Into[*membudget.EvictedError](err); ok {
		return f.gaveWay(c, evicted)
	}
	if _, ok := errors.Into[*http.MaxBytesError](err); ok {
		return f.bodyTooLarge()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return api.NewProblem(api.ProblemBodyTimeout, http.StatusRequestTimeout, api.OutcomeNotRun,
			fmt.Sprintf("the body did not arrive within %s", f.Config.Timeouts.Body.Std())).WithCause(err)
	}
	return invalidRequest("the body could not be read").WithCause(err)
}

func (f *Frontend) bodyTooLarge() error {
	return api.NewProblem(api.ProblemBodyTooLarge, http.StatusRequestEntityTooLarge, api.OutcomeNotRun,
		fmt.Sprintf("the body exceeds %d bytes", f.Config.Limits.BodyBytes))
}
