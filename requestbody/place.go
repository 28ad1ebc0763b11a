package requestbody

import "time"

// newConnection is the owner of the request that a connection has not sent yet.
const newConnection = "new connection"

// EvictStalled lets an incomplete body that makes less progress than the least rate give way to a
// new connection: of the owner that holds the most, the largest. It returns false if there is
// none.
func (m *Memory) EvictStalled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Now()
	var (
		victim *Request
		first  usage
	)
	for r := range m.incomplete {
		if r.shared {
			continue // Its connection would stay open.
		}
		progressAt := time.Duration(r.progressAt.Load())
		c := usage{stalled: now-progressAt > progressTime, ownerBytes: m.budget.OwnerBytes(r.owner), bytes: r.bytes, progressAt: progressAt}
		if c.stalled && (victim == nil || c.before(first)) {
			victim, first = r, c
		}
	}
	if victim == nil {
		return false
	}
	m.evict(victim, &Request{owner: newConnection})
	return true
}
