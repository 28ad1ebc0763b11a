// Package localsite runs a deployment on the users' platform in one process on
// loopback: stand-ins of the store and of backend servers, and entry VMs. It
// serves the demo and tests.
package localsite

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/standin"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/platform"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// What every site has.
const (
	// Key is the API key of the only organisation.
	Key = "key-of-acme"
	// Version is that of the first configuration.
	Version = 3
	zone    = "z"
)

// Limits of the entry VMs.
const (
	memoryBytes  = 120 << 20
	storeTimeout = 500 * time.Millisecond
	// knownLimit bounds the time until all VMs know the whole site.
	knownLimit = 10 * time.Second
	pollTime   = 5 * time.Millisecond
)

// Options are the parameters of a Site.
type Options struct {
	VMs, Engines, Desks int
	// Entries is the number of listed backend servers that nobody plays.
	Entries int
	// ConfigDelay is the time from the start of the VMs to the first configuration.
	ConfigDelay time.Duration
	// FirstStart tells the VMs that the whole system starts for the first time.
	FirstStart bool
	// Events is the number of events of a stream, EventInterval the time between them.
	Events        int
	EventInterval time.Duration
	// Bounds are those of the operator. DefaultBounds returns a start.
	Bounds config.Bounds
	// Logs returns where the log of a VM goes. Nil discards all.
	Logs func(vm string) io.Writer
}

// DefaultBounds returns bounds like those of a deployment, with a short time to stop.
func DefaultBounds() config.Bounds {
	return config.Bounds{
		Drain: 2 * time.Second, Grace: 700 * time.Millisecond, ConfigApply: 2 * time.Second, Revoke: 5 * time.Second,
		RetryRatio: 0.2, RetrySlack: 129, RetryWindow: 10 * time.Second,
	}
}

// Site is a running deployment.
type Site struct {
	Store   *userplatform.Store
	Fleet   *userplatform.Fleet
	Engines []*userplatform.Server
	Desks   []*userplatform.Server
	VMs     []*VM

	opts    Options
	cleanup []func()
}

// VM is a running entry VM.
type VM struct {
	*vanillaarch.Entry
	Name string
	// Stop drains the VM, Ended is closed when it has ended.
	Stop  context.CancelFunc
	Ended chan struct{}
	// Err is the error of the run, valid once Ended is closed.
	Err error
}

// Start starts a site and waits until all VMs know all of it.
func Start(o Options) (*Site, error) {
	s := &Site{Store: userplatform.NewStore(), opts: o}
	s.defers(s.Store.Close)
	s.Fleet = userplatform.NewFleet(s.Store)
	for i := range o.Entries {
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

func (s *Site) putConfig() { s.Store.Put(platform.ConfigKey, userplatform.Config(Version, Key)) }

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
	for i := range s.opts.Desks {
		d, err := s.StartServer(userplatform.ServerOptions{
			ID: fmt.Sprintf("desk-%d", i), Service: "desk", Zone: zone, Slots: 6, ProcessingTime: 5 * time.Millisecond,
		})
		if err != nil {
			return err
		}
		s.Desks = append(s.Desks, d)
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
	return s.awaitKnown()
}

// NotKnownError reports a VM that does not know the whole site in time.
type NotKnownError struct{ VM string }

func (e *NotKnownError) Error() string { return e.VM + " does not know the whole site" }

func (s *Site) awaitKnown() error {
	ctx, cancel := context.WithTimeout(context.Background(), knownLimit)
	defer cancel()
	for _, v := range s.VMs {
		for !s.knows(v) {
			if !wait.Sleep(ctx, pollTime) {
				return &NotKnownError{VM: v.Name}
			}
		}
	}
	return nil
}

func (s *Site) knows(v *VM) bool {
	snap := v.Snapshot()
	servers := s.opts.Engines + s.opts.Desks + s.opts.Entries
	return snap.Routes != nil && len(snap.Backends) == servers && len(snap.EntryVMs) == s.opts.VMs
}

// StartServer starts one more backend server.
func (s *Site) StartServer(o userplatform.ServerOptions) (*userplatform.Server, error) {
	server, err := s.Fleet.Start(o)
	if err != nil {
		return nil, err
	}
	s.defers(server.Crash)
	return server, nil
}

// StartVM starts one more entry VM. The store knows its calls by its name.
func (s *Site) StartVM(name string) (*VM, error) {
	store, err := standin.Listen("127.0.0.1:0", s.Store.HandlerFor(name))
	if err != nil {
		return nil, err
	}
	s.defers(store.Close)
	client := platform.NewStore(store.Address(), storeTimeout)
	s.defers(client.Close)
	entry, err := vanillaarch.NewEntry(vanillaarch.EntryOptions{
		Deployment: s.deployment(name, store.Address()), Store: client,
		Codec: platform.StoreCodec{}, Edge: platform.HeaderCodec{}, Log: s.log(name),
		Engines: func(x *backend.HTTPClient) edge.EngineClient { return platform.EngineClient{Exchanges: x} },
	})
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v := &VM{Entry: entry, Name: name, Stop: cancel, Ended: make(chan struct{})}
	go func() {
		defer close(v.Ended)
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

func (s *Site) defers(f func()) { s.cleanup = append(s.cleanup, f) }

// Close stops the VMs, all at once, and then the stand-ins.
func (s *Site) Close() {
	for _, v := range s.VMs {
		v.Stop()
	}
	for _, v := range s.VMs {
		<-v.Ended
	}
	for i := len(s.cleanup) - 1; i >= 0; i-- {
		s.cleanup[i]()
	}
}
