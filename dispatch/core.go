package dispatch

import "time"

// RequestID names a waiting or running request of one frontend.
type RequestID struct {
	VM       string
	Sequence uint64
}

// Request is what a Core knows of a request. The length of the output is
// unknown until the generation has finished.
type Request struct {
	ID RequestID
	AdmissionRequest
}

// Backend is an engine that a Core may grant.
type Backend struct {
	ID   string
	Zone string
	// BlocksTotal is the number of blocks of key-value memory, zero if not yet reported.
	BlocksTotal int
	// BlockTokens is the number of tokens of a block.
	BlockTokens int
}

// LoadReport is an engine's view of itself. It lags behind.
type LoadReport struct {
	At          time.Time `json:"at"`
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	BlocksUsed  int       `json:"blocks_used"`
	BlocksTotal int       `json:"blocks_total"`
	BlockTokens int       `json:"block_tokens"`
	// Preemptions counts since the start of the engine.
	Preemptions int64 `json:"preemptions"`
}

// CacheEvent reports changes of an engine's prefix cache. A gap in the
// sequence means that events were lost.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Evicted  []uint64 `json:"evicted,omitempty"`
	Cleared  bool     `json:"cleared,omitempty"`
}

// Grant is the right to start one generation on a backend server.
type Grant struct {
	Request  RequestID
	Backend  string
	Priority int
}

// HeldGrant is a grant that a frontend declares to a new dispatcher.
type HeldGrant struct {
	Grant
	AdmissionRequest AdmissionRequest
	Tokens           int
}

// TenantShare is the entitlement of a tenant and of its organisations.
type TenantShare struct {
	Tenant string
	// Share is the part of the pool.
	Share float64
	// Organisations maps an organisation to its weight within the tenant.
	Organisations map[string]float64
	// Weights of the three metrics, relative to each other.
	StallTime, Preemptions, InterTokenLatency float64
}

// Policy decides for one group of engines that have the same model. It is
// single-threaded and deterministic: time enters only as an argument, and
// equal calls give equal results.
type Policy interface {
	// SetShares replaces the entitlements.
	SetShares(now time.Time, shares []TenantShare)
	// SetBackends replaces the engines that may get new work.
	SetBackends(now time.Time, backends []Backend)
	// Submit queues a request. It returns a *QueueFullError or a *NoBackendError.
	Submit(now time.Time, r Request) error
	// Withdraw removes a request that was not granted.
	Withdraw(now time.Time, id RequestID)
	// Progress reports the total of tokens of a granted request.
	Progress(now time.Time, id RequestID, tokens int)
	// Preempted reports that an engine pushed a granted request aside.
	Preempted(now time.Time, id RequestID)
	// Failed reports that the engine of a granted request failed it before its
	// first token.
	Failed(now time.Time, id RequestID)
	// Finish ends a granted request with the total of its tokens.
	Finish(now time.Time, id RequestID, tokens int)
	// Declare adds a grant that another dispatcher gave.
	Declare(now time.Time, h HeldGrant)
	// Load takes an engine's report.
	Load(now time.Time, backend string, r LoadReport)
	// CacheEvent takes a change of an engine's prefix cache.
	CacheEvent(now time.Time, backend string, e CacheEvent)
	// Next returns the grants that can be given now.
	Next(now time.Time) []Grant
	// Waiting returns the number of queued requests of each organisation.
	Waiting() map[string]int
}
