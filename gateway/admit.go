package gateway

import (
	"cmp"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
)

// admit finds the route, authenticates the caller, sets the deadline and selects
// the service.
func (c *call) admit() error {
	if c.snap.Routes == nil {
		return notReady("no configuration is in force on this VM")
	}
	path, _, _ := strings.Cut(c.target(), "?")
	var ok bool
	if c.route, ok = c.snap.Routes.Match(c.r.Host, path); !ok {
		if err := c.checkFresh(); err != nil {
			return err // A newer configuration may contain the route.
		}
		return api.NewProblem(api.ProblemUnknownRoute, http.StatusNotFound, api.OutcomeNotRun, "no route matches")
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	timeout := c.info.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.deadline = c.arrived + min(timeout, c.route.Timeout)
	c.service = c.snap.Routes.Service(c.pickTarget())
	if c.service == nil {
		return api.NewProblem(api.ProblemNoBackend, http.StatusServiceUnavailable, api.OutcomeNotRun,
			"the service of the route is unknown").WithRetryAfter(time.Second)
	}
	if err := c.checkConfirmed(); err != nil {
		return err
	}
	return c.adoptRegions()
}

// authenticate sets the organisation of the caller's API key.
func (c *call) authenticate() error {
	if !c.snap.Routes.NeedsKey(c.route) {
		return nil
	}
	if err := c.checkFresh(); err != nil {
		return err // A newer configuration may have added or revoked the key.
	}
	var ok bool
	if c.organisation, ok = c.snap.Routes.OrganisationByKey(c.info.Key); !ok {
		return api.NewProblem(api.ProblemUnauthorised, http.StatusUnauthorized, api.OutcomeNotRun,
			"the API key is missing or unknown")
	}
	return nil
}

// checkConfirmed rejects an authenticated request while the configuration is too
// old to tell whether its key has been revoked. It is called again right before a
// request is sent, since the VM may have been suspended in between.
func (c *call) checkConfirmed() error {
	if c.organisation == nil {
		return nil
	}
	return c.checkFresh()
}

// checkFresh rejects the request if the configuration has not been confirmed
// recently enough.
func (c *call) checkFresh() error {
	snap := c.g.Snapshot()
	if c.g.confirmed(snap) {
		return nil
	}
	c.log.Debug("configuration_unconfirmed", zap.Duration("age", boottime.Now()-snap.RoutesConfirmed),
		zap.Int64("version", snap.Routes.Version))
	return notReady("the configuration has not been confirmed recently")
}

// confirmed reports whether the configuration was confirmed as the newest one
// recently enough for requests with a key. A bound of 0 disables the check.
func (g *Gateway) confirmed(snap *control.Snapshot) bool {
	bound := g.Bounds().Revoke
	return bound == 0 || snap.ConfirmedWithin(boottime.Now(), bound-confirmMargin)
}

// pickTarget returns the service of the route. If the traffic is split, it selects
// by weight.
func (c *call) pickTarget() string {
	targets := c.route.Targets
	if len(targets) == 1 {
		return targets[0].Service
	}
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	// The hash of the request id is uniformly distributed. A retry by the caller has
	// another id and may go to another service, unless it takes up a stream: that goes on at the
	// service that began it.
	id := c.info.ID
	if c.info.LastEvent != "" {
		id = cmp.Or(c.info.Resumes, id)
	}
	point := hashFraction(id) * total
	for _, t := range targets {
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	return targets[len(targets)-1].Service
}
