package ratelimit

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillaarch/vanillaarch/serverstate"
)

// Limit is a record of what a server has last said of its limit.
type Limit struct {
	Server serverstate.Server
	// Named is false if the server names no limit any more. Rate is 0 then.
	Named bool
	Rate  Rate
	// Version orders the records of a server.
	Version uint64
}

// newer reports whether l replaces other. Of two records of the same version the lower rate
// replaces the higher one, and any rate replaces none.
func (l Limit) newer(other Limit) bool {
	switch {
	case l.Version != other.Version:
		return l.Version > other.Version
	case l.Named != other.Named:
		return l.Named
	}
	return l.Rate < other.Rate
}

func (l Limit) valid() bool {
	rateValid := l.Rate >= 0 && l.Rate <= MaxRate && (l.Named || l.Rate == 0)
	return l.Server.ID != "" && len(l.Server.ID) <= maxIDBytes && rateValid && l.Version > 0 && l.Version <= maxVersion
}

// Limits of a Table.
const (
	// maxUnlisted bounds the records of servers that are not listed. Those of listed servers
	// are bounded by the list.
	maxUnlisted = 1024
	// unlistedRetention is the time for which the record of a server that is not listed is
	// kept. An entry may lapse in an outage of the store and come back, and other VMs list
	// a new server earlier.
	unlistedRetention = time.Minute
	maxIDBytes        = 256
	// settleTime is longer than a record takes to reach all VMs.
	settleTime = time.Second
	// maxVersion keeps a record with a wrong version from making later ones impossible.
	maxVersion = 1 << 62
)

// listing tells whether a server is in the list of live servers.
type listing int

const (
	// newerThanList is the state of a record that is newer than the list.
	newerThanList listing = iota
	listed
	unlisted
)

type record struct {
	limit Limit
	// adoptedAt is when this VM adopted the record.
	adoptedAt time.Duration
	listing   listing
	// since is when the server was last known to be listed or the record was added.
	since time.Duration
}

// Table holds the limits of backend servers that this VM knows. It is safe for concurrent
// use.
type Table struct {
	// size is the number of records.
	size atomic.Int64
	// version changes with the records.
	version atomic.Uint64
	// coldSize is the number of records of cold servers, coldEnd the time at which the next
	// cold period ends.
	coldSize, coldEnd atomic.Int64

	mu sync.RWMutex
	// cold holds the cold servers. They are not exchanged: each VM derives them by itself.
	cold coldTable
	// records holds the records of each id, a few at most.
	records map[string][]*record
	// digest is the digest of the records at digestVersion, until digestUntil if that is
	// not 0.
	digest, digestVersion uint64
	digestUntil           time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[string][]*record{}} }

// Empty reports whether no server is limited or cold.
func (t *Table) Empty() bool { return t.size.Load() == 0 && t.coldSize.Load() == 0 }

// Version changes whenever a result of Effective, Limited, Limits or Digest may have changed.
func (t *Table) Version() uint64 { return t.version.Load() }

// Observe records what an answer of a server names. It must be called for each answer. It
// returns the new record and true if that changed it, for Node.Announce.
//
// sentAt is when the request was sent. An answer that names no limit or a higher one
// counts only if its request was sent after this VM adopted the record: a request that was
// already in flight may have been answered before the server named what it names now.
func (t *Table) Observe(now, sentAt time.Duration, s serverstate.Server, rate Rate, named bool) (Limit, bool) {
	if !named && t.Empty() || s.ID == "" || len(s.ID) > maxIDBytes {
		return Limit{}, false
	}
	if !named {
		rate = 0
	}
	if l, settled := t.unchanged(s, rate, named); settled {
		return l, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(s)
	if r == nil {
		if !named {
			return Limit{}, false
		}
		r = t.add(now, s)
	}
	next := Limit{Server: r.limit.Server, Named: named, Rate: min(max(rate, 0), MaxRate), Version: r.limit.Version + 1}
	lower := next.newer(Limit{Named: r.limit.Named, Rate: r.limit.Rate, Version: next.Version})
	if r.limit.Version > 0 && !lower && (sentAt <= r.adoptedAt || next.sameAs(r.limit)) {
		return r.limit, false
	}
	r.limit, r.adoptedAt = next, now
	t.changed()
	return next, true
}

func (l Limit) sameAs(other Limit) bool { return l.Named == other.Named && l.Rate == other.Rate }

// unchanged reports whether the record of a server says what an answer names, as nearly all
// answers do.
func (t *Table) unchanged(s serverstate.Server, rate Rate, named bool) (Limit, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.find(s)
	if r == nil {
		return Limit{}, !named
	}
	return r.limit, r.limit.sameAs(Limit{Named: named, Rate: rate})
}

// Merge adopts the records of another VM that are newer, and returns them.
func (t *Table) Merge(now time.Duration, limits []Limit) (changed []Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range limits {
		if !l.valid() {
			continue
		}
		r := t.find(l.Server)
		if r == nil {
			r = t.add(now, l.Server)
		}
		if !l.newer(r.limit) {
			continue
		}
		l.Server = r.limit.Server
		r.limit, r.adoptedAt = l, now
		changed = append(changed, l)
	}
	if len(changed) > 0 {
		t.changed()
	}
	return changed
}

// Limited returns the rate that a server has named, and false if it names none. A cold server
// names none by that alone.
func (t *Table) Limited(s serverstate.Server) (Rate, bool) {
	if t.Empty() {
		return 0, false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.find(s)
	if r == nil || !r.limit.Named {
		return 0, false
	}
	return r.limit.Rate, true
}

// Record returns the record of a server, and false if there is none.
func (t *Table) Record(s serverstate.Server) (Limit, bool) {
	if t.Empty() {
		return Limit{}, false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.find(s)
	if r == nil {
		return Limit{}, false
	}
	return r.limit, true
}

// Limits returns the records to exchange with other VMs, in the order of their servers:
// those of servers that are listed or newer than the list.
func (t *Table) Limits() []Limit {
	if t.Empty() {
		return nil
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.limits(func(*record) bool { return true })
}

func (t *Table) limits(included func(*record) bool) []Limit {
	var limits []Limit
	for _, records := range t.records {
		for _, r := range records {
			if r.listing != unlisted && included(r) {
				limits = append(limits, r.limit)
			}
		}
	}
	slices.SortFunc(limits, func(a, b Limit) int { return compareServers(a.Server, b.Server) })
	return limits
}

func compareServers(a, b serverstate.Server) int {
	return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// find returns the record of a lifetime of a server. Incarnation 0, on either side, is
// unknown and may be any.
func (t *Table) find(s serverstate.Server) *record {
	var other *record
	for _, r := range t.records[s.ID] {
		switch {
		case r.limit.Server.Incarnation == s.Incarnation:
			return r
		case r.limit.Server.Incarnation == 0 || s.Incarnation == 0:
			other = r
		}
	}
	return other
}

func (t *Table) add(now time.Duration, s serverstate.Server) *record {
	s.ID = strings.Clone(s.ID) // does not keep the message alive from which it was decoded
	r := &record{limit: Limit{Server: s}, since: now}
	t.records[s.ID] = append(t.records[s.ID], r)
	t.size.Add(1)
	t.evict(r)
	return r
}

func (t *Table) changed() { t.version.Add(1) }
