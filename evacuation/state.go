package evacuation

import (
	"maps"
	"slices"
	"time"
)

// State is what a VM knows of evacuations. It is immutable; the zero value knows none.
type State struct {
	// list is that of the store, nil if there is none.
	list *List
	// readAt is the position of the latest read of this VM. Lists of a lower position are outdated,
	// although the list that the read confirmed may have a lower version.
	readAt Version
	// kept holds the zones of an earlier era that the list lacks. The store may have come back from
	// a copy without them.
	kept []Zone
	// endedAt holds when the evacuations that ended lately did, on the clock of package boottime.
	endedAt map[string]time.Duration
}

// List returns the list of the store. It is not nil.
func (s *State) List() *List {
	if s == nil || s.list == nil {
		return &List{}
	}
	return s.list
}

// KnownTo returns the position up to which this VM knows the list: the version of the list or the
// position of a later read.
func (s *State) KnownTo() Version {
	if s == nil {
		return 0
	}
	return max(s.List().Version, s.readAt)
}

// Includes reports whether a zone is evacuated.
func (s *State) Includes(zone string) bool {
	if s == nil {
		return false
	}
	return s.List().Includes(zone) || slices.ContainsFunc(s.kept, func(z Zone) bool { return z.Name == zone })
}

// Zones returns the evacuated zones, sorted by name.
func (s *State) Zones() []Zone {
	if s == nil {
		return nil
	}
	return NewList(0, slices.Concat(s.List().Zones, s.kept)).Zones
}

// SameZones reports whether two states have the same evacuated zones.
func (s *State) SameZones(other *State) bool {
	if s == other {
		return true
	}
	sameName := func(a, b Zone) bool { return a.Name == b.Name }
	return slices.EqualFunc(s.Zones(), other.Zones(), sameName)
}

// Kept returns the zones that are evacuated although the list of the current era lacks them.
func (s *State) Kept() []Zone {
	if s == nil {
		return nil
	}
	return s.kept
}

// Read returns the state after this VM has read the zones from the store at a position.
func (s *State) Read(now time.Duration, at Version, zones []Zone) *State {
	if at < s.KnownTo() {
		return s
	}
	next := s.adopt(now, s.List().read(at, zones))
	if next.KnownTo() == at || next.List().Version == 0 {
		return next
	}
	confirmed := *next
	confirmed.readAt = at
	return &confirmed
}

// Change returns the state after the store has reported that the evacuation of a zone was ordered
// or ended at a position. Changes must be reported in order, from a position that was read.
func (s *State) Change(now time.Duration, at Version, zone Zone, ended bool) *State {
	if at <= s.KnownTo() {
		return s
	}
	list := s.List()
	if list.Version.Era() < at.Era() {
		list = &List{} // The zones of the earlier era are kept until the store counts as complete.
	}
	return s.adopt(now, list.change(at, zone, ended))
}

// Receive returns the state after a peer has sent its list.
func (s *State) Receive(now time.Duration, l *List) *State {
	if l.Version <= s.KnownTo() {
		return s
	}
	return s.adopt(now, l)
}

// Release returns the state without the zones of an earlier era, which the store still lacks
// although it counts as complete.
func (s *State) Release(now time.Duration) *State {
	if len(s.Kept()) == 0 {
		return s
	}
	next := *s
	next.kept = nil
	return next.recordEnds(now, s)
}

// adopt returns the state with another list. In a later era, the zones that the list lacks are kept.
func (s *State) adopt(now time.Duration, l *List) *State {
	if l == s.List() || s == nil && l.Version == 0 {
		return s
	}
	next := &State{list: l, kept: s.Kept()}
	if previous := s.List(); previous.Version != 0 && previous.Version.Era() < l.Version.Era() {
		next.kept = s.Zones()
	}
	next.kept = slices.DeleteFunc(slices.Clone(next.kept), func(z Zone) bool { return l.Includes(z.Name) })
	return next.recordEnds(now, s)
}

// recordEnds sets when evacuations have ended, by comparison with the state before.
func (s *State) recordEnds(now time.Duration, previous *State) *State {
	s.endedAt = map[string]time.Duration{}
	if previous != nil {
		maps.Copy(s.endedAt, previous.endedAt)
	}
	for _, z := range previous.Zones() {
		s.endedAt[z.Name] = now
	}
	maps.DeleteFunc(s.endedAt, func(zone string, at time.Duration) bool {
		return s.Includes(zone) || now-at >= SlowStartTime
	})
	return s
}
