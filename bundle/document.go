// Package bundle defines the versioned configuration bundle that operators sign
// and roll out, its validation, and its storage in the key-value service.
package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/jsonc"
)

// Document is the content of a bundle. The content of a version never changes.
type Document struct {
	// Version is positive and increases with each rollout.
	Version int64    `json:"version"`
	Tenants []Tenant `json:"tenants"`
	Models  []Model  `json:"models"`
	Routes  []Route  `json:"routes"`
}

// Tenant is an independent business that shares the pool and the budget with the
// other tenants.
type Tenant struct {
	Name string `json:"name"`
	// Share is the fraction of the budget that the tenant may use, above 0 and at most 1.
	Share         float64        `json:"share"`
	Weights       Weights        `json:"weights"`
	Organisations []Organisation `json:"organisations"`
}

// Weights holds the relative importance of each performance measure to the tenant.
type Weights struct {
	StallTime         float64 `json:"stall_time"`
	Preemptions       float64 `json:"preemptions"`
	InterTokenLatency float64 `json:"inter_token_latency"`
}

// Organisation is a customer of a tenant.
type Organisation struct {
	Name string `json:"name"`
	// Weight is the organisation's relative part of the tenant's share. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// APIKeySHA256 lists the SHA-256 digests of the API keys, in hex.
	APIKeySHA256 []string `json:"api_key_sha256"`
}

// Model is a model that callers can request.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// Adapters lists the adapters that engines load with the model.
	Adapters []string `json:"adapters,omitempty"`
}

// Route maps a route name to a call of a service that is not an engine.
type Route struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Path is the path on the backend server, starting with a slash.
	Path string `json:"path"`
	// NonRepeatable marks calls that must run at most once.
	NonRepeatable bool `json:"non_repeatable,omitempty"`
	// TimeoutMS bounds one call in milliseconds. Default 10,000.
	TimeoutMS int `json:"timeout_ms,omitempty"`
}

// defaultRouteTimeout bounds calls of routes without a timeout.
const defaultRouteTimeout = 10 * time.Second

// Timeout returns the time limit of one call.
func (r Route) Timeout() time.Duration {
	if r.TimeoutMS <= 0 {
		return defaultRouteTimeout
	}
	return time.Duration(r.TimeoutMS) * time.Millisecond
}

// Violation is one validation error, located by its path in the document.
type Violation = jsonc.Violation

// InvalidError lists all validation errors of a document.
type InvalidError struct{ Violations []Violation }

func (e *InvalidError) Error() string { return jsonc.Describe("bundle", e.Violations) }

// Parse reads a document in JSON with comments and validates it as a whole.
// Violations are reported as an *InvalidError that lists all of them.
func Parse(data []byte) (*Document, error) {
	std, violations := jsonc.Standardize(data)
	if violations != nil {
		return nil, &InvalidError{Violations: violations}
	}
	return parseCanonical(std)
}

// parseCanonical reads a document in JSON without comments and validates it as a
// whole.
func parseCanonical(data []byte) (*Document, error) {
	var doc Document
	violations, decoded := jsonc.Decode(data, &doc)
	if decoded {
		violations = append(violations, doc.Validate()...)
	}
	if len(violations) > 0 {
		return nil, &InvalidError{Violations: violations}
	}
	return &doc, nil
}

// Encode returns the canonical JSON form of the document.
func (d *Document) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode bundle")
	}
	return data, nil
}

// Digest returns the SHA-256 digest of encoded content, in hex.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// APIKeyDigest returns the digest under which a bundle stores an API key.
func APIKeyDigest(key string) string { return Digest([]byte(key)) }

type violations []Violation

func (v *violations) add(path, format string, args ...any) {
	*v = append(*v, Violation{Path: path, Message: fmt.Sprintf(format, args...)})
}
