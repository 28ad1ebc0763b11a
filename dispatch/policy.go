package dispatch

import "time"

// RequestID identifies a waiting or running request of one frontend.
type RequestID struct {
	VM       string
	Sequence uint64
}

// Request is a request as a Policy sees it. The output length is unknown until the
// generation has finished.
type Request struct {
	ID RequestID
	AdmissionRequest
}

// Backend is an engine that a Policy may grant.
type Backend struct {
	ID   string
	Zone string
	// BlocksTotal is the number of blocks of key-value memory, zero if not yet reported.
	BlocksTotal int
	// BlockTokens is the number of tokens of a block.
	BlockTokens int
	// ResumedAt is when the evacuation of the engine's zone ended, after which it gets its load back
	// gradually. It is the zero time if it was not evacuated lately.
	ResumedAt time.Time
}

// LoadReport is an engine's report of its own load. It lags behind the actual load.
type LoadReport struct {
	At          time.Time `json:"at"`
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	BlocksUsed  int       `json:"blocks_used"`
	BlocksTotal int       `json:"blocks_total"`
	BlockTokens int       `json:"block_tokens"`
	// Preemptions is the number of preemptions since the engine started.
	Preemptions int64 `json:"preemptions"`
}

// CacheEvent reports changes to an engine's prefix cache. A gap in the sequence
// numbers means that events were lost.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Evicted  []uint64 `json:"evicted,omitempty"`
	Cleared  bool     `json:"cleared,omitempty"`
}

// A stream is reported when its unreported tokens reach minUnreportedTokens or, if that is
// more, the reported tokens divided by unreportedDivisor. Without the relative bound, long
// streams would cause most of the traffic.
const (
	minUnreportedTokens = 16
	unreportedDivisor   = 4
)

// UnreportedTokens returns the number of tokens after which the next progress of a stream is
// reported.
func UnreportedTokens(reported int) int {
	return max(minUnreportedTokens, reported/unreportedDivisor)
}

// Grant is the right to start one generation on a backend server.
type Grant struct {
	Request  RequestID
	Backend  string
	Priority int
}

// HeldGrant is a grant that a frontend still holds and declares to a new dispatcher.
type HeldGrant struct {
	Grant
	AdmissionRequest AdmissionRequest
	Tokens           int
}

// TenantShare is the entitlement of a tenant and of its organisations.
type TenantShare struct {
	Tenant string
	// Share is the tenant's fraction of the pool.
	Share float64
	// Organisations maps an organisation to its weight within the tenant.
	Organisations map[string]float64
	// StallTime, Preemptions and InterTokenLatency are the tenant's weights of the
	// three metrics, relative to each other.
	StallTime, Preemptions, InterTokenLatency float64
}

// Policy schedules requests on one group of engines that serve the same model. It is
// single-threaded and deterministic: time is only passed as an argument, and the same
// sequence of calls gives the same results.
type Policy interface {
	// SetShares replaces the entitlements.
	SetShares(now time.Time, shares []TenantShare)
	// SetBackends replaces the engines that may receive new work.
	SetBackends(now time.Time, backends []Backend)
	// Submit queues a request. It returns a *QueueFullError or a *NoBackendError.
	Submit(now time.Time, r Request) error
	// Withdraw removes a request that has not been granted.
	Withdraw(now time.Time, id RequestID)
	// Progress reports the total number of tokens that a granted request has produced.
	Progress(now time.Time, id RequestID, tokens int)
	// Preempted reports that the engine preempted a granted request.
	Preempted(now time.Time, id RequestID)
	// Failed reports that a granted request failed on its engine before the first
	// token.
	Failed(now time.Time, id RequestID)
	// Finish ends a granted request with the total number of tokens it has produced.
	Finish(now time.Time, id RequestID, tokens int)
	// Declare adds a grant that another dispatcher issued.
	Declare(now time.Time, h HeldGrant)
	// Load processes a load report of an engine.
	Load(now time.Time, backend string, r LoadReport)
	// CacheEvent processes a change to an engine's prefix cache.
	CacheEvent(now time.Time, backend string, e CacheEvent)
	// Next returns the grants that can be issued now.
	Next(now time.Time) []Grant
	// Waiting returns the number of queued requests of each organisation.
	Waiting() map[string]int
}
