// Package gossip spreads versioned documents between peers. Versions are
// offered in heartbeats and fetched when they are newer; each receiver
// verifies the content for itself; the highest version wins. VM lists are
// unsigned, so that rule has an exception: see control.VMListReceived.
package gossip

import (
	"time"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// Limits of fetching.
const (
	// fetchTimeout is the time after which another peer is asked.
	fetchTimeout = time.Second
	// maxFetches bounds concurrent fetches of a kind. More than one is needed,
	// or a peer that offers a version and never delivers it blocks the rest.
	maxFetches = 3
	// refusalPeriod is how long offers of a peer are ignored after it delivered
	// nothing or a document that was rejected.
	refusalPeriod = 5 * time.Second
)

// Exchange decides what to fetch from whom. It is single-threaded and
// deterministic: time enters only as an argument.
type Exchange struct {
	kinds map[peerpb.DocumentKind]*kindState
}

type kindState struct {
	// held is the highest version that was accepted.
	held         int64
	fetches      map[string]fetch
	refusedUntil map[string]time.Time
}

type fetch struct {
	version int64
	expires time.Time
	// full says that a delta of this peer did not fit.
	full bool
}

// NewExchange returns an exchange that holds nothing.
func NewExchange() *Exchange { return &Exchange{kinds: map[peerpb.DocumentKind]*kindState{}} }

func (e *Exchange) kind(k peerpb.DocumentKind) *kindState {
	s := e.kinds[k]
	if s == nil {
		s = &kindState{fetches: map[string]fetch{}, refusedUntil: map[string]time.Time{}}
		e.kinds[k] = s
	}
	return s
}

// Held returns the highest version that was accepted.
func (e *Exchange) Held(k peerpb.DocumentKind) int64 { return e.kind(k).held }

// Hold notes an accepted version. A lower one than before changes nothing.
func (e *Exchange) Hold(k peerpb.DocumentKind, version int64) {
	s := e.kind(k)
	s.held = max(s.held, version)
}

// Reset lowers the version that is held.
func (e *Exchange) Reset(k peerpb.DocumentKind, version int64) { e.kind(k).held = version }

// Offer takes a version that a peer holds, and returns true if it is to be
// fetched from that peer now.
func (e *Exchange) Offer(now time.Time, from string, k peerpb.DocumentKind, version int64) bool {
	s := e.kind(k)
	if version <= s.held {
		return false
	}
	s.expireFetches(now)
	if now.Before(s.refusedUntil[from]) || len(s.fetches) >= maxFetches {
		return false
	}
	for peer, f := range s.fetches {
		if peer == from || f.version == version {
			return false
		}
	}
	s.fetches[from] = fetch{version: version, expires: now.Add(fetchTimeout)}
	return true
}

func (s *kindState) expireFetches(now time.Time) {
	for peer, f := range s.fetches {
		if !now.Before(f.expires) {
			delete(s.fetches, peer)
			s.refusedUntil[peer] = now.Add(refusalPeriod)
		}
	}
	for peer, until := range s.refusedUntil {
		if !now.Before(until) {
			delete(s.refusedUntil, peer)
		}
	}
}

// FinishFetch ends a fetch with the arrival of a document, and returns false if its
// version is not newer than the one held.
func (e *Exchange) FinishFetch(from string, k peerpb.DocumentKind, version int64) bool {
	s := e.kind(k)
	delete(s.fetches, from)
	return version > s.held
}

// CanRefetchFull reports whether a fetch from a peer is in progress that has not been
// repeated yet. It must be called before Wanted.
func (e *Exchange) CanRefetchFull(from string, k peerpb.DocumentKind) bool {
	f, ok := e.kind(k).fetches[from]
	return ok && !f.full
}

// RefetchFull begins the one fetch of the whole document that follows a delta that did not fit.
func (e *Exchange) RefetchFull(now time.Time, from string, k peerpb.DocumentKind, version int64) {
	e.kind(k).fetches[from] = fetch{version: version, expires: now.Add(fetchTimeout), full: true}
}

// Refuse ignores further offers of a peer for a while.
func (e *Exchange) Refuse(now time.Time, from string, k peerpb.DocumentKind) {
	e.kind(k).refusedUntil[from] = now.Add(refusalPeriod)
}
