package config

import "time"

// Deployment is what the platform tells an entry VM about itself and about the
// bounds that the operator demands.
type Deployment struct {
	// VM is the name of the VM, unique in the deployment.
	VM     string
	Zone   string
	Region string
	// Listen holds the addresses to listen on, as IP:port.
	Listen DeploymentListen
	// Seeds are addresses of the peer listeners of a few VMs. They may be stale.
	Seeds []string
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	Limits     VMLimits
	Store      StoreSettings
	Bounds     Bounds
	// HeartbeatInterval is how often backend servers renew their entries.
	HeartbeatInterval time.Duration
}

// DeploymentListen holds the addresses of an entry VM, as IP:port.
type DeploymentListen struct {
	// Callers receives requests, Ready the readiness checks of the balancer.
	Callers, Ready string
	// Peers receives sessions of other entry VMs.
	Peers string
	// Metrics serves counters and histograms.
	Metrics string
}

// VMLimits are the resources of an entry VM.
type VMLimits struct {
	// CPU is the part of a core.
	CPU         float64
	MemoryBytes int64
	Files       int
}

// StoreSettings locate the platform's key-value service.
type StoreSettings struct {
	// Address is IP:port.
	Address string
	// MinLease is the shortest lease that the service grants.
	MinLease time.Duration
}

// Bounds are the limits within which the operator wants changes to take effect.
type Bounds struct {
	// Drain is the time after which a leaving backend server must get no new work.
	Drain time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// ConfigApply is the time in which a new configuration must be in force.
	ConfigApply time.Duration
	// Revoke is the time after which a revoked key must be refused, and so the
	// greatest age of a confirmed configuration. 0 means no bound.
	Revoke time.Duration
	// RetryRatio and RetrySlack bound the repeats of all VMs together in any
	// RetryWindow: the ratio of the requests of a service plus the slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// AddressReuse is the least time after which the address of a backend
	// server may belong to another service.
	AddressReuse time.Duration
}
