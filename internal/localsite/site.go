// Package localsite runs a deployment on the users' platform in one process on
// loopback: a simulated store, simulated backend servers and real entry VMs.
// The demo and the tests use it.
package localsite

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/discovery"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/standin"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/platform"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// Constants shared by all sites.
const (
	// APIKey authenticates the only organisation.
	APIKey = "key-of-acme"
	// ConfigVersion is the version of the initial configuration.
	ConfigVersion = 3
	zone          = "z"

	defaultPlainServerSlots = 6
	defaultProcessingTime   = 5 * time.Millisecond
)

// Limits of the entry VMs and of the startup.
const (
	memoryBytes      = 120 << 20
	storeCallTimeout = 500 * time.Millisecond
	// discoveryTimeout bounds the time until every VM has discovered all servers and entry VMs.
	discoveryTimeout = 10 * time.Second
	pollInterval     = 5 * time.Millisecond
)

// Options configure a Site.
type Options struct {
	VMs, Engines, PlainServers int
	// PlainServerSlots is the number of requests that a plain server runs concurrently, 0 for
	// the default. It rejects any others.
	PlainServerSlots int
	// ProcessingTime is the time before a plain response, 0 for the default.
	ProcessingTime time.Duration
	// UnstartedServers is the number of backend servers that are listed in the store but not running.
	UnstartedServers int
	// ConfigDelay is the time from the start of the VMs to the first configuration.
	ConfigDelay time.Duration
	// FirstStart tells the VMs that the deployment starts for the first time.
	FirstStart bool
	// Era is the era of the store. 0 makes it one without eras.
	Era int64
	// Events is the number of events in a stream, EventInterval the time between them.
	Events        int
	EventInterval time.Duration
	// Bounds are the operator's bounds. DefaultBounds returns usable values.
	Bounds config.Bounds
	// Codec decodes the entries of the store, nil for that of the platform.
	Codec discovery.Codec
	// Logs returns the writer for the log of a VM. Nil discards all logs.
	Logs func(vm string) io.Writer
}

// DefaultBounds returns bounds as in a production deployment, with a short drain time.
func DefaultBounds() config.Bounds {
	return config.Bounds{
		Drain: 2 * time.Second, Grace: 700 * time.Millisecond, ConfigApply: 2 * time.Second, Revoke: 5 * time.Second,
		RetryRatio: 0.2, RetrySlack: 129, RetryWindow: 10 * time.Second,
	}
}

// Site is a running deployment.
type Site struct {
	Store        *userplatform.Store
	Fleet        *userplatform.Fleet
	Engines      []*userplatform.Server
	PlainServers []*userplatform.Server
	VMs          []*VM

	opts    Options
	cleanup []func()
}

// VM is a running entry VM.
type VM struct {
	*vanillaarch.Entry
	Name string
	// Stop drains the VM. Done is closed when Run has returned.
	Stop context.CancelFunc
	Done chan struct{}
	// Err is the error returned by Run, valid once Done is closed.
	Err error
}

// Start starts a site and waits until every VM has discovered all servers and entry VMs.
func Start(o Options) (*Site, error) {
	s := &Site{Store: userplatform.NewStore(), opts: o}
	s.addCleanup(s.Store.Close)
	s.Store.SetEra(o.Era)
	s.Fleet = userplatform.NewFleet(s.Store)
	for i := range o.UnstartedServers {
		userplatform.RegisterUnreachable(s.Store, fmt.Sprintf("listed-%04d", i), "listed")
	}
	if o.ConfigDelay == 0 {
		s.putConfig()
	}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) putConfig() {
	s.Store.Put(platform.ConfigKey, userplatform.Config(ConfigVersion, APIKey))
}

