package discovery

import (
	"context"
	"sync"
)

// openWatches are the calls that wait for changes. An answer may be lost on its
// way, or its connection may be dead without a sign, so a call that waits for
// long says nothing by itself.
type openWatches struct {
	mu    sync.Mutex
	calls map[*openWatch]struct{}
}

type openWatch struct {
	section *section
	// after is the revision up to which changes are known.
	after  int64
	behind bool
	cancel context.CancelFunc
}

// begin registers a call. end must be called when it has returned; it reports
// whether the call was ended because it missed changes.
func (w *openWatches) begin(ctx context.Context, s *section, after int64) (call context.Context, end func() (behind bool)) {
	call, cancel := context.WithCancel(ctx)
	x := &openWatch{section: s, after: after, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.calls == nil {
		w.calls = map[*openWatch]struct{}{}
	}
	w.calls[x] = struct{}{}
	return call, func() bool {
		cancel()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.calls, x)
		return x.behind
	}
}

// endBehind ends the watches of backend servers that know less than a revision
// of the store. Changes of other keys raise the revision too, so this may end a
// watch that has missed nothing.
func (w *openWatches) endBehind(revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for x := range w.calls {
		if !x.section.entryVMs && x.after < revision {
			x.behind = true
			x.cancel()
		}
	}
}

// endAll ends all watches, since the store cannot be reached.
func (w *openWatches) endAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for x := range w.calls {
		x.cancel()
	}
}
