package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/ratelimit"
	"github.com/vanillaarch/vanillaarch/ratelimit/permit"
	"github.com/vanillaarch/vanillaarch/serverstate/tracker"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// withPermits gives the rig a permit manager of a VM without peers.
func (r *gatewayRig) withPermits() *permit.Manager {
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	loop := control.NewLoop(zap.NewNop(), time.Now)
	m := permit.New(permit.Options{
		VM: "vm", Loop: loop, Peers: func() []string { return nil }, Metrics: metrics.NewRegistry(), Log: zap.NewNop(),
	})
	go loop.Run(ctx)
	go m.Run(ctx)
	r.Permits = m
	return m
}

// nameLimit makes the VM learn the limit of a server, and the server name it in its answers.
func (r *gatewayRig) nameLimit(m *permit.Manager, limit string, servers ...vmlist.VM) {
	ids := map[string]bool{}
	for _, vm := range servers {
		ids[vm.ID] = true
		m.Observe(permit.Answer{
			Server: tracker.ServerOf(vm), SentAt: boottime.Now(), Notice: backend.ServerNotice{Limit: []string{limit}, FromServer: true},
		})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer = func(id string, w http.ResponseWriter, _ *http.Request) bool {
		if ids[id] {
			w.Header().Set("Server-Limit", limit)
		}
		return false
	}
}

func (r *gatewayRig) arrivalsAt(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivals[id]
}

// Guards against requests that are refused, or sent without a permit, while another server
// of the service is free.
func TestServersWithoutALimitTakeWhatALimitedOneDoesNot(t *testing.T) {
	r := newGatewayRig(t, 2)
	m := r.withPermits()
	limited := r.Snapshot().Services["desk"][0]
	r.nameLimit(m, "0.1", limited)
	const requests = 20
	for range requests {
		if w := r.send(plainPath); w.Code != http.StatusOK {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
	}
	if n := r.arrivalsAt(limited.ID); n > 1 {
		t.Errorf("the limited server got %d requests, 1 allowed", n)
	}
}

// Guards against requests that wait, or are sent, although the limits of all servers leave
// no room, and against refusals that do not say when to come back.
func TestRequestsAreRefusedIfAllServersAreLimited(t *testing.T) {
	for _, path := range []string{plainPath, streamPath} {
		r := newGatewayRig(t, 1)
		m := r.withPermits()
		r.nameLimit(m, "0.1", r.servers...)
		begin := time.Now()
		w := r.send(path)
		if w.Code != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d", path, w.Code)
		}
		if seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64); err != nil || seconds <= 0 {
			t.Errorf("%s: Retry-After %q", path, w.Header().Get("Retry-After"))
		}
		if d := time.Since(begin); d > time.Second {
			t.Errorf("%s: refused after %v", path, d)
		}
		if n := r.arrivalsAt("desk-0") + r.arrivalsAt("engine-0"); n > 0 {
			t.Errorf("%s: %d requests were sent", path, n)
		}
	}
}

// Guards against a request that is sent without a permit since its server named the limit
// after it was chosen.
func TestLimitThatBeginsAfterTheChoice(t *testing.T) {
	r := newGatewayRig(t, 2)
	m := r.withPermits()
	r.announceWhenChosen(func(vm vmlist.VM) { r.nameLimit(m, "0.1", vm) })
	if w := r.send(plainPath); w.Code != http.StatusOK {
		t.Fatalf("status %d", w.Code)
	}
	first := r.Snapshot().Services["desk"][0].ID
	if n := r.arrivalsAt(first); n > 0 {
		t.Errorf("%s got %d requests without a permit", first, n)
	}
}

// Guards against a request that can wait for a permit and is refused.
func TestRequestWaitsForAPermit(t *testing.T) {
	r := newGatewayRig(t, 1)
	m := r.withPermits()
	r.nameLimit(m, "2", r.Snapshot().Services["desk"][0])
	served := 0
	for range 3 {
		if w := r.send(plainPath); w.Code == http.StatusOK {
			served++
		}
	}
	if served != 3 {
		t.Errorf("%d of 3 requests were served", served)
	}
}

// slowDenials denies every permit after a delay, as the VM that grants them does on a starved
// machine. Servers that were denied are to be avoided from then on.
type slowDenials struct {
	noLimits
	delay time.Duration

	mu               sync.Mutex
	limited, avoided map[string]bool
	questions        []permit.Request
}

