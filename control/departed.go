package control

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Servers that had left when the store came back from a copy that lists them as ready.
const (
	// removedServerHold is how long a server whose entry had been removed before the return is
	// not used. A server that does not run any more loses its entry after three heartbeats of
	// 1.2 s without one.
	removedServerHold = 5 * time.Second
	// departureMemory is how long a removed server is remembered. Copies are some seconds old.
	departureMemory = time.Minute
)

// departed records the servers that have left, so that a return of the store does not bring them
// back into use.
type departed struct {
	// departures holds those that left lately, by id.
	departures map[string]departure
	// held holds those that are listed again, by id. They are not used.
	held map[string]heldServer
}

// departure is a server that had left.
type departure struct {
	incarnation int64
	// announced is set if the server had said that it leaves.
	announced bool
	at        time.Time
}

// heldServer is a server that is listed again after it had left.
type heldServer struct {
	incarnation int64
	// until is when the server is used again, the zero time if never: it had said that it leaves.
	until time.Time
}

func newDeparted() departed {
	return departed{departures: map[string]departure{}, held: map[string]heldServer{}}
}

// leavesForGood reports whether a listed server had said that it leaves.
func (d *departed) leavesForGood(vm vmlist.VM) bool {
	h, ok := d.held[vm.ID]
	return ok && h.until.IsZero() && vm.MayBe(h.incarnation)
}

// recordRemovals remembers the servers that are missing from the next list of the same era. Both
// lists are ordered by role and id.
func (d *departed) recordRemovals(now time.Time, previous, next []vmlist.VM) {
	i := 0
	for _, vm := range previous {
		for i < len(next) && compareVMs(next[i], vm) < 0 {
			i++
		}
		if vm.Role == vmlist.RoleEntry || i < len(next) && compareVMs(next[i], vm) == 0 {
			continue
		}
		announced := vm.State == vmlist.StateLeaving || d.leavesForGood(vm)
		d.departures[vm.ID] = departure{incarnation: vm.Incarnation, announced: announced, at: now}
		delete(d.held, vm.ID)
	}
	for id, x := range d.departures {
		if now.Sub(x.at) > departureMemory {
			delete(d.departures, id)
		}
	}
}

// compareVMs compares by the order of lists.
func compareVMs(a, b vmlist.VM) int {
	return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.ID, b.ID))
}

// recordLeaving adds the servers that the last list of an era has as leaving, and forgets those
// that it lists again: they had come back before the return.
func (d *departed) recordLeaving(now time.Time, last []vmlist.VM) {
	for _, vm := range last {
		if vm.Role == vmlist.RoleEntry {
			continue
		}
		if vm.State == vmlist.StateLeaving {
			d.departures[vm.ID] = departure{incarnation: vm.Incarnation, announced: true, at: now}
		} else if x, ok := d.departures[vm.ID]; ok && !x.announced {
			delete(d.departures, vm.ID)
		}
	}
}

// holdDeparted keeps servers out of use that a list of the new era contains again although they
// had left. An announced departure holds for as long as the server runs. Removed entries are
// ignored if most servers had been removed, as after an outage in which leases expired.
func (s *State) holdDeparted(listed map[string]vmlist.VM) {
	live, removed := 0, 0
	for _, vm := range listed {
		if vm.State != vmlist.StateLive {
			continue
		}
		live++
		if d, ok := s.departed.departures[vm.ID]; ok && !d.announced {
			removed++
		}
	}
	for id, d := range s.departed.departures {
		vm, ok := listed[id]
		if !ok || vm.State != vmlist.StateLive || vm.Incarnation > d.incarnation {
			continue // It has started again since.
		}
		h := heldServer{incarnation: vm.Incarnation}
		if !d.announced && 2*removed > live {
			continue
		}
		if !d.announced {
			h.until = s.Now.Add(removedServerHold)
		}
		s.departed.held[id] = h
		s.leavingVersion++
		s.log.Info("server_held", zap.String("backend", id), zap.Int64("incarnation", vm.Incarnation), zap.Bool("announced", d.announced), zap.Int64("era", s.Era))
	}
}

// releaseHeld ends the hold of servers whose time has passed, and reports whether there were any.
func (s *State) releaseHeld() (released bool) {
	for id, h := range s.departed.held {
		if !h.until.IsZero() && s.Now.After(h.until) {
			delete(s.departed.held, id)
			s.leavingVersion++
			released = true
			s.log.Info("server_released", zap.String("backend", id), zap.Int64("era", s.Era))
		}
	}
	return released
}

// holdsForATime reports whether a hold ends by time.
func (d *departed) holdsForATime() bool {
	for _, h := range d.held {
		if !h.until.IsZero() {
			return true
		}
	}
	return false
}

// HeldLeaving returns the listed servers that had said before the store returned that they leave.
func (s *State) HeldLeaving() []vmlist.VM {
	if len(s.departed.held) == 0 {
		return nil
	}
	var vms []vmlist.VM
	for _, vm := range s.Servers.VMs {
		if s.departed.leavesForGood(vm) {
			vms = append(vms, vm)
		}
	}
	return vms
}

// allLeaving returns the servers that count as leaving: those that have announced it, and those
// that are held.
func (s *State) allLeaving() LeavingServers {
	if len(s.departed.held) == 0 {
		return s.leaving
	}
	all := LeavingServers{}
	for id, incarnations := range s.leaving {
		all[id] = slices.Clone(incarnations)
	}
	for id, h := range s.departed.held {
		all[id] = append(all[id], h.incarnation)
	}
	return all
}
