package streamorigin

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// trackerStream is a stream of a trackerVM.
type trackerStream struct {
	request string
	at      *trackerVM
	record  *Record
	began   time.Duration
	version vmlist.SoftwareVersion
	passed  bool
}

// beginStream begins a stream at a VM and sends it to servers in turn.
func (r *registrySimulation) beginStream(number, place int) {
	v := r.trackers[place]
	listed := v.registry.listed[testService]
	if len(listed) == 0 || r.deferred(v, false, func() { r.beginStream(number, place) }) {
		return
	}
	st := &trackerStream{request: fmt.Sprint("request-", number), at: v, began: r.now}
	st.version = rapid.SampledFrom(listed).Draw(r.t, "version")
	state := v.registrationState(testService, st.version, registryLifetime)
	rec, err := v.BeginIn(testService, st.request, Origin{Version: st.version}, registryLifetime)
	r.logf("VM %d begins %s at %q, registration state %v: record %v, %v", place, st.request, st.version, state, rec != nil, err)
	if err != nil {
		return
	}
	switch state {
	case sole:
		r.sole++
	case registered:
		r.registered++
	case unregistered:
		r.unregistered++
	}
	st.record = rec
	v.streams, r.streams = append(v.streams, st), append(r.streams, st)
	r.pump(v.vm)
	if rapid.IntRange(0, 3).Draw(r.t, "replaced") == 0 {
		r.after(r.draw("replaced after", time.Second), func() { r.replaceServer(st) })
	}
	r.after(r.draw("first event", 2*time.Second), func() { r.firstEventOf(st, r.now) })
}

// replaceServer sends a stream to another server, as gateway's recordOrigin.
func (r *registrySimulation) replaceServer(st *trackerStream) {
	v := st.at
	listed := v.registry.listed[testService]
	if v.vm.killed || st.passed || len(listed) == 0 || r.now < v.vm.frozenUntil {
		return
	}
	version := rapid.SampledFrom(listed).Draw(r.t, "next version")
	var err error
	rec := st.record
	if rec != nil {
		err = v.ReplaceIn(testService, rec, Origin{Version: version}, registryLifetime)
	} else {
		rec, err = v.BeginIn(testService, st.request, Origin{Version: version}, registryLifetime)
	}
	r.logf("%s is sent to %q: %v", st.request, version, err)
	if err != nil {
		return
	}
	st.record, st.version = rec, version
	r.pump(v.vm)
}

// firstEventOf passes on the first event of a stream, as gateway's beginAt. It came at a time.
func (r *registrySimulation) firstEventOf(st *trackerStream, came time.Duration) {
	if st.at.vm.killed || r.now >= st.began+registryLifetime {
		return
	}
	again := func() { r.firstEventOf(st, came) }
	if r.deferred(st.at, false, again) {
		return
	}
	if rec := st.record; rec != nil {
		waits := st.at.Available() && r.now < came+registryWait && !rec.entry.isStored
		if waits || !isSettledNow(rec) {
			r.after(20*ms, again)
			return
		}
		rec.FirstEventPassed()
	}
	st.passed = true
	r.logf("the first event of %s comes from %q", st.request, st.version)
	r.pump(st.at.vm)
	r.checkAll()
}

// lookUp returns what FindIn of a new VM returns.
func (r *registrySimulation) lookUp(st *trackerStream, lists map[string]kv.Listing) (vmlist.SoftwareVersion, bool) {
	l, ok := lists[requestPrefix(st.request)]
	if !ok {
		l.Era = r.store.era
	}
	o, err := originFromRecords(st.request, l)
	if unknown, ok := errors.Into[*UnknownError](err); ok && !unknown.Recorded {
		return readRegistry(r.registryListing()).origin(testService)
	}
	return o.Version, err == nil
}

// checkAll fails if a VM would find another version than the one that passed on the first event.
func (r *registrySimulation) checkAll() {
	var lists map[string]kv.Listing
	for _, st := range r.streams {
		if !st.passed || r.now >= st.began+registryLifetime {
			continue
		}
		if lists == nil {
			lists = r.store.lists()
		}
		if v, ok := r.lookUp(st, lists); ok && v != st.version {
			r.fatalf("%s began at %q and is found at %q", st.request, st.version, v)
		}
		if o, known, err := st.at.vm.find(r.now, st.request); !st.at.vm.killed && known && err == nil && o.Version != st.version {
			r.fatalf("%s began at %q, and its VM knows %q", st.request, st.version, o.Version)
		}
	}
}
