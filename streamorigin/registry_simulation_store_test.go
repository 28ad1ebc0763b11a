package streamorigin

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/vanillaarch/vanillaarch/kv"
)

// runDue is Tracker.runDue.
func (r *registrySimulation) runDue(v *trackerVM) {
	if v.vm.killed || r.deferred(v, false, func() { r.runDue(v) }) {
		return
	}
	r.after(updateInterval/2, func() { r.runDue(v) })
	if v.busy || len(v.registry.listed[testService]) == 0 {
		return
	}
	if due, _ := v.readDue(r.now, v.keeper); due {
		r.read(v)
		return
	}
	r.updateRegistry(v)
}

func (r *registrySimulation) read(v *trackerVM) {
	asked := r.now
	var l kv.Listing
	v.busy = true
	execute := func() bool {
		l = r.registryListing()
		return true
	}
	r.call(v.vm, execute, func(o writeOutcome) {
		v.busy = false
		v.registry.read(asked, r.now, l, storeError(o))
		r.updateRegistry(v)
	})
}

func (r *registrySimulation) updateRegistry(v *trackerVM) {
	if !v.keeper {
		return
	}
	puts, deletes := v.registry.pendingWrites(r.now)
	if len(puts)+len(deletes) == 0 {
		return
	}
	v.busy = true
	execute := func() bool {
		for _, p := range puts {
			r.store.values[p.Key] = simValue{value: p.Value}
		}
		for _, key := range deletes {
			delete(r.store.values, key)
		}
		r.logf("VM %d has written the registry: %v", v.vm.number, readRegistry(r.registryListing()))
		r.checkAll()
		return true
	}
	r.call(v.vm, execute, func(o writeOutcome) {
		v.busy = false
		v.registry.wrote(r.now, storeError(o))
	})
}

func (r *registrySimulation) registryListing() kv.Listing {
	l := kv.Listing{Era: r.store.era}
	for _, key := range slices.Sorted(maps.Keys(r.store.values)) {
		if strings.HasPrefix(key, RegistryPrefix) {
			l.Entries = append(l.Entries, kv.Entry{Key: key, Value: r.store.values[key].value})
		}
	}
	return l
}

// takeCopiesUntil takes copies of the store. It checks the streams too, since leases end.
func (r *registrySimulation) takeCopiesUntil(end time.Duration) {
	r.store.copies = append(r.store.copies, r.store.clone())
	r.checkAll()
	if r.now < end {
		r.after(simCopyInterval, func() { r.takeCopiesUntil(end) })
	}
}

func (r *registrySimulation) comeBack(age time.Duration) {
	r.rewindStore(age)
	r.checkAll()
	for _, v := range r.trackers {
		r.after(r.draw("era is seen", simEraPoll), func() { r.seeEra(v, r.store.era) })
	}
}

func (r *registrySimulation) seeEra(v *trackerVM, era kv.Era) {
	if v.vm.killed || r.deferred(v, true, func() { r.seeEra(v, era) }) {
		return
	}
	v.eraRose(era)
	r.pump(v.vm)
}
