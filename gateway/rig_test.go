package gateway

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/stillness"
	"github.com/vanillaarch/vanillaarch/platform"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/ratelimit/permit"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/serverstate/tracker"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// knownServers is a table to which afterCheck adds what a server announces after it was
// found usable, and before anything is sent to it.
type knownServers struct {
	table      *serverstate.Table
	afterCheck func(vmlist.VM)
}

func (k *knownServers) Table() *serverstate.Table { return k.table }

func (k *knownServers) Observe(a tracker.Answer) {
	pause, _ := serverstate.ParsePause(a.Notice.RetryAfter, k.table.MaxPause())
	k.table.Observe(boottime.Now(), a.Server, serverstate.Observation{Leaving: a.Notice.Leaving, Pause: pause})
}

func (k *knownServers) Check(vm vmlist.VM) error {
	err := k.table.Check(boottime.Now(), tracker.ServerOf(vm))
	if err == nil && k.afterCheck != nil {
		k.afterCheck(vm)
	}
	return err
}

func (k *knownServers) announceLeaving(vm vmlist.VM) {
	k.table.Observe(boottime.Now(), tracker.ServerOf(vm), serverstate.Observation{Leaving: true})
}

func (k *knownServers) announcePause(vm vmlist.VM, d time.Duration) {
	k.table.Observe(boottime.Now(), tracker.ServerOf(vm), serverstate.Observation{Pause: serverstate.Pause{Delay: d}})
}

// announcements are the ways in which a server becomes unusable.
var announcements = map[string]func(*knownServers, vmlist.VM){
	"leaving": (*knownServers).announceLeaving,
	"paused":  func(k *knownServers, vm vmlist.VM) { k.announcePause(vm, time.Minute) },
}

// allPrompts allows every prompt.
type allPrompts struct{}

func (allPrompts) Check(*quarantine.Request) error { return nil }

func (allPrompts) MayRepeat(*quarantine.Request) bool                      { return true }
func (allPrompts) RunFailed(*quarantine.Request, vmlist.VM, time.Duration) {}
func (allPrompts) RunSucceeded(*quarantine.Request)                        {}
func (allPrompts) Watch(*quarantine.Request, func(error)) func()           { return func() {} }

func (r *gatewayRig) Acquire(_ context.Context, a dispatch.AdmissionRequest) (dispatch.Ticket, error) {
	return r.acquire(a)
}

// rigTicket is a ticket whose methods do nothing but count failures.
type rigTicket struct {
	vm     vmlist.VM
	failed func()
}

func (t rigTicket) Backend() backend.Target { return backend.TargetOf(t.vm) }
func (t rigTicket) Priority() int           { return 0 }
func (t rigTicket) Progress(int)            {}
func (t rigTicket) Preempted()              {}
func (t rigTicket) Failed()                 { t.failed() }
func (t rigTicket) Release(int)             {}

// noLimits lets every request be sent.
type noLimits struct{}

func (noLimits) Observe(permit.Answer)                {}
func (noLimits) Limited(vmlist.VM) bool               { return false }
func (noLimits) Cold(vmlist.VM) bool                  { return false }
func (noLimits) Check(vmlist.VM) error                { return nil }
func (noLimits) Start(vmlist.VM, permit.Permit) error { return nil }
func (noLimits) Return(permit.Permit)                 {}
func (noLimits) Synced() bool                         { return true }

func (noLimits) Acquire(context.Context, permit.Request) (permit.Permit, error) {
	return permit.Permit{}, nil
}

// gatewayRig is a gateway in front of backend servers on loopback.
type gatewayRig struct {
	*Gateway
	t       *testing.T
	servers []vmlist.VM
	known   *knownServers
	acquire func(dispatch.AdmissionRequest) (dispatch.Ticket, error)

	mu       sync.Mutex
	arrivals map[string]int
	// current is the snapshot of the gateway.
	current *control.Snapshot
	// listeners holds the listeners of the servers by id.
	listeners map[string]net.Listener
	// answer replaces the answer of a server if it returns true.
	answer func(id string, w http.ResponseWriter, r *http.Request) bool
	failed int
}

