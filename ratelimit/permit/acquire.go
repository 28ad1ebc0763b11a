package permit

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/ratelimit"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// LimitedError reports that a server has named a limit, or is cold, and this VM has no permit for a
// request to it.
type LimitedError struct {
	Server serverstate.Server
	// Until is when this VM should ask for a permit again, on the clock of package
	// boottime. It is 0 if the VM may ask at once.
	Until time.Duration
}

func (e *LimitedError) Error() string {
	return fmt.Sprintf("backend server %s limits the rate of requests, and there is no permit", e.Server.ID)
}

// DeniedError reports that a request got no permit.
type DeniedError struct {
	Reason ratelimit.Reason
	// RetryAfter is the expected time until the request could be served.
	RetryAfter time.Duration
	// Cold is set if a candidate was cold.
	Cold bool
}

func (e *DeniedError) Error() string {
	if e.Cold {
		return fmt.Sprintf("no permit for a request to a cold backend server: %v, retry after %v", e.Reason, e.RetryAfter)
	}
	return fmt.Sprintf("no permit for a request to a limited backend server: %v, retry after %v", e.Reason, e.RetryAfter)
}

// Request asks for a permit.
type Request struct {
	// ID is that of the caller's request, for the log.
	ID string
	// Servers are the candidates. All of them belong to Service.
	Servers      []vmlist.VM
	Service      string
	Priority     int
	Organisation string
	// AimWait and MaxWait are the times that the request may wait behind others, and alone.
	AimWait, MaxWait time.Duration
	// Urgent is set if earlier work depends on the request.
	Urgent bool
}

// Permit allows one request to a server. The zero value allows none.
type Permit struct {
	decision ratelimit.Decision
	// expiresAt is on the clock of package boottime.
	expiresAt time.Duration
}

// Server returns the server of the permit.
func (p Permit) Server() serverstate.Server { return p.decision.Server }

// Granted reports whether the permit allows a request.
func (p Permit) Granted() bool { return p.decision.Granted }

// Acquire obtains a permit for one of several limited servers, and waits as long as the
// request says. It returns a *DeniedError if there is none, and the cause of ctx if that
// ends first.
func (m *Manager) Acquire(ctx context.Context, r Request) (Permit, error) {
	request := ratelimit.Request{
		Sequence: m.sequence.Add(1), Service: r.Service, Priority: r.Priority, Organisation: r.Organisation,
		AimWait: r.AimWait, MaxWait: r.MaxWait, Urgent: r.Urgent,
	}
	for _, vm := range r.Servers {
		request.Servers = append(request.Servers, serverOf(vm))
	}
	done := make(chan ratelimit.Decision, 1)
	running := m.opts.Loop.Post(event{m, func(now time.Duration) ratelimit.Effects {
		m.waiting[request.Sequence] = done
		return m.node.Request(now, request)
	}})
	if !running {
		return Permit{}, &DeniedError{Reason: ratelimit.ReasonOwner, RetryAfter: decisionMargin}
	}
	m.wakeUp()
	d, err := m.await(ctx, request, done)
	if err != nil {
		return Permit{}, err
	}
	return m.accept(r, d)
}

// await waits for the decision on a request.
func (m *Manager) await(ctx context.Context, r ratelimit.Request, done <-chan ratelimit.Decision) (ratelimit.Decision, error) {
	timer := time.NewTimer(r.MaxWait + decisionMargin)
	defer timer.Stop()
	err := error(&DeniedError{Reason: ratelimit.ReasonOwner, RetryAfter: decisionMargin})
	select {
	case d := <-done:
		return d, nil
	case <-timer.C:
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	m.opts.Loop.Post(event{m, func(now time.Duration) ratelimit.Effects { return m.abandon(now, r.Sequence, done) }})
	return ratelimit.Decision{}, err
}

// abandon ends a request that does not wait any more. A permit that was granted meanwhile
// is returned.
func (m *Manager) abandon(now time.Duration, sequence uint64, done <-chan ratelimit.Decision) ratelimit.Effects {
	delete(m.waiting, sequence)
	select {
	case d := <-done:
		if !d.Granted {
			return ratelimit.Effects{}
		}
		return m.node.Return(now, d)
	default:
		return m.node.Withdraw(now, sequence)
	}
}

// accept turns a decision into a permit or an error, and remembers for how long the
// candidates of a denied request are to be avoided.
func (m *Manager) accept(r Request, d ratelimit.Decision) (Permit, error) {
	now := boottime.Now()
	m.counters.count(d)
	if d.Granted {
		m.opts.Log.Debug("permit_granted", zap.String("request", r.ID), zap.String("backend", d.Server.ID), zap.Bool("floor", d.Floor))
		return Permit{decision: d, expiresAt: now + d.ExpiresIn}, nil
	}
	for _, vm := range r.Servers {
		m.avoided.add(serverOf(vm), now+max(d.RetryAfter, minAvoidance))
	}
	for _, a := range d.AskAgain {
		m.avoided.add(a.Server, now+max(a.For, minAvoidance))
	}
	cold := slices.ContainsFunc(r.Servers, m.Cold)
	if cold {
		m.counters.coldDenied.Inc(1)
	}
	m.opts.Log.Info("permit_denied", zap.String("request", r.ID), zap.String("service", r.Service), zap.Int("candidates", len(r.Servers)),
		zap.Stringer("reason", d.Reason), zap.Duration("retry_after", d.RetryAfter), zap.Bool("floor", d.Floor), zap.Bool("cold", cold))
	return Permit{}, &DeniedError{Reason: d.Reason, RetryAfter: d.RetryAfter, Cold: cold}
}

// minAvoidance is the shortest time for which a server is avoided after a denial, so that a
// request that looks for another server does not ask again at once.
const minAvoidance = 10 * time.Millisecond

// Return gives back a permit with which nothing was sent.
func (m *Manager) Return(p Permit) {
	if !p.Granted() || boottime.Now() >= p.expiresAt {
		return
	}
	m.opts.Loop.Post(event{m, func(now time.Duration) ratelimit.Effects { return m.node.Return(now, p.decision) }})
}

// Check returns a *LimitedError while this VM should not ask for a permit for a server.
func (m *Manager) Check(vm vmlist.VM) error {
	if m.table.Empty() {
		return nil
	}
	s := serverOf(vm)
	until, avoid := m.avoided.until(boottime.Now(), s)
	if !avoid || !m.Limited(vm) {
		return nil
	}
	return &LimitedError{Server: s, Until: until}
}

// Start must be called right before a request is sent. It returns a *LimitedError if the
// server is limited and the permit is not for it, or has expired.
func (m *Manager) Start(vm vmlist.VM, p Permit) error {
	if !m.Limited(vm) {
		return nil
	}
	s := serverOf(vm)
	if p.Granted() && p.Server() == s && boottime.Now() < p.expiresAt {
		return nil
	}
	return &LimitedError{Server: s}
}

// Avoided returns the ids of the limited servers for which this VM should not ask for a
// permit, with the times at which it should again.
func (m *Manager) Avoided() map[string]time.Duration {
	if m.table.Empty() {
		return nil
	}
	ids := map[string]time.Duration{}
	for s, until := range m.avoided.all(boottime.Now()) {
		if _, limited := m.table.Effective(boottime.Now(), s); limited {
			ids[s.ID] = until
		}
	}
	return ids
}
