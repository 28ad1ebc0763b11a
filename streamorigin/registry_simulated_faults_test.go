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
	rapid.Check(t, func(t *rapid.T) {
		r := newRegistrySimulation(t, rapid.IntRange(1, 3).Draw(t, "VMs"), "v1")
		r.takeCopiesUntil(length)
		h := &drawnHistory{registrySimulation: r, length: length}
		h.drawReleases()
		h.drawStoreFaults()
		h.drawAbsences()
		h.drawKills()
		h.drawKeepers()
		h.drawStreams()
		r.run(length + forgetAge)
		r.checkAll()
	})
}

// drawnHistory draws what happens in a simulation.
type drawnHistory struct {
	*registrySimulation
	length time.Duration
	// times holds the times that were drawn before.
	times []time.Duration
}

// when draws a time. Times near others, and forgetAge after them, bring most trouble.
func (h *drawnHistory) when(name string) time.Duration {
	at := h.draw(name, h.length)
	if len(h.times) > 0 && rapid.IntRange(0, 3).Draw(h.t, "near") > 0 {
		at = rapid.SampledFrom(h.times).Draw(h.t, "time") + h.draw(name, rapid.SampledFrom([]time.Duration{time.Second, 8 * time.Second}).Draw(h.t, "within"))
		if rapid.Bool().Draw(h.t, "forgetAge after") {
			at += forgetAge - 4*time.Second
		}
	}
	h.times = append(h.times, at)
	return at
}

// place draws a VM.
func (h *drawnHistory) place() int { return rapid.IntRange(0, len(h.vms)-1).Draw(h.t, "VM") }

func (h *drawnHistory) drawReleases() {
	versionSets := [][]vmlist.SoftwareVersion{{"v1"}, {"v2"}, {"v1", "v2"}, {"v2", "v3"}, {}, {"", "v1"}, {"v1", "v2", "v3"}}
	for range rapid.IntRange(0, 6).Draw(h.t, "releases") {
		versions := rapid.SampledFrom(versionSets).Draw(h.t, "versions")
		h.at(h.when("release"), func() { h.release(versions) })
	}
}

// drawStoreFaults draws faults of the store, and its returns from copies.
func (h *drawnHistory) drawStoreFaults() {
	kinds := []string{faultDown, faultRefuse, faultLost, faultLate, faultSlow}
	for range rapid.IntRange(0, 3).Draw(h.t, "faults") {
		begin := h.when("fault")
		h.faults = append(h.faults, simFault{
			kind: rapid.SampledFrom(kinds).Draw(h.t, "kind"), begin: begin, end: begin + h.draw("length", 20*time.Second), vm: h.place(),
		})
	}
	for range rapid.IntRange(0, 2).Draw(h.t, "returns") {
		h.at(h.when("return"), func() { h.comeBack(h.draw("age", 5*time.Second)) })
	}
}

// drawAbsences draws times for which VMs are frozen, or cut off from the store and from lists.
func (h *drawnHistory) drawAbsences() {
	for range rapid.IntRange(0, 2).Draw(h.t, "away") {
		begin, away, which, frozen := h.when("away"), h.draw("length", 100*time.Second), h.place(), rapid.Bool().Draw(h.t, "frozen")
		if !frozen {
			h.faults = append(h.faults, simFault{kind: faultRefuse, begin: begin, end: begin + away, vm: which})
		}
		h.at(begin, func() {
			h.logf("VM %d is away for %v, frozen: %v", which, away, frozen)
			if frozen {
				h.vms[which].frozenUntil = h.now + away
			} else {
				h.cutUntil[which] = h.now + away
			}
		})
	}
}

// drawKills draws kills of one VM or of all.
func (h *drawnHistory) drawKills() {
	for range rapid.IntRange(0, 2).Draw(h.t, "kills") {
		all, which := rapid.Bool().Draw(h.t, "all"), h.place()
		h.at(h.when("kill"), func() {
			for i := range h.vms {
				if all || i == which {
					h.killVM(i)
				}
			}
		})
	}
}

func (h *drawnHistory) drawKeepers() {
	for range rapid.IntRange(0, 2).Draw(h.t, "keepers") {
		which := h.place()
		h.at(h.when("keeper"), func() { h.changeKeeper(which) })
	}
}

func (h *drawnHistory) drawStreams() {
	for i := range rapid.IntRange(1, 40).Draw(h.t, "streams") {
		which := h.place()
		h.at(h.when("stream"), func() { h.beginStream(i, which) })
	}
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
