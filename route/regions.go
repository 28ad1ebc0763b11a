package route

import "slices"

// HomeRegions are the regions whose servers may get a request: those that its route and its
// organisation both allow.
type HomeRegions struct{ route, organisation []string }

// NewHomeRegions returns the home regions of the requests of a route and an organisation, which
// may be nil.
func NewHomeRegions(r *Route, o *Organisation) HomeRegions {
	h := HomeRegions{route: r.HomeRegions}
	if o != nil {
		h.organisation = o.HomeRegions
	}
	return h
}

// Any reports whether servers in any region may get the request.
func (h HomeRegions) Any() bool { return len(h.route) == 0 && len(h.organisation) == 0 }

// Allow reports whether servers in a region may get the request. The region "" is unknown, and
// allowed only if any is.
func (h HomeRegions) Allow(region string) bool {
	return h.Any() || region != "" && allows(h.route, region) && allows(h.organisation, region)
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
