package discovery

import (
	"context"
	"sync"

	"github.com/vanillaarch/vanillaarch/kv"
)

// openWatches holds the pending watch calls. A response may be lost or the
// connection may be dead without an error, so a pending call does not imply that
// there are no changes.
type openWatches struct {
	mu    sync.Mutex
	calls map[*openWatch]struct{}
}

type openWatch struct {
	// section is nil for the watch of the configuration.
	section *section
	// after is the position up to which changes are known.
	after kv.Position
	// behind is set when the call is canceled because it missed changes.
	behind bool
	cancel context.CancelFunc
}

// begin registers a watch call. The caller must call end when the call has
// returned; end reports whether the call was canceled because it missed changes.
func (w *openWatches) begin(ctx context.Context, s *section, after kv.Position) (call context.Context, end func() (behind bool)) {
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

// endBehind cancels the watches of backend servers that lag behind a position of the store.
// Changes of other keys increase the store revision as well, so it may
// also cancel watches that have not missed any change.
func (w *openWatches) endBehind(position kv.Position) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for x := range w.calls {
		if x.section != nil && !x.section.entryVMs && x.after.Before(position) {
			x.behind = true
			x.cancel()
		}
	}
}

// endBefore cancels the watches of earlier eras. The store may leave them pending, or answer with
// changes after a revision that it has assigned again.
func (w *openWatches) endBefore(era kv.Era) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for x := range w.calls {
		if x.after.Era < era {
			x.behind = true
			x.cancel()
		}
	}
}

// endLists cancels the watches of lists when the store is unreachable.
func (w *openWatches) endLists() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for x := range w.calls {
		if x.section != nil {
			x.cancel()
		}
	}
}