func (s *Site) start() error {
	for i := range s.opts.Engines {
		e, err := s.StartServer(userplatform.ServerOptions{
			ID: fmt.Sprintf("engine-%d", i), Service: "engines", Zone: zone, Model: "m", Slots: 24,
			Events: s.opts.Events, EventInterval: s.opts.EventInterval,
		})
		if err != nil {
			return err
		}
		s.Engines = append(s.Engines, e)
	}
	for i := range s.opts.PlainServers {
		d, err := s.StartServer(userplatform.ServerOptions{
			ID: fmt.Sprintf("desk-%d", i), Service: "desk", Zone: zone, Slots: cmp.Or(s.opts.PlainServerSlots, defaultPlainServerSlots),
			ProcessingTime: cmp.Or(s.opts.ProcessingTime, defaultProcessingTime),
		})
		if err != nil {
			return err
		}
		s.PlainServers = append(s.PlainServers, d)
	}
	for i := range s.opts.VMs {
		if _, err := s.StartVM(fmt.Sprintf("vm-%d", i)); err != nil {
			return err
		}
	}
	if s.opts.ConfigDelay > 0 {
		time.Sleep(s.opts.ConfigDelay)
		s.putConfig()
	}
	return s.waitForDiscovery()
}

// DiscoveryTimeoutError reports a VM that did not discover all servers and entry
// VMs within discoveryTimeout.
type DiscoveryTimeoutError struct{ VM string }

func (e *DiscoveryTimeoutError) Error() string {
	return e.VM + " did not discover all backend servers and entry VMs in time"
}

func (s *Site) waitForDiscovery() error {
	ctx, cancel := context.WithTimeout(context.Background(), discoveryTimeout)
	defer cancel()
	for _, v := range s.VMs {
		for !s.discoveredAll(v) {
			if !wait.Sleep(ctx, pollInterval) {
				return &DiscoveryTimeoutError{VM: v.Name}
			}
		}
	}
	return nil
}

func (s *Site) discoveredAll(v *VM) bool {
	snap := v.Snapshot()
	servers := s.opts.Engines + s.opts.PlainServers + s.opts.UnstartedServers
	return snap.Routes != nil && len(snap.Backends) == servers && len(snap.EntryVMs) == s.opts.VMs
}

// StartServer starts an additional backend server.
func (s *Site) StartServer(o userplatform.ServerOptions) (*userplatform.Server, error) {
	server, err := s.Fleet.Start(o)
	if err != nil {
		return nil, err
	}
	s.addCleanup(server.Crash)
	return server, nil
}

// StartVM starts an additional entry VM. The store identifies its calls by name,
// so that faults can be set for one VM.
func (s *Site) StartVM(name string) (*VM, error) {
	store, err := standin.Listen("127.0.0.1:0", s.Store.HandlerFor(name))
	if err != nil {
		return nil, err
	}
	s.addCleanup(store.Close)
	client := platform.NewStore(store.Address(), storeCallTimeout)
	s.addCleanup(client.Close)
	codec := s.opts.Codec
	if codec == nil {
		codec = platform.StoreCodec{}
	}
	entry, err := vanillaarch.NewEntry(vanillaarch.EntryOptions{
		Deployment: s.deployment(name, store.Address()), Store: client,
		Codec: codec, Edge: platform.HeaderCodec{}, Log: s.log(name),
		Engines: func(x *backend.HTTPClient) edge.EngineClient { return platform.EngineClient{HTTPClient: x} },
	})
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v := &VM{Entry: entry, Name: name, Stop: cancel, Done: make(chan struct{})}
	go func() {
		defer close(v.Done)
		v.Err = entry.Run(ctx)
	}()
	s.VMs = append(s.VMs, v)
	return v, nil
}

func (s *Site) deployment(name, store string) config.Deployment {
	anyPort := "127.0.0.1:0"
	return config.Deployment{
		VM: name, Zone: zone, Region: "r", FirstStart: s.opts.FirstStart,
		Listen: config.DeploymentListen{Callers: anyPort, Ready: anyPort, Peers: anyPort, Metrics: anyPort},
		Limits: config.VMLimits{MemoryBytes: memoryBytes},
		Store:  config.StoreSettings{Address: store, MinLease: time.Second}, Bounds: s.opts.Bounds,
	}
}

func (s *Site) log(name string) *zap.Logger {
	if s.opts.Logs == nil {
		return zap.NewNop()
	}
	return telemetry.NewLogger(s.opts.Logs(name), "info", name)
}

func (s *Site) addCleanup(f func()) { s.cleanup = append(s.cleanup, f) }

// Close stops all VMs concurrently and then the simulated servers.
func (s *Site) Close() {
	for _, v := range s.VMs {
		v.Stop()
	}
	for _, v := range s.VMs {
		<-v.Done
	}
	for i := len(s.cleanup) - 1; i >= 0; i-- {
		s.cleanup[i]()
	}
}
