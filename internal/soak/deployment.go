package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/standin"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// server is a backend server behind a proxy.
type server struct {
	*userplatform.Server
	link *proxy
	// version is the version of its software, "" for a plain server.
	version string
}

// newHarness returns a harness without processes. Its store lasts until close.
func newHarness(o Options) *harness {
	started := time.Now()
	w := &harness{
		opts: o, started: started, store: userplatform.NewStore(), faults: &timeline{},
		keys: &keyring{revoked: map[string]time.Time{}}, violations: &violationLog{started: started},
		drainNotices: map[string]time.Time{}, version: firstVersion,
	}
	w.fleet = userplatform.NewFleet(w.store)
	w.addCleanup(w.store.Close)
	return w
}

func (h *harness) addCleanup(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cleanup = append(h.cleanup, f)
}

func (h *harness) close() {
	for i := len(h.cleanup) - 1; i >= 0; i-- {
		h.cleanup[i]()
	}
}

func (h *harness) start(ctx context.Context) error {
	h.keys.rotate(h.store)
	for range h.opts.Engines {
		if err := h.addServer(true); err != nil {
			return err
		}
	}
	for range h.opts.PlainServers {
		if err := h.addServer(false); err != nil {
			return err
		}
	}
	if err := h.startVMs(); err != nil {
		return err
	}
	for _, err := range h.awaitAll(ctx, startBound+time.Duration(h.opts.VMs)*startBoundPerVM) {
		return errors.Wrap(err, "start")
	}
	return nil
}

// awaitAll waits until all VMs serve and returns an error for each VM that does
// not within the limit.
func (h *harness) awaitAll(ctx context.Context, limit time.Duration) []error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	errs := make([]error, len(h.vms))
	var probes sync.WaitGroup
	for i, v := range h.vms {
		probes.Go(func() { errs[i] = h.awaitServing(ctx, v) })
	}
	probes.Wait()
	return slices.DeleteFunc(errs, func(err error) bool { return err == nil })
}

// addServer starts a backend server of the first version.
func (h *harness) addServer(engine bool) error {
	_, err := h.startServer(engine, firstVersion)
	return err
}

// startServer starts a backend server behind a proxy. Plain servers have no version.
func (h *harness) startServer(engine bool, version string) (*server, error) {
	h.mu.Lock()
	h.nextID++
	n := h.nextID
	h.mu.Unlock()
	x := &server{}
	o := userplatform.ServerOptions{
		ID: fmt.Sprintf("desk-%d", n), Service: "desk", Zone: h.zoneOf(n), Slots: plainSlots, ProcessingTime: plainServiceTime, Cold: coldTime,
		AdvertisedAddress: func(listens string) (string, error) {
			var err error
			if x.link, err = newProxy(listens, &h.closes); err != nil {
				return "", err
			}
			return x.link.address(), nil
		},
		// The link refuses connections while its server is down.
		ListenChanged: func(listens bool) {
			if !listens {
				x.link.refuse()
			} else if err := x.link.listen(); err != nil {
				h.violations.add(invariantNoUnexpectedExit, "%v", err)
			}
		},
	}
	if engine {
		o.ID, o.Service, o.Model, o.Slots = fmt.Sprintf("engine-%d", n), "engines", "m", engineSlots
		o.Events, o.EventInterval = streamEvents, eventInterval
		o.SoftwareVersion, x.version = version, version
	}
	var err error
	if x.Server, err = h.fleet.Start(o); err != nil {
		return nil, errors.Wrap(err, "start server")
	}
	h.addCleanup(func() { x.Crash(); x.link.close() })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servers = append(h.servers, x)
	h.startedServers = append(h.startedServers, startedServer{x, time.Now()})
	return x, nil
}

// startVMs starts all VMs, a few at a time.
func (h *harness) startVMs() error {
	h.vms = make([]*vm, h.opts.VMs)
	errs := make([]error, h.opts.VMs)
	slots := make(chan struct{}, concurrentStarts)
	var starts sync.WaitGroup
	for i := range h.vms {
		slots <- struct{}{}
		starts.Go(func() {
			defer func() { <-slots }()
			h.vms[i], errs[i] = h.startVM(fmt.Sprintf("vm-%d", i))
		})
	}
	starts.Wait()
	return errors.Join(errs...)
}

// startVM starts a VM that reaches the store through a proxy.
func (h *harness) startVM(name string) (*vm, error) {
	store, err := standin.Listen("127.0.0.1:0", h.store.HandlerFor(name))
	if err != nil {
		return nil, errors.Wrap(err, "listen as store of "+name)
	}
	h.addCleanup(store.Close)
	link, err := newProxy(store.Address(), nil)
	if err != nil {
		return nil, err
	}
	h.addCleanup(link.close)
	for attempt := 1; ; attempt++ {
		v, err := newVM(name, h.opts.Dir, h.opts.Daemon, link)
		if err != nil {
			return nil, err
		}
		if err := v.start(); err != nil {
			return nil, err
		}
		if v.awaitListening() {
			h.addCleanup(func() {
				_ = v.terminate(syscall.SIGKILL, time.Second)
				v.releasePorts()
			})
			return v, nil
		}
		_ = v.terminate(syscall.SIGKILL, time.Second)
		v.releasePorts()
		if attempt == maxStartAttempts {
			return nil, errors.Wrapf(v.currentProcess().err, "%s is not listening, see %s", name, v.logPath)
		}
	}
}

// awaitServing waits until a VM serves every kind of request.
func (h *harness) awaitServing(ctx context.Context, v *vm) error {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for k := kind(0); k < kindCount; {
		r := &request{id: requestID(v, fmt.Sprintf("probe-%s-%d", k, time.Now().UnixNano())), kind: k, vm: v, key: stableKey}
		err := exchange(ctx, client, r)
		if err == nil && r.status == http.StatusOK && r.validate() == nil {
			k++
			continue
		}
		select {
		case <-ctx.Done():
			return &servingError{VM: v, Kind: k.String(), Status: r.status, Cause: err}
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// servingError reports a VM that does not serve a kind of request.
type servingError struct {
	VM     *vm
	Kind   string
	Status int
	Cause  error
}

func (e *servingError) Error() string {
	return fmt.Sprintf("%s does not serve %s: status %d, %v", e.VM.name, e.Kind, e.Status, e.Cause)
}

func (e *servingError) Unwrap() error { return e.Cause }
