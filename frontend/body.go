package frontend

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/listen"
)

func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// limitUnreadBody is the middleware that bounds the wait of answers to requests whose body is
// not read. readBody sets its own limit.
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
