// Package gossip replicates versioned documents between peers. Heartbeats
// advertise versions, and newer ones are fetched. Each receiver verifies the
// content itself, and the highest version wins. VM lists are unsigned, so that
// rule has an exception: see control.VMListReceived.
package gossip

import (
	"time"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// Limits of fetches.
const (
	// fetchTimeout is the time after which the document may be fetched from another peer.
	fetchTimeout = time.Second
	// maxFetches bounds concurrent fetches of a kind. With only one, a peer that
	// offers a version and never delivers it would block all others.
	maxFetches = 3
	// refusalPeriod is how long the offers of a peer are ignored after a fetch
	// from it timed out or delivered a document that was rejected.
	refusalPeriod = 5 * time.Second
)

// Exchange decides which documents to fetch from which peers. It is deterministic:
// the current time is always passed as an argument. It is not safe for concurrent
// use.
type Exchange struct {
	kinds map[peerpb.DocumentKind]*kindState
}

type kindState struct {
	// held is the highest accepted version.
	held         int64
	fetches      map[string]fetch
	refusedUntil map[string]time.Time
}

type fetch struct {
	version int64
	expires time.Time
	// full is set if the full document is being fetched after a delta that could not
	// be applied.
	full bool
}

// NewExchange returns an exchange that holds no documents.
func NewExchange() *Exchange { return &Exchange{kinds: map[peerpb.DocumentKind]*kindState{}} }

func (e *Exchange) kind(k peerpb.DocumentKind) *kindState {
	s := e.kinds[k]
	if s == nil {
		s = &kindState{fetches: map[string]fetch{}, refusedUntil: map[string]time.Time{}}
		e.kinds[k] = s
	}
	return s
}

// Held returns the highest accepted version, or 0.
func (e *Exchange) Held(k peerpb.DocumentKind) int64 { return e.kind(k).held }

// Hold records an accepted version. A version below the held one is ignored.
func (e *Exchange) Hold(k peerpb.DocumentKind, version int64) {
	s := e.kind(k)
	s.held = max(s.held, version)
}

// Reset sets the held version, which may be lower than before.
func (e *Exchange) Reset(k peerpb.DocumentKind, version int64) { e.kind(k).held = version }

// Offer handles a version offered by a peer. If it returns true, the caller must
// fetch that version from the peer.
func (e *Exchange) Offer(now time.Time, from string, k peerpb.DocumentKind, version int64) bool {
	s := e.kind(k)
	if version <= s.held {
		return false
	}
	s.removeExpired(now)
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

// removeExpired removes expired refusals and fetches. The peer of an expired fetch is
// refused for refusalPeriod.
func (s *kindState) removeExpired(now time.Time) {
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

// FinishFetch ends the fetch from a peer when a document arrives. It returns false
// if the document is not newer than the held version.
func (e *Exchange) FinishFetch(from string, k peerpb.DocumentKind, version int64) bool {
	s := e.kind(k)
	delete(s.fetches, from)
	return version > s.held
}

// CanRefetchFull reports whether a fetch from a peer is in progress that has not
// fallen back to the full document yet. It must be called before FinishFetch.
func (e *Exchange) CanRefetchFull(from string, k peerpb.DocumentKind) bool {
	f, ok := e.kind(k).fetches[from]
	return ok && !f.full
}

// RefetchFull starts a fetch of the full document after a delta that could not be
// applied. A fetch falls back at most once.
func (e *Exchange) RefetchFull(now time.Time, from string, k peerpb.DocumentKind, version int64) {
	e.kind(k).fetches[from] = fetch{version: version, expires: now.Add(fetchTimeout), full: true}
}

// Refuse ignores offers of a peer for refusalPeriod.
func (e *Exchange) Refuse(now time.Time, from string, k peerpb.DocumentKind) {
	e.kind(k).refusedUntil[from] = now.Add(refusalPeriod)
}
