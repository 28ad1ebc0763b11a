// Package localcluster runs entry VMs, a simulated platform and simulated backend
// servers in one process on loopback, for the demo and for tests.
package localcluster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/vanillaarch/vanillaarch"
	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/client"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/standin"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Names used by the cluster's bundle and VM list.
const (
	Model          = "quotes"
	Service        = "bookings"
	BookingRoute   = "deposit-booking" // non-repeatable
	LookupRoute    = "panel-check"     // repeatable
	Tenant         = "rafmagnstilbod"
	Organisation   = "reykjavik-electric"
	APIKey         = "reykjavik-electric-key"
	SecondTenant   = "fellos"
	SecondOrg      = "athens-builders"
	SecondAPIKey   = "athens-builders-key"
	region         = "region-1"
	zones          = 3
	loopbackListen = "127.0.0.1:0"
)

// Options configure a Cluster.
type Options struct {
	VMs, Engines, Services int
	// TokenInterval is the time between two tokens of a stream. Default 10ms.
	TokenInterval time.Duration
	// Configure, if set, changes the configuration of each VM before it starts.
	Configure func(*config.Config)
	// Logs receives the log lines of all VMs. By default they are discarded.
	Logs io.Writer
	// SpanProcessors receive the spans of all VMs.
	SpanProcessors []sdktrace.SpanProcessor
}

// Backend is a simulated backend server. One of Engine and Service is set.
type Backend struct {
	ID      string
	Server  *standin.Server
	Engine  *standin.Engine
	Service *standin.Service
}

// VM is a running entry VM.
type VM struct {
	ID     string
	Server *vanillaarch.Server
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// URL returns the base URL for callers.
func (v *VM) URL() string { return "http://" + v.Server.Addresses().HTTP }

// BeginStop starts a graceful shutdown and returns immediately.
func (v *VM) BeginStop() { v.cancel() }

// Stop shuts the VM down gracefully and returns the error of Run.
func (v *VM) Stop() error {
	v.cancel()
	<-v.done
	return v.err
}

// Cluster is a set of entry VMs with a simulated platform and backend servers.
type Cluster struct {
	KV       *standin.KV
	VMList   *standin.VMList
	Engines  []*Backend
	Services []*Backend
	VMs      []*VM

	opts       Options
	kvServer   *standin.Server
	listServer *standin.Server
}

// Start starts a cluster. No bundle is in force until RollOut is called.
func Start(o Options) (*Cluster, error) {
	if o.TokenInterval == 0 {
		o.TokenInterval = 10 * time.Millisecond
	}
	if o.Logs == nil {
		o.Logs = io.Discard
	}
	c := &Cluster{KV: standin.NewKV(), VMList: standin.NewVMList(), opts: o}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	var err error
	if c.kvServer, err = standin.Listen(loopbackListen, c.KV); err != nil {
		return err
	}
	if c.listServer, err = standin.Listen(loopbackListen, c.VMList); err != nil {
		return err
	}
	for i := range c.opts.Engines {
		if err := c.addEngine(i); err != nil {
			return err
		}
	}
	for i := range c.opts.Services {
		if err := c.addService(i); err != nil {
			return err
		}
	}
	for range c.opts.VMs {
		if _, err := c.AddVM(); err != nil {
			return err
		}
	}
	return nil
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%zones+1) }

func (c *Cluster) addEngine(i int) error {
	id := fmt.Sprintf("engine-%d", i+1)
	b := &Backend{ID: id, Engine: standin.NewEngine(standin.EngineOptions{ID: id, TokenInterval: c.opts.TokenInterval})}
	if err := c.listBackend(i, b, b.Engine, vmlist.VM{Role: vmlist.RoleEngine, Models: []string{Model}}); err != nil {
		return err
	}
	c.Engines = append(c.Engines, b)
	return nil
}

func (c *Cluster) addService(i int) error {
	b := &Backend{ID: fmt.Sprintf("service-%d", i+1), Service: standin.NewService()}
	if err := c.listBackend(i, b, b.Service, vmlist.VM{Role: vmlist.RoleService, Services: []string{Service}}); err != nil {
		return err
	}
	c.Services = append(c.Services, b)
	return nil
}

// listBackend serves a backend server on a free port and adds it to the VM list. vm holds
// its role and what it serves.
func (c *Cluster) listBackend(i int, b *Backend, handler http.Handler, vm vmlist.VM) error {
	var err error
	if b.Server, err = standin.Listen(loopbackListen, handler); err != nil {
		return err
	}
	vm.ID, vm.State, vm.Zone, vm.Region, vm.Address = b.ID, vmlist.StateLive, zone(i), region, b.Server.Address()
	c.VMList.Put(vm)
	return nil
}