func (d *slowDenials) Limited(vm vmlist.VM) bool { return d.limited[vm.ID] }

func (d *slowDenials) Check(vm vmlist.VM) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.avoided[vm.ID] {
		return &permit.LimitedError{Server: tracker.ServerOf(vm)}
	}
	return nil
}

func (d *slowDenials) Acquire(ctx context.Context, r permit.Request) (permit.Permit, error) {
	select {
	case <-time.After(d.delay):
	case <-ctx.Done():
		return permit.Permit{}, context.Cause(ctx)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.questions = append(d.questions, r)
	for _, vm := range r.Servers {
		d.avoided[vm.ID] = true
	}
	return permit.Permit{}, &permit.DeniedError{Reason: ratelimit.ReasonNoPermit, RetryAfter: 5 * time.Second}
}

// withSlowDenials makes the first n plain servers limited ones without permits.
func (r *gatewayRig) withSlowDenials(n int) *slowDenials {
	d := &slowDenials{delay: 100 * time.Millisecond, limited: map[string]bool{}, avoided: map[string]bool{}}
	for _, vm := range r.Snapshot().Services["desk"][:n] {
		d.limited[vm.ID] = true
	}
	r.Permits = d
	return d
}

// Guards against a refusal that takes the sum of several questions: a request asked for a
// permit at one server after the other, up to 170 to 260 ms each, before it was refused.
func TestRefusalTakesOneQuestion(t *testing.T) {
	r := newGatewayRig(t, 3)
	d := r.withSlowDenials(3)
	begin := time.Now()
	w := r.send(plainPath)
	t.Logf("refused after %v, %d questions of %v", time.Since(begin), len(d.questions), d.delay)
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d", w.Code)
	}
	if len(d.questions) != 1 {
		t.Fatalf("%d questions before the refusal, 1 wanted", len(d.questions))
	}
	if q := d.questions[0]; len(q.Servers) != 3 || q.MaxWait <= 0 {
		t.Errorf("asked for %d of 3 servers, with a wait of %v", len(q.Servers), q.MaxWait)
	}
}

// Guards against a request that asks at several limited servers in turn although one without
// a limit is free, and against one that waits for a limited server then.
func TestServerWithoutALimitIsUsedAfterOneQuestion(t *testing.T) {
	for range 5 { // the order of the servers is random
		r := newGatewayRig(t, 4)
		d := r.withSlowDenials(3)
		if w := r.send(plainPath); w.Code != http.StatusOK {
			t.Errorf("status %d", w.Code)
		}
		if len(d.questions) > 1 {
			t.Errorf("%d questions before the request was sent, 1 allowed", len(d.questions))
		}
		for _, q := range d.questions {
			if q.MaxWait > 0 {
				t.Errorf("waits up to %v for a limited server", q.MaxWait)
			}
		}
	}
}

// delistingPermits removes the server of the first permit from the list before the request
// path gets it.
type delistingPermits struct {
	*permit.Manager
	r        *gatewayRig
	delisted string
	returned []string
}

func (d *delistingPermits) Acquire(ctx context.Context, q permit.Request) (permit.Permit, error) {
	p, err := d.Manager.Acquire(ctx, q)
	if err == nil && d.delisted == "" {
		d.delisted = p.Server().ID
		d.r.removeServer(d.delisted)
	}
	return p, err
}

func (d *delistingPermits) Return(p permit.Permit) {
	if p.Granted() {
		d.returned = append(d.returned, p.Server().ID)
	}
	d.Manager.Return(p)
}

// Guards against a request that is refused because its server left the list while the request
// asked for a permit, and against the loss of that permit.
func TestServerIsDelistedDuringTheQuestion(t *testing.T) {
	r := newGatewayRig(t, 2)
	m := r.withPermits()
	r.nameLimit(m, "10", r.Snapshot().Services["desk"]...)
	d := &delistingPermits{Manager: m, r: r}
	r.Permits = d
	if w := r.send(plainPath); w.Code != http.StatusOK {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
	if n := r.arrivalsAt(d.delisted); n > 0 {
		t.Errorf("the delisted server got %d requests", n)
	}
	if len(d.returned) != 1 || d.returned[0] != d.delisted {
		t.Errorf("permits of %v were returned, of %s wanted", d.returned, d.delisted)
	}
}
