package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/ratelimit/permit"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/serverstate/tracker"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Permits tells which backend servers limit the rate of requests of all VMs together, and
// obtains permits for requests to them. It is a *permit.Manager.
type Permits interface {
	Observe(permit.Answer)
	Limited(vmlist.VM) bool
	Cold(vmlist.VM) bool
	Check(vmlist.VM) error
	Start(vmlist.VM, permit.Permit) error
	Acquire(context.Context, permit.Request) (permit.Permit, error)
	Return(permit.Permit)
	Synced() bool
}

const (
	// limitWaitShare is the part of the time left that a request may wait for a permit: the
	// rest is for its work.
	limitWaitShare = 0.5
	// urgentPermitWait bounds the wait for a permit of requests on which earlier work depends
	// while that goes on. A stream whose engine has stopped waits up to maxCopyPause.
	urgentPermitWait = 300 * time.Millisecond
	// coldPermitWait bounds the wait for a permit of a new run on a cold engine. Requests that
	// wait get permits in the order of their urgency.
	coldPermitWait = 200 * time.Millisecond
)

// checkServer returns nil if this VM may choose a server now.
func (g *Gateway) checkServer(vm vmlist.VM) error {
	if err := g.Servers.Check(vm); err != nil {
		return err
	}
	return g.Permits.Check(vm)
}

// acquirePermit obtains a permit for a plain server that was chosen, if the server is
// limited. It does not wait for one, since other servers may be free.
func (c *call) acquirePermit(vm vmlist.VM) bool {
	c.returnPermit()
	if !c.g.Permits.Limited(vm) {
		return true
	}
	return c.requestPermit(c.r.Context(), permit.Request{Servers: []vmlist.VM{vm}})
}

// requestPermit obtains a permit for one of the servers of a request. It gives back an earlier one
// that was not used.
func (c *call) requestPermit(ctx context.Context, r permit.Request) bool {
	c.returnPermit()
	r.ID, r.Service, r.Priority, r.Organisation = c.info.ID, r.Servers[0].ServiceName(), c.priority(), c.organisationName()
	if r.Organisation == "" {
		r.Organisation = route.Anonymous
	}
	p, err := c.g.Permits.Acquire(ctx, r)
	if denied, ok := errors.Into[*permit.DeniedError](err); ok {
		c.denied = denied
	}
	c.permit = p
	return err == nil
}

// returnPermit gives back the permit if the request was not sent.
func (c *call) returnPermit() {
	c.g.Permits.Return(c.permit)
	c.permit = permit.Permit{}
}

// ranIntoCold reports whether a request was not run since cold servers had no permit for it.
func (c *call) ranIntoCold(p *api.Problem) bool {
	return p != nil && p.Outcome == api.OutcomeNotRun && c.denied != nil && c.denied.Cold
}

// mayWait reports whether the request may wait for a server.
func (c *call) mayWait() bool {
	return !c.callerLeft() && c.checkStopping() == nil && c.remaining() > 0
}

// limitedServers returns the servers of the service that are not excluded and could run the
// request but for their limits.
func (c *call) limitedServers(excluded []string) []vmlist.VM {
	var limited []vmlist.VM
	for _, vm := range c.serviceServers() {
		if c.g.Permits.Limited(vm) && !slices.Contains(excluded, vm.ID) && c.g.Servers.Check(vm) == nil {
			limited = append(limited, vm)
		}
	}
	return limited
}

// awaitPermit waits for a permit for one of several limited servers, as long as that is
// useful for the request.
func (c *call) awaitPermit(servers []vmlist.VM) (vmlist.VM, bool) {
	now := boottime.Now()
	waiting, release := c.whileAllowed()
	defer release()
	ok := c.requestPermit(waiting, permit.Request{
		Servers: servers, AimWait: limitWait(c.aim() - now), MaxWait: limitWait(c.deadline - now),
	})
	if !ok {
		return vmlist.VM{}, false
	}
	vm, listed := c.g.Snapshot().Backends[c.permit.Server().ID]
	if listed {
		c.g.services.start(vm.ID)
	}
	return vm, listed
}

func limitWait(left time.Duration) time.Duration {
	return max(time.Duration(limitWaitShare*float64(left)), 0)
}

// acquireEnginePermit obtains a permit for an engine that was granted, if the engine is
// limited. It returns a *backend.NotSentError if there is none.
func (s *stream) acquireEnginePermit(vm vmlist.VM) error {
	s.returnPermit()
	if !s.g.Permits.Limited(vm) {
		return nil
	}
	r := permit.Request{Servers: []vmlist.VM{vm}}
	switch {
	case s.headSent:
		r = urgentRequest(vm)
	case s.g.Permits.Cold(vm):
		wait := min(coldPermitWait, limitWait(s.aim()-boottime.Now()))
		r.AimWait, r.MaxWait = wait, wait
	}
	if s.requestPermit(s.ctx, r) {
		return nil
	}
	return notPermitted(vm)
}

// acquireCopyPermit obtains a permit for the request by which the run goes on at the engine
// with a copy, if that is limited. It returns a *backend.NotSentError if there is none.
func (s *stream) acquireCopyPermit(vm vmlist.VM) (permit.Permit, error) {
	if !s.g.Permits.Limited(vm) {
		return permit.Permit{}, nil
	}
	r := urgentRequest(vm)
	if s.isBetweenEngines() {
		r.AimWait, r.MaxWait = maxCopyPause, maxCopyPause
	}
	if !s.requestPermit(s.ctx, r) {
		return permit.Permit{}, notPermitted(vm)
	}
	p := s.permit
	s.permit = permit.Permit{}
	return p, nil
}

// urgentRequest is a request for a permit on which earlier work depends.
func urgentRequest(vm vmlist.VM) permit.Request {
	return permit.Request{Servers: []vmlist.VM{vm}, Urgent: true, AimWait: urgentPermitWait, MaxWait: urgentPermitWait}
}

func notPermitted(vm vmlist.VM) error {
	return &backend.NotSentError{Backend: vm.ID, Cause: &permit.LimitedError{Server: tracker.ServerOf(vm)}}
}

// enginePermit allows one call to an engine.
type enginePermit struct {
	permits Permits
	vm      vmlist.VM
	permit  permit.Permit
}

// start must be called right before the call is sent.
func (p enginePermit) start() error { return p.permits.Start(p.vm, p.permit) }

// giveBack must be called if the call is not sent.
func (p enginePermit) giveBack() { p.permits.Return(p.permit) }

// listedAs returns the entry of an engine in the VM list, or what is known of one that it lacks.
func (e observedEngines) listedAs(engine backend.Target) vmlist.VM {
	vm, listed := e.snapshot().Backends[engine.ID]
	if !listed || vm.Incarnation != engine.Incarnation {
		return vmlist.VM{ID: engine.ID, Incarnation: engine.Incarnation}
	}
	return vm
}

// acquirePermit obtains a permit for a call to an engine, if that is limited.
func (e observedEngines) acquirePermit(ctx context.Context, engine backend.Target, urgent bool) (enginePermit, error) {
	vm := e.listedAs(engine)
	p := enginePermit{permits: e.permits, vm: vm}
	if !e.permits.Limited(vm) {
		return p, nil
	}
	r := permit.Request{Servers: []vmlist.VM{vm}}
	if urgent {
		r = urgentRequest(vm)
	}
	r.Service, r.Organisation = vm.ServiceName(), route.Anonymous
	var err error
	if p.permit, err = e.permits.Acquire(ctx, r); err != nil {
		return p, notPermitted(vm)
	}
	return p, nil
}
