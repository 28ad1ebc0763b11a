package discovery

import (
	"context"
	"sync"
)

// openWatches holds the pending watch calls. A response may be lost or the
// connection may be dead without an error, so a pending call does not imply that
// there are no changes.
type openWatches struct {
	mu    sync.Mutex
	calls map[*openWatch]struct{}
}

type openWatch struct {
	section *section
	// after is the revision up to which changes are known.
	after int64
	// behind is set when the call is canceled because it missed changes.
	behind bool
	cancel context.CancelFunc
}

// begin registers a watch call. The caller must call end when the call has
// returned; end reports whether the call was canceled because it missed changes.
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

// endBehind cancels the watches of backend servers that lag behind a store
// revision. Changes of other keys increase the store revision as well, so it may
// also cancel watches that have not missed any change.
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

// endAll cancels all watches when the store is unreachable.
func (w *openWatches) endAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for x := range w.calls {
		x.cancel()
	}
}
