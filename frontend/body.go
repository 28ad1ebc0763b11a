package frontend

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/listen"
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
func (f *Frontend) discardBody(c echo.Context) {
	if !hasBody(c.Request()) {
		return
	}
	begun, limit := time.Now(), f.Config.Timeouts.Body.Std()
	left := func() time.Duration { return f.drain.bodyWait(begun, limit) }
	if err := listen.DiscardBody(c.Response(), c.Request(), left); err != nil {
		f.Log.Debug("body_not_dropped", zap.Error(err))
	}
}
