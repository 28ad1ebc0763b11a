package gateway

import (
	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/outstanding"
)

// Parts of the system that refuse requests, as the log field refused_by names them.
const (
	refusedByAdmission        = "admission"
	refusedByColdServers      = "cold_servers"
	refusedByEvacuation       = "evacuation"
	refusedByHomeRegions      = "home_regions"
	refusedByOutstandingBytes = "outstanding_bytes"
)

// refusedBy returns the part that has refused the request with a problem, "" if the kind of the
// problem tells.
func (c *call) refusedBy(p *api.Problem) string {
	if c.outsideRegions {
		return refusedByHomeRegions
	}
	if _, ok := errors.Into[*ServiceEvacuatedError](p.Cause); ok {
		return refusedByEvacuation
	}
	if _, ok := errors.Into[*outstanding.ExceededError](p.Cause); ok {
		return refusedByOutstandingBytes
	}
	if full, ok := errors.Into[*dispatch.QueueFullError](p.Cause); ok && full.RetryAfter > 0 {
		return refusedByAdmission
	}
	if c.ranIntoCold(p) {
		return refusedByColdServers
	}
	return ""
}
