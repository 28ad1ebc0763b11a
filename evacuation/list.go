// Package evacuation holds the availability zones that the operator evacuates: nothing more is
// sent to their backend servers until the evacuation ends. The package does no I/O.
package evacuation

import (
	"cmp"
	"slices"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Zone is one evacuated availability zone.
type Zone struct {
	Name string
	// Revision is that of the store at which the evacuation was ordered.
	Revision int64
}

// Version is a position in the store: an era and a revision. Versions of a later era are higher.
type Version int64

// NewVersion returns the version of a position in the store.
func NewVersion(era, revision int64) Version { return Version(vmlist.NewRevision(era, revision, 0)) }

// Era returns the era of a version.
func (v Version) Era() int64 { return vmlist.EraOf(int64(v)) }

// List is the list of evacuated zones as of a position in the store. It is immutable.
type List struct {
	// Version is the position at which the list last changed, 0 if it never has.
	Version Version
	// Zones are sorted by name, without duplicates.
	Zones []Zone
}

// NewList returns a list of zones in any order. Of several orders to evacuate a zone, the latest counts.
func NewList(version Version, zones []Zone) *List {
	sorted := slices.Clone(zones)
	slices.SortFunc(sorted, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(b.Revision, a.Revision))
	})
	sameName := func(a, b Zone) bool { return a.Name == b.Name }
	return &List{Version: version, Zones: slices.CompactFunc(sorted, sameName)}
}

// Includes reports whether the list contains a zone.
func (l *List) Includes(name string) bool {
	_, found := slices.BinarySearchFunc(l.Zones, name, func(z Zone, name string) int { return cmp.Compare(z.Name, name) })
	return found
}

// read returns the list after a read at a position has found zones. The version stays if the read
// confirms the list in the same era.
func (l *List) read(at Version, zones []Zone) *List {
	next := NewList(at, zones)
	unchanged := slices.Equal(l.Zones, next.Zones)
	if unchanged && (l.Version == 0 && len(zones) == 0 || l.Version != 0 && l.Version.Era() == at.Era()) {
		return l
	}
	return next
}

// change returns the list after the evacuation of a zone was ordered or ended at a position.
func (l *List) change(at Version, zone Zone, ended bool) *List {
	others := slices.DeleteFunc(slices.Clone(l.Zones), func(z Zone) bool { return z.Name == zone.Name })
	if !ended {
		others = append(others, zone)
	}
	return NewList(at, others)
}
