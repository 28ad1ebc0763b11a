// Package route defines the routing table of a deployment, as configured by the
// operator: which service handles a request, who may send it, and which limits
// apply. A Table is immutable.
package route

import (
	"slices"
	"strings"
	"time"

	"github.com/vanillaarch/vanillaarch/bundle"
)

// Kind determines whether requests of a route may run more than once.
type Kind int

const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota
	// AtMostOnce requests must not run more than once.
	AtMostOnce
	// Stream requests are answered with a stream of events. They must not run more
	// than once, unless their route is resumable.
	Stream
)

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Targets are the services and their weights in the traffic split.
	Targets []Target
	// Timeout is the maximum time that a caller waits.
	Timeout time.Duration
	// TargetLatency is the latency objective for the complete answer, or for the
	// first event of a stream.
	TargetLatency time.Duration
	// MaxEventGap is the longest time between two events of a stream.
	MaxEventGap time.Duration
	// Priority is the priority of the route, 0 being the most urgent.
	Priority int
	// MaxAttempts is the maximum number of backend servers that may run a request.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// HomeRegions are the regions whose servers may get the requests, any if it is empty.
	HomeRegions []string
	// Resumable streams may continue at another backend server.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Target is a service and its weight in a traffic split.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath is the path of the health check of a backend server.
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts
	// from all callers together.
	MaxConnections int
	// ColdStart is the time after its start for which a server takes only ColdRate requests a
	// second from all VMs together. ColdRate is 0 if a server takes any number.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the inference engines of a service.
type Engine struct {
	// Slots is the maximum batch size.
	Slots int
	// MemoryTokens is the capacity of the key-value cache of one engine, in tokens.
	MemoryTokens int
	// BytesPerToken is the size of one token in the key-value cache.
	BytesPerToken int64
	// LinkMbps is the bandwidth between engines.
	LinkMbps float64
	// SupportsMove reports whether a run can be moved to another engine, and
	// SupportsBackup whether its key-value cache can be copied while it runs.
	SupportsMove, SupportsBackup bool
	// TokensPerEvent is the number of tokens of one event of a stream.
	TokensPerEvent int
	// CopyLifetime is how long an engine keeps an unused copy.
	CopyLifetime time.Duration
	Models       []string
}

// Organisation is a customer. API keys identify it.
type Organisation struct {
	Name string
	// Priority overrides the priority of the route, unless it is nil.
	Priority *int
	// HomeRegions are the regions whose servers may get the requests, any if it is empty.
	HomeRegions []string
}

// Limits restricts the size and the timing of requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the routing table.
type Table struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	// Organisations is empty if no API keys are required.
	Organisations []Organisation

	byHost       map[string][]*Route
	byKey        map[string]*Organisation
	entitlements *bundle.Index
}

// defaultBodyBytes is the limit for bodies if the operator configures none.
const defaultBodyBytes = 4 << 20

// TableSpec is the content of a table.
type TableSpec struct {
	Version       int64
	Limits        Limits
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// Keys maps an API key to the index of its organisation.
	Keys map[string]int
}

// NewTable builds a table and its lookup indexes from a spec.
func NewTable(d TableSpec) *Table {
	t := &Table{
		Version: d.Version, Limits: d.Limits, Organisations: d.Organisations,
		Services: make(map[string]*Service, len(d.Services)),
		byHost:   map[string][]*Route{}, byKey: make(map[string]*Organisation, len(d.Keys)),
	}
	if t.Limits.BodyBytes <= 0 {
		t.Limits.BodyBytes = defaultBodyBytes
	}
	for i := range d.Services {
		t.Services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		host := strings.ToLower(d.Routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &d.Routes[i])
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for key, i := range d.Keys {
		t.byKey[key] = &t.Organisations[i]
	}
	t.entitlements = t.newEntitlements()
	return t
}

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// NeedsKey reports whether requests of a route require an API key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Organisations) > 0 && !r.Public }

// OrganisationByKey returns the organisation of an API key.
func (t *Table) OrganisationByKey(key string) (*Organisation, bool) {
	o, ok := t.byKey[key]
	return o, ok
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.Services[name] }

// Anonymous is the organisation of requests that require no API key.
const Anonymous = "anonymous"

// federation is the tenant of all organisations of a table. A table configures no
// shares, so all organisations get equal ones.
const federation = "federation"

// Entitlements returns the index of the shares of all organisations.
func (t *Table) Entitlements() *bundle.Index { return t.entitlements }

// newEntitlements builds an index in which all organisations have equal shares.
func (t *Table) newEntitlements() *bundle.Index {
	organisations := []bundle.Organisation{{Name: Anonymous}}
	for _, o := range t.Organisations {
		organisations = append(organisations, bundle.Organisation{Name: o.Name})
	}
	return bundle.NewIndex(&bundle.Document{
		Version: t.Version,
		Tenants: []bundle.Tenant{{Name: federation, Share: 1, Organisations: organisations}},
	}, "")
}

// PoolName returns the name of the pool of engines that serve a model of a service.
func PoolName(service, model string) string { return service + "/" + model }
