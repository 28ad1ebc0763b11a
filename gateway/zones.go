package gateway

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// EvacuatedError reports a request that was not sent since the availability zone of its backend
// server is evacuated.
type EvacuatedError struct{ Backend, Zone string }

func (e *EvacuatedError) Error() string {
	return fmt.Sprintf("backend %s is in availability zone %s, which is evacuated", e.Backend, e.Zone)
}

// ServiceEvacuatedError reports that all servers that could run a request are in evacuated
// availability zones.
type ServiceEvacuatedError struct {
	Service string
	Zones   []string
}

func (e *ServiceEvacuatedError) Error() string {
	return fmt.Sprintf("all servers of service %s are in evacuated availability zones (%s)", e.Service, strings.Join(e.Zones, ", "))
}

// checkZone returns an *EvacuatedError if nothing may be sent to a server since its availability zone
// is evacuated.
func checkZone(snap *control.Snapshot, vm vmlist.VM) error {
	if snap.Evacuations.Includes(vm.Zone) {
		return &EvacuatedError{Backend: vm.ID, Zone: vm.Zone}
	}
	return nil
}

// stopEvacuated is checkZone for a request that is about to be sent. It logs and counts those that it
// stops.
func (g *Gateway) stopEvacuated(vm vmlist.VM) error {
	err := checkZone(g.Snapshot(), vm)
	if err != nil {
		g.Metrics.requestsStoppedEvacuated.Inc(1)
		g.Log.Info("request_stopped_evacuated", zap.String("backend", vm.ID), zap.String("zone", vm.Zone))
	}
	return err
}

// isEvacuated reports whether an error says that the zone of a server is evacuated.
func isEvacuated(err error) bool {
	_, ok := errors.Into[*EvacuatedError](err)
	return ok
}

// checkSentBackup returns an *EvacuatedError if the request that is about to be sent names an engine
// for the backup of the run whose zone has been evacuated since the request was built.
func (s *stream) checkSentBackup() error {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if rc := s.copies.backup; rc != nil && s.sentBackup == rc.vm.Address {
		return s.g.stopEvacuated(rc.vm)
	}
	return nil
}

// serviceEvacuated returns a *ServiceEvacuatedError if no server could run the request since all of
// them are in evacuated zones, nil if there is another reason.
func (c *call) serviceEvacuated() error {
	snap := c.g.Snapshot()
	if c.service == nil || len(snap.Evacuations.Zones()) == 0 || len(c.candidates(snap)) > 0 {
		return nil
	}
	var zones []string
	for _, z := range snap.Evacuations.Zones() {
		if c.hasServerIn(snap, z.Name) {
			zones = append(zones, z.Name)
		}
	}
	if len(zones) == 0 {
		return nil
	}
	return &ServiceEvacuatedError{Service: c.service.Name, Zones: zones}
}

// candidates returns the servers that may run the request.
func (c *call) candidates(snap *control.Snapshot) []vmlist.VM {
	if c.service.Engine != nil {
		return snap.Engines[route.PoolName(c.service.Name, c.info.Model)]
	}
	return snap.Services[c.service.Name]
}

// hasServerIn reports whether an evacuated zone has a server that could run the request otherwise.
func (c *call) hasServerIn(snap *control.Snapshot, zone string) bool {
	for _, vm := range snap.Backends {
		names := vm.Services
		name := c.service.Name
		if c.service.Engine != nil {
			names, name = vm.Models, route.PoolName(c.service.Name, c.info.Model)
		}
		for _, n := range names {
			if n == name && vm.Zone == zone && vm.State == vmlist.StateEvacuated {
				return true
			}
		}
	}
	return false
}