// newGatewayRig starts n plain servers and n engines.
func newGatewayRig(t *testing.T, n int) *gatewayRig {
	t.Helper()
	r := &gatewayRig{t: t, known: &knownServers{table: serverstate.New(serverstate.Config{VM: "vm"})}, arrivals: map[string]int{}, listeners: map[string]net.Listener{}}
	snap := &control.Snapshot{
		VMs: &vmlist.List{}, Backends: map[string]vmlist.VM{}, Services: map[string][]vmlist.VM{}, Engines: map[string][]vmlist.VM{},
		Routes: route.NewTable(route.TableSpec{
			Routes: []route.Route{
				{Name: "plain", Host: "h", Prefix: "/plain/", Targets: []route.Target{{Service: "desk"}}, Timeout: 4 * time.Second, MaxAttempts: 1},
				{
					Name: "order", Host: "h", Prefix: "/order/", Kind: route.AtMostOnce,
					Targets: []route.Target{{Service: "desk"}}, Timeout: 4 * time.Second, MaxAttempts: 1,
				},
				{
					Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Stream, Resumable: true,
					Targets: []route.Target{{Service: "engines"}}, Timeout: 4 * time.Second, MaxAttempts: 1,
				},
				{
					Name: "draft", Host: "h", Prefix: "/draft/", Kind: route.Stream,
					Targets: []route.Target{{Service: "engines"}}, Timeout: 4 * time.Second, MaxAttempts: 1,
				},
			},
			Services: []route.Service{{Name: "desk"}, {Name: "engines", Engine: &route.Engine{TokensPerEvent: 1, SupportsBackup: true}}},
		}),
	}
	for i := range n {
		desk, engine := r.start(fmt.Sprintf("desk-%d", i), vmlist.RoleService), r.start(fmt.Sprintf("engine-%d", i), vmlist.RoleEngine)
		snap.Services["desk"] = append(snap.Services["desk"], desk)
		pool := route.PoolName("engines", rigModel)
		snap.Engines[pool] = append(snap.Engines[pool], engine)
		snap.Backends[desk.ID], snap.Backends[engine.ID] = desk, engine
	}
	r.current = snap
	r.acquire = func(a dispatch.AdmissionRequest) (dispatch.Ticket, error) { return r.grantFirst(a) }
	codec := platform.HeaderCodec{}
	client := backend.NewHTTPClient(codec.ResponseID)
	t.Cleanup(client.Close)
	r.Gateway = New(Options{
		VM: "vm", Bounds: func() *config.Bounds {
			return &config.Bounds{RetryRatio: 0.2, RetrySlack: 10, RetryWindow: time.Second}
		},
		Snapshot: r.currentSnapshot, Admission: r, HTTPClient: client, Quarantine: allPrompts{},
		Breaker: backend.NewBreaker(), Servers: r.known, Permits: noLimits{}, Origins: newOrigins(t), Engines: platform.EngineClient{HTTPClient: client}, Edge: codec,
		Log: zap.NewNop(), Metrics: NewMetrics(metrics.NewRegistry()),
	})
	return r
}

func (r *gatewayRig) currentSnapshot() *control.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current
}

// crash makes a server refuse connections from now on.
func (r *gatewayRig) crash(id string) { _ = r.listeners[id].Close() }

// setState changes the state of a server in the list.
func (r *gatewayRig) setState(id string, state vmlist.State) {
	r.changeEntry(id, func(vm *vmlist.VM) { vm.State = state })
}

// changeEntry adopts a list with a changed entry of a server.
func (r *gatewayRig) changeEntry(id string, change func(*vmlist.VM)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	snap := *r.current
	snap.Backends = maps.Clone(r.current.Backends)
	vm := snap.Backends[id]
	change(&vm)
	snap.Backends[id] = vm
	r.current = &snap
}

// rigRequest returns a request whose caller waits for limit, and names no limit if that is 0.
func rigRequest(path, id string, limit time.Duration) *http.Request {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("x"))
	request.Host = "h"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Model", rigModel)
	if limit > 0 {
		request.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	}
	return request
}

// serveRequest handles a request, also one whose connection the gateway closes before the end of the answer.
func (r *gatewayRig) serveRequest(w http.ResponseWriter, request *http.Request) {
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
	}()
	r.ServeHTTP(w, request)
}

// listOnly removes all servers but one from the list.
func (r *gatewayRig) listOnly(id string) {
	snap := *r.Snapshot()
	only := func(lists map[string][]vmlist.VM) map[string][]vmlist.VM {
		out := map[string][]vmlist.VM{}
		for name, vms := range lists {
			out[name] = slices.DeleteFunc(slices.Clone(vms), func(vm vmlist.VM) bool { return vm.ID != id })
		}
		return out
	}
	snap.Services, snap.Engines = only(snap.Services), only(snap.Engines)
	snap.Backends = map[string]vmlist.VM{id: snap.Backends[id]}
	r.setSnapshot(&snap)
}

