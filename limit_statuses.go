package vanillaarch

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/vanillaarch/vanillaarch/ratelimit"
	"github.com/vanillaarch/vanillaarch/ratelimit/permit"
	"github.com/vanillaarch/vanillaarch/serverstate"
)

// LimitsStatus is what a VM knows of the limits that backend servers name, and the
// permits for requests to them. It is the response of the admin endpoint /limits.
type LimitsStatus struct {
	// Servers are those that name a limit, by id.
	Servers []LimitStatus `json:"servers"`
	// Pending is the number of requests of this VM that wait for a decision. Granted and
	// Denied count decisions since its start, WithoutOwner the permits among them that it
	// took because the granting VM did not answer.
	Pending      int    `json:"pending"`
	Granted      uint64 `json:"granted"`
	Denied       uint64 `json:"denied"`
	WithoutOwner uint64 `json:"without_owner"`
}

// LimitStatus is what a VM knows of the limit of one backend server.
type LimitStatus struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation,omitempty"`
	// PerS is the limit as named, in requests a second. Version orders the limits that
	// the server has named.
	PerS    float64 `json:"per_s"`
	Version uint64  `json:"version"`
	// LearnedFrom is "answer" or "peer".
	LearnedFrom string `json:"learned_from,omitempty"`
	// Grants is set on the VM that grants the permits for the server.
	Grants *GrantsStatus `json:"grants,omitempty"`
}

// GrantsStatus is the state of the permits for one server on the VM that grants them.
type GrantsStatus struct {
	Service string `json:"service"`
	// PerS is the rate at which permits are granted.
	PerS   float64 `json:"per_s"`
	Tokens float64 `json:"tokens"`
	// Waiting is the number of requests that wait for the server, perhaps among others.
	Waiting int    `json:"waiting"`
	Granted uint64 `json:"granted"`
}

// limitReader is what GET /limits reads. It is a *permit.Manager.
type limitReader interface {
	Limits() []permit.KnownLimit
	Stats(context.Context) (ratelimit.Stats, bool)
}

// limitsTimeout bounds the wait for the control loop, which may be behind when an operator
// asks.
const limitsTimeout = time.Second

// serveLimits returns the handler of GET /limits.
func serveLimits(limits limitReader) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx, cancel := context.WithTimeout(c.Request().Context(), limitsTimeout)
		defer cancel()
		stats, ok := limits.Stats(ctx)
		if !ok {
			return echo.NewHTTPError(http.StatusServiceUnavailable, "the control loop does not answer")
		}
		return c.JSON(http.StatusOK, limitsStatus(limits.Limits(), stats))
	}
}

func limitsStatus(limits []permit.KnownLimit, stats ratelimit.Stats) LimitsStatus {
	grants := map[serverstate.Server]*GrantsStatus{}
	for _, s := range stats.Servers {
		grants[s.Server] = &GrantsStatus{Service: s.Service, PerS: s.Rate, Tokens: s.Tokens, Waiting: s.Waiting, Granted: s.Granted}
	}
	status := LimitsStatus{
		Servers: []LimitStatus{}, Pending: stats.Pending, Granted: stats.Granted, Denied: stats.Denied, WithoutOwner: stats.Floor,
	}
	for _, l := range limits {
		status.Servers = append(status.Servers, LimitStatus{
			ID: l.Server.ID, Incarnation: l.Server.Incarnation, PerS: float64(l.Rate), Version: l.Version, LearnedFrom: l.Source,
			Grants: grants[l.Server],
		})
	}
	return status
}
