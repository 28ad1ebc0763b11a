// Package soak runs entry VMs as processes of their own against stand-ins of
// the users' platform, disturbs them from outside with a schedule that follows
// from a seed, and checks the promises to callers and backend servers.
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
	"github.com/vanillaarch/vanillaarch/platform"
)

// Bounds of the promises, as the settings of the VMs state them.
const (
	drainBound  = 2 * time.Second
	applyBound  = 2 * time.Second
	revokeBound = 5 * time.Second
	// contactTime is how long a part must have been undisturbed before a promise
	// with a time bound holds for it.
	contactTime = 4 * time.Second
	// stopAccepts is how long after the begin of a stop a VM still takes requests.
	stopAccepts = 3 * time.Second
	// recoveryBound is the time after all faults in which each VM serves again.
	recoveryBound = 15 * time.Second
	startBound    = 10 * time.Second
	// startTries bounds the starts of a VM whose addresses another process has
	// taken before it listened.
	startTries = 3
)

// The load.
const (
	streamEvents  = 60
	eventInterval = 15 * time.Millisecond
	deskWork      = 15 * time.Millisecond
	engineSlots   = 24
	deskSlots     = 8
	callersOfVM   = 3
)

const configKey = platform.ConfigKey

// Options are the parameters of a run.
type Options struct {
	Seed uint64
	// Duration is the time of the faults, without start and recovery.
	Duration time.Duration
	// VMs, Engines and Desks are numbers of processes and stand-ins.
	VMs, Engines, Desks int
	// Daemon is the path of vanillaarchd, Dir that of settings and logs.
	Daemon, Dir string
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64
	Violations []Violation
	// Faults are those that were applied, in order.
	Faults []string
	// Answers counts requests by kind and outcome.
	Answers map[string]int
}

// world is a running deployment.
type world struct {
	opts    Options
	started time.Time
	store   *userplatform.Store
	fleet   *userplatform.Fleet
	keys    *keyring
	faults  *timeline
	broken  *violations
	stops   stopTable
	seen    refusals
	answers tally
	vms     []*vm
	cleanup []func()

	mu       sync.Mutex
	requests []*request
	servers  []*server
	drained  []drained
	applied  []string
	nextID   int
	// storeFaults are those in force.
	storeFaults map[*userplatform.StoreFaults]struct{}
}

// server is a backend server behind a proxy.
type server struct {
	*userplatform.Server
	link *proxy
}

// drained is a server that left.
type drained struct {
	server *userplatform.Server
	notice time.Time
}

// Run plays one seed. Broken promises are in the report; an error means that the
// run itself failed.
func Run(ctx context.Context, o Options) (*Report, error) {
	w := &world{
		opts: o, started: time.Now(), store: userplatform.NewStore(), faults: &timeline{},
		keys:        &keyring{revoked: map[string]time.Time{}},
		storeFaults: map[*userplatform.StoreFaults]struct{}{},
	}
	w.broken = &violations{started: w.started}
	w.fleet = userplatform.NewFleet(w.store)
	w.defers(w.store.Close)
	defer w.close()
	if err := w.start(ctx); err != nil {
		return nil, err
	}
	w.play(ctx)
	w.checkRecovery(ctx)
	w.checkRuns()
	w.checkDrains()
	w.checkProcesses()
	return &Report{Seed: o.Seed, Violations: w.broken.all(), Faults: w.applied, Answers: w.answers.all()}, nil
}

func (w *world) defers(f func()) { w.cleanup = append(w.cleanup, f) }

func (w *world) close() {
	for i := len(w.cleanup) - 1; i >= 0; i-- {
		w.cleanup[i]()
	}
}

func (w *world) start(ctx context.Context) error {
	w.keys.rotate(w.store)
	for range w.opts.Engines {
		if err := w.addServer(true); err != nil {
			return err
		}
	}
	for range w.opts.Desks {
		if err := w.addServer(false); err != nil {
			return err
		}
	}
	for i := range w.opts.VMs {
		if err := w.addVM(fmt.Sprintf("vm-%d", i)); err != nil {
			return err
		}
	}
	for _, err := range w.awaitAll(ctx, startBound) {
		return errors.Wrap(err, "start")
	}
	return nil
}

