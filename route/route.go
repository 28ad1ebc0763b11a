// Package route holds the operator's configuration of a deployment: which
// request goes to which service, who may send it, and within which limits. A
// Table is immutable.
package route

import (
	"slices"
	"strings"
	"time"

	"github.com/vanillaarch/vanillaarch/bundle"
)

// Kind says how often the requests of a route may run.
type Kind int

const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota
	// AtMostOnce requests may run once.
	AtMostOnce
	// Stream requests are answered with a series of events. They may run once,
	// unless their route is resumable.
	Stream
)

// Route directs requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Targets are the services with the parts of the traffic that they get.
	Targets []Target
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the time to the whole answer, or to the first event of a stream.
	TargetLatency time.Duration
	// MaxEventGap is the longest pause between two events of a stream.
	MaxEventGap time.Duration
	// Priority is the rank of the route, 0 is the most urgent.
	Priority int
	// MaxAttempts is the largest number of backend servers that may run a request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Target is a service with its weight in a split.
type Target struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath answers whether a backend server is healthy.
	HealthPath string
	// MaxConnections is what one backend server accepts from all callers together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the inference engines of a service.
type Engine struct {
	// Slots is the largest batch.
	Slots int
	// MemoryTokens is the key-value memory of one engine.
	MemoryTokens int
	// BytesPerToken is the size of one token in that memory.
	BytesPerToken int64
	// LinkMbps is the bandwidth between engines.
	LinkMbps float64
	// SupportsMove says that a run can be moved to another engine, SupportsBackup that its
	// memory can be copied while it grows.
	SupportsMove, SupportsBackup bool
	// TokensPerEvent is the number of tokens of one event of a stream.
	TokensPerEvent int
	// CopyLifetime is how long an unused copy is kept.
	CopyLifetime time.Duration
	Models       []string
}

// Organisation holds the keys of a customer.
type Organisation struct {
	Name string
	// Priority takes precedence over that of a route, if it is set.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  int64
	Limits   Limits
	Services map[string]*Service
	// Organisations is empty if no key is needed.
	Organisations []Organisation

	byHost       map[string][]*Route
	byKey        map[string]*Organisation
	entitlements *bundle.Index
}

// defaultBodyBytes bounds bodies where the operator states no limit.
const defaultBodyBytes = 4 << 20

// TableSpec is the content of a table.
type TableSpec struct {
	Version       int64
	Limits        Limits
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	// Keys maps a key to the position of its organisation.
	Keys map[string]int
}

// NewTable builds the lookups of a draft.
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

// Match returns the route with the longest prefix of a path.
func (t *Table) Match(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// NeedsKey reports whether requests of a route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Organisations) > 0 && !r.Public }

// Identify returns the organisation of a key.
func (t *Table) Identify(key string) (*Organisation, bool) {
	o, ok := t.byKey[key]
	return o, ok
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.Services[name] }

// Anonymous is the organisation of requests that need no key.
const Anonymous = "anonymous"

// federation is the tenant that holds all organisations of a table, which
// states no shares: all have equal ones.
const federation = "federation"

// Entitlements returns the shares of the organisations.
func (t *Table) Entitlements() *bundle.Index { return t.entitlements }

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

// PoolName names the interchangeable engines of a service that hold a model.
func PoolName(service, model string) string { return service + "/" + model }