// setTimeLimit sets the time limit of the route of a path. It must be called before the first request.
func (r *gatewayRig) setTimeLimit(path string, limit time.Duration) {
	r.t.Helper()
	matched, ok := r.Snapshot().Routes.Match("h", path)
	if !ok {
		r.t.Fatalf("no route for %s", path)
	}
	matched.Timeout = limit
}

// start starts a server that answers with a success.
func (r *gatewayRig) start(id string, role vmlist.Role) vmlist.VM {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.mu.Lock()
		r.arrivals[id]++
		answer := r.answer
		r.mu.Unlock()
		w.Header().Set("Request-Id", request.Header.Get("Request-Id"))
		if answer != nil && answer(id, w, request) {
			return
		}
		w.Header().Set("Response-Signature", "s")
		body := id
		if role == vmlist.RoleEngine {
			body = "id: 1\ndata: " + id + "\n\n"
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write([]byte(body))
	}))
	r.t.Cleanup(s.Close)
	r.listeners[id] = s.Listener
	vm := vmlist.VM{ID: id, Role: role, State: vmlist.StateLive, Address: strings.TrimPrefix(s.URL, "http://"), Incarnation: 1, Slots: 8, SoftwareVersion: "v1"}
	if role == vmlist.RoleEngine {
		vm.Services = []string{"engines"}
	}
	r.servers = append(r.servers, vm)
	return vm
}

// grantFirst grants the first engine that is neither excluded nor paused nor to be avoided
// for lack of a permit.
func (r *gatewayRig) grantFirst(a dispatch.AdmissionRequest) (dispatch.Ticket, error) {
	var first time.Duration
	for _, vm := range r.Snapshot().Engines[a.Model] {
		excluded := false
		for _, id := range a.Excluded {
			excluded = excluded || id == vm.ID
		}
		if excluded {
			continue
		}
		err := r.known.table.Check(boottime.Now(), tracker.ServerOf(vm))
		if paused, ok := err.(*serverstate.PausedError); ok {
			first = paused.Until
			continue
		}
		if limited, ok := r.Permits.Check(vm).(*permit.LimitedError); ok {
			first = limited.Until
			continue
		}
		return rigTicket{vm, r.recordFailure}, nil
	}
	if first > 0 {
		return nil, &dispatch.PausedError{Model: a.Model, ResumeAt: first}
	}
	return nil, &dispatch.NoBackendError{Model: a.Model}
}

// failures returns the number of failures of engines that were reported.
func (r *gatewayRig) failures() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

func (r *gatewayRig) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed++
}

var rigRequests atomic.Int64

// send sends a request to the gateway.
func (r *gatewayRig) send(path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r.ServeHTTP(w, rigRequest(path, "request-"+strconv.FormatInt(rigRequests.Add(1), 10), 0))
	return w
}

// sendWhileRunning sends a request, and again until a limit as long as the VM refuses it after the
// process stood still: a dial ends after 300 ms on the clock.
func (r *gatewayRig) sendWhileRunning(path string, limit time.Time) *httptest.ResponseRecorder {
	// minStall is the shortest stall after which the request is sent again.
	const minStall = 250 * time.Millisecond
	meter := stillness.Start()
	defer meter.Stop()
	for {
		begin := time.Now()
		w := r.send(path)
		now := time.Now()
		if w.Code != http.StatusServiceUnavailable || meter.Between(begin, now) < minStall || now.After(limit) {
			return w
		}
	}
}

// announceWhenChosen makes each plain server but the last announce something between its
// choice and the send. Servers are chosen in the order of the list.
func (r *gatewayRig) announceWhenChosen(announce func(vmlist.VM)) {
	servers := r.Snapshot().Services["desk"]
	index := map[string]int{}
	for i, vm := range servers {
		index[vm.ID] = i
		r.services.report(vm, &edge.Load{Running: i})
	}
	last := len(servers)
	var mu sync.Mutex // Calls to engines are checked beside requests.
	r.known.afterCheck = func(vm vmlist.VM) {
		mu.Lock()
		defer mu.Unlock()
		i := index[vm.ID]
		if isFirst := i <= last; isFirst && i < len(servers)-1 {
			announce(vm)
		}
		last = i
	}
}

const (
	plainPath = "/plain/1"
	// orderPath is that of requests that must not be repeated.
	orderPath  = "/order/1"
	streamPath = "/stream/1"
	// draftPath is that of streams that get a backup.
	draftPath = "/draft/1"
	rigModel  = "m"
)
