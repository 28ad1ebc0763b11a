package streamorigin

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Guards against a look-up that finds another version than the one that began the stream, by its record or
// by the registry, whatever versions are released, VMs are killed, frozen or cut off, and the store does.
func TestNoWrongVersionWithRegistry(t *testing.T) {
	const length = 400 * time.Second
	kinds := []string{faultDown, faultRefuse, faultLost, faultLate, faultSlow}
	versionSets := [][]vmlist.SoftwareVersion{{"v1"}, {"v2"}, {"v1", "v2"}, {"v2", "v3"}, {}, {"", "v1"}, {"v1", "v2", "v3"}}
	rapid.Check(t, func(t *rapid.T) {
		r := newRegistrySimulation(t, rapid.IntRange(1, 3).Draw(t, "VMs"), "v1")
		r.takeCopiesUntil(length)
		var times []time.Duration
		// Times near others, and forgetAge after them, bring most trouble.
		when := func(name string) time.Duration {
			at := r.draw(name, length)
			if len(times) > 0 && rapid.IntRange(0, 3).Draw(t, "near") > 0 {
				at = rapid.SampledFrom(times).Draw(t, "time") + r.draw(name, rapid.SampledFrom([]time.Duration{time.Second, 8 * time.Second}).Draw(t, "within"))
				if rapid.Bool().Draw(t, "forgetAge after") {
					at += forgetAge - 4*time.Second
				}
			}
			times = append(times, at)
			return at
		}
		for range rapid.IntRange(0, 6).Draw(t, "releases") {
			versions := rapid.SampledFrom(versionSets).Draw(t, "versions")
			r.at(when("release"), func() { r.release(versions) })
		}
		place := func() int { return rapid.IntRange(0, len(r.vms)-1).Draw(t, "VM") }
		for range rapid.IntRange(0, 3).Draw(t, "faults") {
			begin := when("fault")
			r.faults = append(r.faults, simFault{
				kind: rapid.SampledFrom(kinds).Draw(t, "kind"), begin: begin, end: begin + r.draw("length", 20*time.Second), vm: place(),
			})
		}
		for range rapid.IntRange(0, 2).Draw(t, "returns") {
			r.at(when("return"), func() { r.comeBack(r.draw("age", 5*time.Second)) })
		}
		for range rapid.IntRange(0, 2).Draw(t, "away") {
			begin, away, which, frozen := when("away"), r.draw("length", 100*time.Second), place(), rapid.Bool().Draw(t, "frozen")
			if !frozen {
				r.faults = append(r.faults, simFault{kind: faultRefuse, begin: begin, end: begin + away, vm: which})
			}
			r.at(begin, func() {
				r.logf("VM %d is away for %v, frozen: %v", which, away, frozen)
				if frozen {
					r.vms[which].frozenUntil = r.now + away
				} else {
					r.cutUntil[which] = r.now + away
				}
			})
		}
		for range rapid.IntRange(0, 2).Draw(t, "kills") {
			all, which := rapid.Bool().Draw(t, "all"), place()
			r.at(when("kill"), func() {
				for i := range r.vms {
					if all || i == which {
						r.killVM(i)
					}
				}
			})
		}
		for range rapid.IntRange(0, 2).Draw(t, "keepers") {
			which := place()
			r.at(when("keeper"), func() { r.changeKeeper(which) })
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "streams") {
			which := place()
			r.at(when("stream"), func() { r.beginStream(i, which) })
		}
		r.run(length + forgetAge)
		r.checkAll()
	})
}

// Guards against records that a service with one version does not need, and against streams that can't be
// taken up although the store is sound.
func TestSoleVersionNeedsNoRecords(t *testing.T) {
	const (
		length    = 150 * time.Second
		startTime = 10 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		r := newRegistrySimulation(t, rapid.IntRange(1, 4).Draw(t, "VMs"), "v1")
		start, records := r.now, 0
		for i := range rapid.IntRange(1, 30).Draw(t, "streams") {
			which := rapid.IntRange(0, len(r.vms)-1).Draw(t, "VM")
			r.at(start+r.draw("stream", length), func() {
				n, begun := len(r.streams), r.now
				r.beginStream(i, which)
				if len(r.streams) > n && begun >= start+startTime && r.streams[n].record != nil {
					records++
				}
			})
		}
		r.run(length)
		for _, kind := range []bool{false, true} { // Again after all VMs were killed.
			for _, st := range r.streams {
				if v, ok := r.lookUp(st, r.store.lists()); st.passed && st.began+registryLifetime > r.now && (!ok || v != st.version) {
					r.fatalf("%s is not found, killed: %v", st.request, kind)
				}
			}
			for place := range r.vms {
				r.killVM(place)
			}
		}
		if records > 0 {
			r.fatalf("%d records", records)
		}
	})
}
