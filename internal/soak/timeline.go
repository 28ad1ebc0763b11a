package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// scope identifies what a fault affects: the store, one VM, the backend servers, or
// the link of one of them.
type scope string

const (
	scopeStore scope = "store"
	// scopeServers covers all backend servers.
	scopeServers scope = "servers"
)

// scopeVM covers all faults of a VM.
func scopeVM(name string) scope { return scope("vm " + name) }

// scopeProcess covers the restarts and freezes of a VM, but not its links.
func scopeProcess(name string) scope { return scope("process " + name) }

// scopeLink is the link of one backend server.
func scopeLink(server string) scope { return scope("link " + server) }

// faultInterval is the time during which one fault was active. A zero end means
// that it still is.
type faultInterval struct {
	scope    scope
	from, to time.Time
}

// timeline records which scopes were affected by faults, and when. Invariants
// with a time bound apply only to scopes that have been free of faults for
// settleTime.
type timeline struct {
	mu        sync.Mutex
	intervals []*faultInterval
}

// begin records the start of a fault. The returned function records its end.
func (t *timeline) begin(s scope) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := &faultInterval{scope: s, from: time.Now()}
	t.intervals = append(t.intervals, x)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		x.to = time.Now()
	}
}

// undisturbed reports whether none of the scopes was affected by a fault between
// settleTime before from and to.
func (t *timeline) undisturbed(from, to time.Time, scopes ...scope) bool {
	return !t.active(from.Add(-settleTime), to, scopes...)
}

// active reports whether one of the scopes was affected by a fault between from and to.
func (t *timeline) active(from, to time.Time, scopes ...scope) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.intervals, func(x *faultInterval) bool {
		return x.from.Before(to) && (x.to.IsZero() || x.to.After(from)) && slices.Contains(scopes, x.scope)
	})
}

// Violation describes one violated invariant.
type Violation struct {
	// At is the time since the start of the run.
	At        time.Duration
	Invariant string
	Detail    string
}

func (v Violation) String() string {
	return fmt.Sprintf("%7.3f s  %s: %s", v.At.Seconds(), v.Invariant, v.Detail)
}

// violationLog collects violated invariants. It is safe for concurrent use.
type violationLog struct {
	started time.Time
	mu      sync.Mutex
	list    []Violation
}

func (v *violationLog) add(invariant, format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = append(v.list, Violation{At: time.Since(v.started), Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
}

func (v *violationLog) all() []Violation {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]Violation(nil), v.list...)
}
