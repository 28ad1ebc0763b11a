package config

import "time"

// Deployment holds the settings that the platform gives an entry VM: its identity,
// addresses and resources, and the operator's bounds.
type Deployment struct {
	// VM is the name of the VM, which is unique in the deployment.
	VM     string
	Zone   string
	Region string
	// Listen holds the addresses to listen on, as IP:port.
	Listen DeploymentListen
	// Seeds lists the addresses of the peer listeners of a few VMs. They may be
	// outdated.
	Seeds []string
	// FirstStart reports whether the whole system starts for the first time.
	FirstStart bool
	// ZoneRegions maps availability zones to their regions.
	ZoneRegions map[string]string
	Limits      VMLimits
	Store       StoreSettings
	Bounds      Bounds
	// HeartbeatInterval is how often backend servers renew their entries.
	HeartbeatInterval time.Duration
}

// DeploymentListen holds the addresses of an entry VM, as IP:port.
type DeploymentListen struct {
	// Callers receives requests, Ready the load balancer's readiness checks.
	Callers, Ready string
	// Peers accepts sessions of other entry VMs.
	Peers string
	// Metrics serves counters and histograms.
	Metrics string
}

// VMLimits holds the resource limits of an entry VM.
type VMLimits struct {
	// CPU is the share of a CPU core.
	CPU         float64
	MemoryBytes int64
	Files       int
}

// StoreSettings holds the address and the limits of the platform's key-value
// service.
type StoreSettings struct {
	// Address has the form IP:port.
	Address string
	// MinLease is the shortest lease that the service grants.
	MinLease time.Duration
	// WritesPerSecond is the number of writes that the service takes from all VMs together, 0 if it is
	// not known.
	WritesPerSecond int
}

// Bounds holds the operator's limits on how long changes may take to become
// effective, and on retries.
type Bounds struct {
	// Drain is the time after which a backend server that is being drained must
	// not get new work.
	Drain time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// ConfigApply is the time within which a new configuration must be in force.
	ConfigApply time.Duration
	// Revoke is the time after which a revoked key must be rejected, and therefore
	// the maximum age of a confirmed configuration. 0 means no bound.
	Revoke time.Duration
	// RetryRatio and RetrySlack bound the total retries of all VMs in any
	// RetryWindow to RetryRatio times the requests of a service plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// AddressReuse is the minimum time before the address of a backend server can
	// be reassigned to another service.
	AddressReuse time.Duration
	// Evacuation is the time after which the backend servers of an evacuated
	// availability zone must get no request. 0 means that none is configured.
	Evacuation time.Duration
	// ColdRatio and ColdSlack bound the requests of all VMs to a cold server in any second to
	// ColdRatio times the rate of its service plus ColdSlack. ColdRatio 0 means no bound.
	ColdRatio, ColdSlack float64
}

// Change returns the time within which changes that VMs read from the store must take
// effect, 0 if none is configured.
func (b *Bounds) Change() time.Duration {
	bound := min(b.ConfigApply, b.Drain)
	if b.Evacuation > 0 && bound > 0 {
		return min(bound, b.Evacuation)
	}
	return bound
}
