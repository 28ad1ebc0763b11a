package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaarch/vanillaarch/serverstate"
)

// Digest identifies the records to exchange that have not changed for settleTime, 0 if
// there are none. A server that names another limit in each answer would else make the
// digests of all VMs differ all the time.
func (t *Table) Digest(now time.Duration) uint64 {
	if t.Empty() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	version := t.version.Load()
	if t.digestVersion == version && (t.digestUntil == 0 || now < t.digestUntil) {
		return t.digest
	}
	t.digestUntil = 0
	settled := t.limits(func(r *record) bool {
		at := r.adoptedAt + settleTime
		if at > now && (t.digestUntil == 0 || at < t.digestUntil) {
			t.digestUntil = at
		}
		return at <= now
	})
	t.digest, t.digestVersion = digest(settled), version
	return t.digest
}

func digest(limits []Limit) uint64 {
	if len(limits) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	var buf []byte
	for _, l := range limits {
		buf = append(buf[:0], l.Server.ID...)
		buf = append(buf, 0)
		buf = strconv.AppendInt(buf, l.Server.Incarnation, 10)
		buf = append(buf, 0)
		buf = strconv.AppendUint(buf, l.Version, 10)
		buf = strconv.AppendBool(append(buf, 0), l.Named)
		buf = strconv.AppendUint(buf, math.Float64bits(float64(l.Rate)), 16)
		_, _ = d.Write(append(buf, 0)) // xxhash never returns an error
	}
	return max(d.Sum64(), 1)
}

// Retain tells which servers are listed. The records of others are kept for
// unlistedRetention.
func (t *Table) Retain(now time.Duration, live []serverstate.Server) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	isListed := map[*record]bool{}
	for _, s := range live {
		if r := t.find(s); r != nil {
			isListed[r] = true
		}
	}
	var expired []*record
	for _, records := range t.records {
		for _, r := range records {
			r.setListed(now, isListed[r])
			if r.listing == unlisted && now-r.since > unlistedRetention {
				expired = append(expired, r)
			}
		}
	}
	for _, r := range expired {
		t.remove(r)
	}
	t.retainCold(now, live)
}

// setListed updates the listing. A record that is newer than the list stays so until its
// server has been missing for unlistedRetention.
func (r *record) setListed(now time.Duration, isListed bool) {
	switch {
	case isListed:
		r.listing, r.since = listed, now
	case r.listing == listed:
		r.listing, r.since = unlisted, now
	case r.listing == newerThanList && now-r.since > unlistedRetention:
		r.listing = unlisted
	}
}

// evict removes the oldest records of unlisted servers beyond the limit, but not the one
// that was just added. It removes an eighth of them at a time, since it sorts them all.
func (t *Table) evict(added *record) {
	if t.size.Load() <= maxUnlisted {
		return
	}
	var candidates []*record
	for _, records := range t.records {
		for _, r := range records {
			if r.listing != listed && r != added {
				candidates = append(candidates, r)
			}
		}
	}
	if len(candidates) < maxUnlisted {
		return
	}
	slices.SortFunc(candidates, func(a, b *record) int {
		return cmp.Or(-cmp.Compare(a.listing, b.listing), cmp.Compare(a.since, b.since), compareServers(a.limit.Server, b.limit.Server))
	})
	for _, r := range candidates[:len(candidates)-maxUnlisted*7/8] {
		t.remove(r)
	}
	t.changed()
}

func (t *Table) remove(removed *record) {
	id := removed.limit.Server.ID
	t.records[id] = slices.DeleteFunc(t.records[id], func(r *record) bool { return r == removed })
	if len(t.records[id]) == 0 {
		delete(t.records, id)
	}
	t.size.Add(-1)
}
