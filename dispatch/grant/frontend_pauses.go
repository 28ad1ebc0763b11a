package grant

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/dispatch"
)

// paused returns the engines that this VM must not use for now, with the times at which
// it may.
func (m *Manager) paused() map[string]time.Duration {
	if m.opts.Paused == nil {
		return nil
	}
	return m.opts.Paused()
}

// isPaused reports whether this VM must not use an engine for now.
func (m *Manager) isPaused(engine string) bool {
	_, paused := m.paused()[engine]
	return paused
}

// unavailable returns the engines that a request must not get for now, with the times at
// which it may.
func (m *Manager) unavailable(a dispatch.AdmissionRequest) map[string]time.Duration {
	paused := m.paused()
	if m.opts.Limited == nil || a.Spare || a.Resumed {
		return paused
	}
	limited := m.opts.Limited()
	if len(paused) == 0 {
		return limited
	}
	for engine, until := range limited {
		paused[engine] = max(paused[engine], until)
	}
	return paused
}

// skipPaused makes a request avoid the engines that have asked this VM for a pause, or for
// which it has no permit. Other VMs may use them, so the dispatcher does not know.
func (f *frontend) skipPaused(r *request) {
	r.avoided = r.avoided[:0]
	for engine := range f.m.unavailable(r.admissionRequest) {
		r.avoided = append(r.avoided, engine)
	}
	slices.Sort(r.avoided)
}

// unusable returns the engines that a request must not get.
func (r *request) unusable() []string {
	if len(r.avoided) == 0 {
		return r.admissionRequest.Excluded
	}
	return slices.Concat(r.admissionRequest.Excluded, r.avoided)
}

// requestFor returns a request as it is sent to the dispatcher of a group. It names only
// paused engines of the group, and the times that are left now.
func (r *request) requestFor(g *group, now time.Time) dispatch.AdmissionRequest {
	a := r.admissionRequest.After(now.Sub(r.acquiredAt))
	a.Excluded = slices.Clone(a.Excluded)
	for _, engine := range r.avoided {
		if _, found := slices.BinarySearch(g.engines, engine); found {
			a.Excluded = append(a.Excluded, engine)
		}
	}
	return a
}

// noEngine returns why no group can run a request: a *dispatch.PausedError if a pause
// of an engine is the reason.
func (f *frontend) noEngine(r *request) error {
	model := r.admissionRequest.Model
	paused := f.m.unavailable(r.admissionRequest)
	var first time.Duration
	found := false
	for _, g := range f.m.view.candidates[model] {
		for _, engine := range g.engines {
			until, isPaused := paused[engine]
			if isPaused && !slices.Contains(r.admissionRequest.Excluded, engine) && (!found || until < first) {
				first, found = until, true
			}
		}
	}
	if !found {
		return &dispatch.NoBackendError{Model: model}
	}
	return &dispatch.PausedError{Model: model, ResumeAt: first}
}

// followPauses routes the waiting requests again that avoid an engine whose pause has
// ended, and those of groups whose engines are all paused by now.
func (f *frontend) followPauses() {
	if len(f.waiting) == 0 {
		return
	}
	affected := func(r *request) bool {
		paused := f.m.unavailable(r.admissionRequest)
		engines := slices.Collect(maps.Keys(paused))
		if slices.ContainsFunc(r.avoided, func(engine string) bool { _, still := paused[engine]; return !still }) {
			return true
		}
		g := f.m.view.groups[r.group]
		return len(engines) > 0 && g != nil && !g.hasUsableEngine(slices.Concat(r.admissionRequest.Excluded, engines))
	}
	for _, s := range f.waitingSequences(affected) {
		r := f.waiting[s]
		f.withdraw(r)
		f.route(r)
	}
}
