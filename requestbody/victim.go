package requestbody

import "time"

const (
	// progressBytes within progressTime are the least rate of a body that does not give way
	// first: 16 KiB/s. Without a lack of memory there is no least rate.
	progressBytes = 16 << 10
	progressTime  = time.Second
	// evictionRatio is how many times as much as the one that needs memory another request, or
	// its owner, must hold to give way. Similar requests do not replace each other.
	evictionRatio = 2
)

// usage is what a request holds and how its body arrives, by which it is decided who gives way.
type usage struct {
	// stalled is set if its body makes less progress than the least rate.
	stalled bool
	// ownerBytes is what its owner holds. bytes is what it holds itself; of a request that needs
	// memory with what it needs for its whole body.
	ownerBytes, bytes int64
	// progressAt is when its body last made progress.
	progressAt time.Duration
}

// givesWayTo reports whether an incomplete body gives way to a request that needs memory.
func (c usage) givesWayTo(needs usage) bool {
	if c.stalled != needs.stalled {
		return c.stalled
	}
	return c.ownerBytes > evictionRatio*(needs.ownerBytes+needs.bytes) || c.ownerBytes >= needs.ownerBytes && c.bytes > evictionRatio*needs.bytes
}

// before reports whether a body gives way before another one.
func (c usage) before(other usage) bool {
	if c.stalled != other.stalled {
		return c.stalled
	}
	if c.ownerBytes != other.ownerBytes {
		return c.ownerBytes > other.ownerBytes
	}
	if c.bytes != other.bytes {
		return c.bytes > other.bytes
	}
	return c.progressAt < other.progressAt
}

// victim returns the incomplete body that gives way to r, which needs a number of bytes, nil if
// there is none. The caller holds m.mu.
func (m *Memory) victim(r *Request, bytes int64) *Request {
	now := m.Now()
	owners := map[string]int64{}
	usageOf := func(r *Request, bytes int64) usage {
		if _, ok := owners[r.owner]; !ok {
			owners[r.owner] = m.budget.OwnerBytes(r.owner)
		}
		progressAt := time.Duration(r.progressAt.Load())
		return usage{stalled: now-progressAt > progressTime, ownerBytes: owners[r.owner], bytes: bytes, progressAt: progressAt}
	}
	needs := usageOf(r, max(r.bytes+bytes, r.announced))
	var (
		victim *Request
		first  usage
	)
	for candidate := range m.incomplete {
		c := usageOf(candidate, candidate.bytes)
		if candidate != r && c.givesWayTo(needs) && (victim == nil || c.before(first)) {
			victim, first = candidate, c
		}
	}
	return victim
}
