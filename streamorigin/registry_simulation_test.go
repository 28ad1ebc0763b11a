package streamorigin

import (
	"time"

	"pgregory.net/rapid"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

const (
	// registryLag is the longest lag of the list of a VM that is neither frozen nor cut off.
	registryLag = 2 * time.Second
	// registryLifetime is that of streams.
	registryLifetime = 6 * time.Second
	// registryWait is the time for which a first event waits for a record, that of package gateway.
	registryWait = 80 * ms
)

// trackerVM is the Tracker of a simulated VM.
type trackerVM struct {
	*Tracker
	vm *simVM
	// list is the number of the list that the VM has adopted.
	list    int
	keeper  bool
	busy    bool
	streams []*trackerStream
}

// registrySimulation plays VMs that keep a registry of versions.
type registrySimulation struct {
	*simulation
	trackers []*trackerVM
	streams  []*trackerStream
	// lists holds the versions of all lists, the latest last.
	lists  [][]vmlist.SoftwareVersion
	keeper int
	// cutUntil holds, by place, when a VM that is cut off is no longer so.
	cutUntil                       []time.Duration
	sole, registered, unregistered int
}

func newRegistrySimulation(t *rapid.T, vms int, versions ...vmlist.SoftwareVersion) *registrySimulation {
	r := &registrySimulation{simulation: newSimulation(t, vms), cutUntil: make([]time.Duration, vms)}
	r.now = time.Second
	r.lists = append(r.lists, versions)
	r.keeper = rapid.IntRange(0, vms-1).Draw(t, "keeper")
	for place := range vms {
		r.trackers = append(r.trackers, nil)
		r.startTracker(place, true)
	}
	return r
}

func (r *registrySimulation) startTracker(place int, first bool) {
	vm := r.vms[place]
	records := &Records{opts: Options{Now: func() time.Duration { return r.now }}, machine: vm.machine}
	delay := time.Duration(0)
	if first {
		delay = firstStartRead
	}
	v := &trackerVM{vm: vm, list: -1, keeper: r.keeper == place}
	v.Tracker = &Tracker{Records: records, started: r.now, registry: newRegistry(r.now + delay + r.draw("first read", readJitter))}
	v.opts.FirstStart, v.registry.firstStart = first, first
	r.trackers[place] = v
	r.after(r.draw("first list", 500*ms), func() { r.adopt(v, len(r.lists)-1) })
	r.after(updateInterval/2, func() { r.runDue(v) })
}

// deferred reports whether a VM is frozen, or cut off if that counts, and calls again afterwards.
func (r *registrySimulation) deferred(v *trackerVM, cutCounts bool, again func()) bool {
	until := v.vm.frozenUntil
	if cutCounts {
		until = max(until, r.cutUntil[v.vm.number])
	}
	if r.now >= until {
		return false
	}
	r.at(until+r.draw("list after a cut", registryLag), again)
	return true
}

func (r *registrySimulation) adopt(v *trackerVM, list int) {
	if v.vm.killed || list <= v.list || r.deferred(v, true, func() { r.adopt(v, list) }) {
		return
	}
	v.list = list
	r.logf("VM %d lists %q", v.vm.number, r.lists[list])
	mixed := v.registry.setListed(r.now, map[string][]vmlist.SoftwareVersion{testService: r.lists[list]})
	if len(mixed) == 0 {
		return
	}
	for _, st := range v.streams {
		if st.record == nil && r.now < st.began+registryLifetime {
			st.record, _ = v.BeginIn(testService, st.request, Origin{Version: st.version}, registryLifetime)
			if st.record != nil && st.passed {
				st.record.FirstEventPassed()
			}
		}
	}
	r.pump(v.vm)
}

// release makes the servers be those of other versions.
func (r *registrySimulation) release(versions []vmlist.SoftwareVersion) {
	r.logf("the versions are %q", versions)
	r.lists = append(r.lists, versions)
	list := len(r.lists) - 1
	for _, v := range r.trackers {
		r.after(r.draw("lag", registryLag), func() { r.adopt(v, list) })
	}
}

func (r *registrySimulation) changeKeeper(place int) {
	r.keeper = place
	for i, v := range r.trackers {
		r.after(r.draw("keeper is known", registryLag), func() { v.keeper = r.keeper == i })
	}
}

func (r *registrySimulation) killVM(place int) {
	r.kill(place)
	r.startTracker(place, false)
}
