package serverstate

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// maxLifetimes bounds the entries of one id whose servers are not listed. An id is
	// used again by few lifetimes, and each check looks at all of them.
	maxLifetimes = 4
	// maxIDBytes bounds the ids that are taken from announcements.
	maxIDBytes = 256
)

// limitLifetimes removes the entry of the earliest lifetime of an id that has too many
// unlisted ones, but not the one that was just added.
func (t *Table) limitLifetimes(id string, added *entry) {
	var candidates []*entry
	for _, e := range t.servers[id] {
		if e.listing != listed && e != added {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) >= maxLifetimes {
		t.remove(slices.MinFunc(candidates, func(a, b *entry) int { return compareServers(a.server, b.server) }))
	}
}

// compareEviction orders entries by which is forgotten first.
func compareEviction(a, b *entry) int {
	return cmp.Or(
		-cmp.Compare(a.listing, b.listing),
		cmp.Compare(a.evictionRank(), b.evictionRank()),
		cmp.Compare(a.since, b.since),
		strings.Compare(a.server.ID, b.server.ID),
		cmp.Compare(a.server.Incarnation, b.server.Incarnation),
	)
}

// evict removes entries of unlisted servers beyond the limit. It removes an eighth of
// them at a time, since it sorts them all.
func (t *Table) evict() {
	if t.unlistedCount <= t.config.MaxServers {
		return
	}
	var candidates []*entry
	for _, entries := range t.servers {
		for _, e := range entries {
			if e.listing != listed {
				candidates = append(candidates, e)
			}
		}
	}
	slices.SortFunc(candidates, compareEviction)
	for _, e := range candidates[:len(candidates)-t.config.MaxServers*7/8] {
		t.remove(e)
	}
}

func (t *Table) remove(e *entry) {
	id := e.server.ID
	if e.listing != listed {
		t.unlistedCount--
	}
	if e.leaving != nil {
		t.leavingVersion++
	}
	t.servers[id] = slices.DeleteFunc(t.servers[id], func(other *entry) bool { return other == e })
	if len(t.servers[id]) == 0 {
		delete(t.servers, id)
	}
}

// Retain tells which servers are listed. Entries of others end, but for those that still
// count if the same lifetime is listed again.
func (t *Table) Retain(now time.Duration, live []Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.servers) == 0 {
		return
	}
	t.generation++
	for _, s := range live {
		if e := t.find(s); e != nil {
			e.generation = t.generation
		}
	}
	var expired []*entry
	for _, entries := range t.servers {
		for _, e := range entries {
			t.setListed(now, e, e.generation == t.generation)
			if e.expired(now) {
				expired = append(expired, e)
			}
		}
	}
	for _, e := range expired {
		t.remove(e)
	}
	t.evict()
}

func (t *Table) setListed(now time.Duration, e *entry, isListed bool) {
	switch {
	case isListed && e.listing != listed:
		e.listing = listed
		t.unlistedCount--
	case !isListed && e.listing != unlisted:
		if e.listing == listed {
			t.unlistedCount++
		}
		e.listing, e.since = unlisted, now
	default:
		return
	}
	if e.leaving != nil {
		t.leavingVersion++
	}
}
