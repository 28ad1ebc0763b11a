package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// scope names what a fault touches: the store, one VM, or one backend server.
type scope string

const (
	scopeStore scope = "store"
	// scopeServers stands for any backend server.
	scopeServers scope = "servers"
)

func scopeVM(name string) scope { return scope("vm " + name) }

// faultInterval is the time of one fault.
type faultInterval struct {
	scope    scope
	from, to time.Time
}

// timeline knows when which part was disturbed. Promises with a time bound hold
// for parts that were undisturbed for contactTime.
type timeline struct {
	mu        sync.Mutex
	intervals []*faultInterval
}

// begin notes a fault. The returned function notes its end.
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

// undisturbed reports whether none of the scopes was disturbed from contactTime before
// one time until another.
func (t *timeline) undisturbed(from, to time.Time, scopes ...scope) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range t.intervals {
		if x.from.Before(to) && (x.to.IsZero() || x.to.After(from.Add(-settleTime))) && slices.Contains(scopes, x.scope) {
			return false
		}
	}
	return true
}

// Violation is a broken promise.
type Violation struct {
	// At is the time since the start of the run.
	At        time.Duration
	Invariant string
	Detail    string
}

func (v Violation) String() string {
	return fmt.Sprintf("%7.3f s  %s: %s", v.At.Seconds(), v.Invariant, v.Detail)
}

// violations collects broken promises.
type violations struct {
	started time.Time
	mu      sync.Mutex
	list    []Violation
}

func (v *violations) add(promise, format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = append(v.list, Violation{At: time.Since(v.started), Invariant: promise, Detail: fmt.Sprintf(format, args...)})
}

func (v *violations) all() []Violation {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]Violation(nil), v.list...)
}