// awaitAll waits until all VMs serve, and returns the errors of those that do
// not within a limit.
func (w *world) awaitAll(ctx context.Context, limit time.Duration) []error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	errs := make([]error, len(w.vms))
	var probes sync.WaitGroup
	for i, v := range w.vms {
		probes.Go(func() { errs[i] = w.awaitServing(ctx, v) })
	}
	probes.Wait()
	return slices.DeleteFunc(errs, func(err error) bool { return err == nil })
}

// addServer starts one more backend server.
func (w *world) addServer(engine bool) error {
	w.mu.Lock()
	w.nextID++
	n := w.nextID
	w.mu.Unlock()
	x := &server{}
	o := userplatform.ServerOptions{
		ID: fmt.Sprintf("desk-%d", n), Service: "desk", Zone: "z", Slots: deskSlots, ProcessingTime: deskWork,
		AdvertisedAddress: func(listens string) (string, error) {
			var err error
			if x.link, err = newProxy(listens); err != nil {
				return "", err
			}
			return x.link.address(), nil
		},
	}
	if engine {
		o.ID, o.Service, o.Model, o.Slots = fmt.Sprintf("engine-%d", n), "engines", "m", engineSlots
		o.Events, o.EventInterval = streamEvents, eventInterval
	}
	var err error
	if x.Server, err = w.fleet.Start(o); err != nil {
		return errors.Wrap(err, "start server")
	}
	w.defers(func() { x.Crash(); x.link.close() })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = append(w.servers, x)
	return nil
}

// addVM starts a VM whose calls to the store go through a proxy.
func (w *world) addVM(name string) error {
	store, err := standin.Listen("127.0.0.1:0", w.store.HandlerFor(name))
	if err != nil {
		return errors.Wrap(err, "store of "+name)
	}
	w.defers(store.Close)
	link, err := newProxy(store.Address())
	if err != nil {
		return err
	}
	w.defers(link.close)
	for try := 1; ; try++ {
		v, err := newVM(name, w.opts.Dir, w.opts.Daemon, link)
		if err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
		if v.listens() {
			w.defers(func() { _ = v.end(syscall.SIGKILL, time.Second) })
			w.vms = append(w.vms, v)
			return nil
		}
		_ = v.end(syscall.SIGKILL, time.Second)
		if try == startTries {
			return errors.Wrapf(v.running().err, "%s does not listen, see %s", name, v.logPath)
		}
	}
}

// awaitServing waits until a VM serves each kind of request.
func (w *world) awaitServing(ctx context.Context, v *vm) error {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for k := kind(0); k < kinds; {
		r := &request{id: fmt.Sprintf("probe-%s-%s-%d", v.name, k, time.Now().UnixNano()), kind: k, vm: v, key: stableKey}
		err := exchange(ctx, client, r)
		if err == nil && r.status == http.StatusOK && r.wrong() == nil {
			k++
			continue
		}
		select {
		case <-ctx.Done():
			return &servingError{VM: v.name, Kind: k.String(), Status: r.status, Cause: err}
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// servingError reports a VM that does not serve a kind of request.
type servingError struct {
	VM, Kind string
	Status   int
	Cause    error
}

func (e *servingError) Error() string {
	return fmt.Sprintf("%s does not serve %s: status %d, %v", e.VM, e.Kind, e.Status, e.Cause)
}

func (e *servingError) Unwrap() error { return e.Cause }

// play runs callers and faults side by side, and then lets the callers end.
func (w *world) play(ctx context.Context) {
	playing, stop := context.WithTimeout(ctx, w.opts.Duration)
	defer stop()
	var callers sync.WaitGroup
	for i, v := range w.vms {
		for n := range callersOfVM {
			c := newCaller(w, v, i*callersOfVM+n)
			callers.Go(func() { c.runUntil(ctx, playing) })
		}
	}
	w.disturb(playing)
	callers.Wait()
}

// checkRecovery checks that each VM serves within the bound after all faults.
func (w *world) checkRecovery(ctx context.Context) {
	for _, err := range w.awaitAll(ctx, recoveryBound) {
		w.broken.add(promiseRecovery, "%v", err)
	}
}

func (w *world) drains() []drained {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]drained(nil), w.drained...)
}
