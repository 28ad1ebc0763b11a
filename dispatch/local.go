package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// localPollInterval is the interval at which a waiting request checks for capacity.
const localPollInterval = 20 * time.Millisecond

// Local admits requests with only the knowledge of its own VM: it selects the engine
// with the fewest outstanding requests, within a fixed stream limit per engine. It is
// the bypass for a dispatcher that does not respond.
type Local struct {
	snapshot   func() *control.Snapshot
	maxStreams int
	maxWaiting int
	timeout    time.Duration
	usable     func(vmlist.VM) bool

	mu      sync.Mutex
	streams map[string]int
	waiting int
}

// NewLocal returns a Local that admits at most maxStreams streams per engine and lets
// at most maxWaiting requests wait, each for up to timeout.
func NewLocal(snapshot func() *control.Snapshot, maxStreams, maxWaiting int, timeout time.Duration) *Local {
	return &Local{
		snapshot: snapshot, maxStreams: maxStreams, maxWaiting: maxWaiting, timeout: timeout, streams: map[string]int{},
		usable: func(vmlist.VM) bool { return true },
	}
}

// Restrict limits the choice to engines for which usable returns true. It must be
// called before the first Acquire or Try.
func (l *Local) Restrict(usable func(vmlist.VM) bool) *Local {
	l.usable = usable
	return l
}

// Acquire implements Admission.
func (l *Local) Acquire(ctx context.Context, a AdmissionRequest) (Ticket, error) {
	if t, err := l.Try(a); t != nil || err != nil {
		return t, err
	}
	if !l.addWaiting() {
		return nil, &QueueFullError{Organisation: a.Organisation}
	}
	defer l.removeWaiting()
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil, &QueueTimeoutError{Model: a.Model}
		case <-time.After(localPollInterval):
		}
		if t, err := l.Try(a); t != nil || err != nil {
			return t, err
		}
	}
}

func (l *Local) addWaiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waiting >= l.maxWaiting {
		return false
	}
	l.waiting++
	return true
}

func (l *Local) removeWaiting() {
	l.mu.Lock()
	l.waiting--
	l.mu.Unlock()
}

// Try returns a ticket without waiting, or nil without an error if all engines are
// full. Its only error is *NoBackendError.
func (l *Local) Try(a AdmissionRequest) (Ticket, error) {
	engines := l.snapshot().Engines[a.Model]
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *vmlist.VM
	usable := 0
	for i := range engines {
		vm := &engines[i]
		if slices.Contains(a.Excluded, vm.ID) || !l.usable(*vm) {
			continue
		}
		usable++
		if l.streams[vm.ID] < l.maxStreams && (best == nil || l.streams[vm.ID] < l.streams[best.ID]) {
			best = vm
		}
	}
	if usable == 0 {
		return nil, &NoBackendError{Model: a.Model}
	}
	if best == nil {
		return nil, nil
	}
	l.streams[best.ID]++
	return &localTicket{local: l, target: backend.TargetOf(*best)}, nil
}

type localTicket struct {
	local  *Local
	target backend.Target
	once   sync.Once
}

func (t *localTicket) Backend() backend.Target { return t.target }
func (t *localTicket) Priority() int           { return 0 }
func (t *localTicket) Progress(int)            {}
func (t *localTicket) Preempted()              {}
func (t *localTicket) Failed()                 {}

func (t *localTicket) Release(int) {
	t.once.Do(func() {
		t.local.mu.Lock()
		defer t.local.mu.Unlock()
		if t.local.streams[t.target.ID]--; t.local.streams[t.target.ID] == 0 {
			delete(t.local.streams, t.target.ID)
		}
	})
}