// AddVM starts an additional entry VM and adds it to the VM list.
func (c *Cluster) AddVM() (*VM, error) {
	i := len(c.VMs)
	cfg := &config.Config{
		VMID: fmt.Sprintf("vm-%d", i+1), Zone: zone(i), Region: region,
		Listen:   config.Listen{HTTP: loopbackListen, Peer: loopbackListen, Admin: loopbackListen},
		Platform: config.Platform{KV: c.kvServer.URL(), VMList: c.listServer.URL()},
	}
	// Short intervals keep the demo and the tests fast.
	cfg.Platform.VMListInterval = config.Duration(100 * time.Millisecond)
	cfg.Timeouts.DrainNotice = config.Duration(100 * time.Millisecond)
	if c.opts.Configure != nil {
		c.opts.Configure(cfg)
	}
	cfg.ApplyDefaults()
	log := telemetry.NewLogger(c.opts.Logs, cfg.Log.Level, cfg.VMID)
	server, err := vanillaarch.New(cfg, vanillaarch.Options{Log: log, SpanProcessors: c.opts.SpanProcessors})
	if err != nil {
		return nil, errors.Wrap(err, "start VM")
	}
	ctx, cancel := context.WithCancel(context.Background())
	vm := &VM{ID: cfg.VMID, Server: server, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(vm.done)
		vm.err = server.Run(ctx)
	}()
	addresses := server.Addresses()
	c.VMList.Put(vmlist.VM{
		ID: cfg.VMID, Role: vmlist.RoleEntry, State: vmlist.StateLive, Zone: cfg.Zone, Region: cfg.Region,
		Address: addresses.HTTP, PeerAddress: addresses.Peer, AdminAddress: addresses.Admin,
	})
	c.VMs = append(c.VMs, vm)
	return vm, nil
}

// KVURL returns the base URL of the key-value service.
func (c *Cluster) KVURL() string { return c.kvServer.URL() }

// VMListURL returns the base URL of the VM list.
func (c *Cluster) VMListURL() string { return c.listServer.URL() }

// Client returns a client that authenticates with apiKey and uses all VMs.
func (c *Cluster) Client(apiKey string) *client.Client {
	urls := make([]string, len(c.VMs))
	for i, vm := range c.VMs {
		urls[i] = vm.URL()
	}
	return client.New(client.Options{Addresses: urls, APIKey: apiKey})
}

// Document returns a bundle of the given version with both tenants, the model and
// both routes.
func Document(version int64) *bundle.Document {
	return &bundle.Document{
		Version: version,
		Tenants: []bundle.Tenant{
			{
				Name: Tenant, Share: 0.5,
				Weights:       bundle.Weights{StallTime: 3, Preemptions: 1, InterTokenLatency: 1},
				Organisations: []bundle.Organisation{{Name: Organisation, APIKeySHA256: []string{bundle.APIKeyDigest(APIKey)}}},
			},
			{
				Name: SecondTenant, Share: 0.5,
				Weights:       bundle.Weights{StallTime: 1, Preemptions: 1, InterTokenLatency: 3},
				Organisations: []bundle.Organisation{{Name: SecondOrg, APIKeySHA256: []string{bundle.APIKeyDigest(SecondAPIKey)}}},
			},
		},
		Models: []bundle.Model{{Name: Model, Version: "1"}},
		Routes: []bundle.Route{
			{Name: BookingRoute, Service: Service, Path: "/bookings", NonRepeatable: true, TimeoutMS: 5000},
			{Name: LookupRoute, Service: Service, Path: "/panels", TimeoutMS: 5000},
		},
	}
}

// RollOut stores doc as an unsigned bundle, puts it in force and waits until every
// VM uses it.
func (c *Cluster) RollOut(ctx context.Context, doc *bundle.Document) error {
	signed, err := bundle.Sign(doc, nil)
	if err != nil {
		return err
	}
	kvClient := kv.NewClient(c.kvServer.URL(), 2*time.Second)
	defer kvClient.Close()
	store := bundle.NewStore(kvClient)
	if err := store.Put(ctx, signed); err != nil {
		return err
	}
	if _, err := store.Rollout(ctx, doc.Version, "localcluster"); err != nil {
		return err
	}
	return c.WaitInForce(ctx, doc.Version)
}

// WaitInForce waits until each VM uses the bundle version or a higher one and has
// discovered all engines and services.
func (c *Cluster) WaitInForce(ctx context.Context, version int64) error {
	for _, vm := range c.VMs {
		for {
			if c.synced(vm.Server.Snapshot(), version) {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "bundle %d on %s", version, vm.ID)
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	return nil
}

func (c *Cluster) synced(s *control.Snapshot, version int64) bool {
	return s.Bundle != nil && s.Bundle.Version() >= version &&
		len(s.Engines[Model]) == len(c.Engines) && len(s.Services[Service]) == len(c.Services)
}

// Close stops the cluster. VMs are stopped concurrently and abort running requests.
func (c *Cluster) Close() {
	var wg sync.WaitGroup
	for _, vm := range c.VMs {
		wg.Go(func() {
			vm.Server.Abort()
			_ = vm.Stop()
		})
	}
	wg.Wait()
	for _, b := range append(append([]*Backend(nil), c.Engines...), c.Services...) {
		b.Server.Close()
	}
	for _, s := range []*standin.Server{c.kvServer, c.listServer} {
		if s != nil {
			s.Close()
		}
	}
}
