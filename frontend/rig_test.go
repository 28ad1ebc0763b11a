package frontend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/serverstate/tracker"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// rig is a frontend in front of backend servers on loopback.
type rig struct {
	*Frontend
	t       *testing.T
	handler *echo.Echo
	table   *serverstate.Table
	// afterCheck is called after a server was found usable.
	afterCheck func(vmlist.VM)

	mu       sync.Mutex
	arrivals map[string][]string
	// generation is that of the latest request to an engine.
	generation string
	// answer replaces the answer of a server if it returns true.
	answer func(id string, w http.ResponseWriter) bool
}

const rigModel = "m"

// newRig starts n engines and n plain servers.
func newRig(t *testing.T, n int) *rig {
	t.Helper()
	r := &rig{t: t, table: serverstate.New(serverstate.Config{VM: "vm"}), arrivals: map[string][]string{}}
	signed, err := bundle.Sign(&bundle.Document{
		Version: 1, Models: []bundle.Model{{Name: rigModel, Version: "1"}},
		Routes: []bundle.Route{
			{Name: "look", Service: "desk", Path: "/"},
			{Name: "book", Service: "desk", Path: "/", NonRepeatable: true},
		},
		Tenants: []bundle.Tenant{{Name: "t", Share: 1, Organisations: []bundle.Organisation{
			{Name: "o", APIKeySHA256: []string{bundle.APIKeyDigest("key")}},
		}}},
	}, nil)
	if err != nil {
		t.Fatal(err)
	}
	index, err := signed.Open(nil)
	if err != nil {
		t.Fatal(err)
	}
	snap := &control.Snapshot{
		Bundle: index, Backends: map[string]vmlist.VM{}, Services: map[string][]vmlist.VM{}, Engines: map[string][]vmlist.VM{},
	}
	for i := range n {
		engine, desk := r.start(fmt.Sprintf("engine-%d", i)), r.start(fmt.Sprintf("desk-%d", i))
		snap.Engines[rigModel] = append(snap.Engines[rigModel], engine)
		snap.Services["desk"] = append(snap.Services["desk"], desk)
		snap.Backends[engine.ID], snap.Backends[desk.ID] = engine, desk
	}
	cfg := &config.Config{}
	cfg.ApplyDefaults()
	engines, services := backend.NewEngineClient(), backend.NewServiceClient(1<<20)
	t.Cleanup(engines.Close)
	engines.ObserveNotices(r.observe)
	services.ObserveNotices(r.observe)
	r.Frontend = New(Options{
		Config: cfg, Snapshot: func() *control.Snapshot { return snap }, Admission: r, Engines: engines, Services: services,
		Quarantine: allPrompts{}, Servers: r, Log: zap.NewNop(), Tracer: noop.NewTracerProvider().Tracer(""), Metrics: metrics.NewRegistry(),
	})
	r.handler = echo.New()
	r.Register(r.handler)
	return r
}

func (r *rig) start(id string) vmlist.VM {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body) // Else a large body may be cut by the answer.
		generation := request.Header.Get(api.HeaderGenerationID)
		if request.Method == http.MethodGet {
			generation = strings.TrimPrefix(request.URL.Path, "/v1/generations/")
		}
		r.mu.Lock()
		r.arrivals[id] = append(r.arrivals[id], request.Method)
		r.generation = generation
		answer := r.answer
		r.mu.Unlock()
		if answer != nil && answer(id, w) {
			return
		}
		if strings.HasPrefix(id, "desk") {
			_, _ = w.Write([]byte(id))
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(w, "id: %s:1\ndata: {\"choices\":[{\"text\":%q}]}\n\ndata: %s\n\n", generation, id, api.DoneMarker)
	}))
	r.t.Cleanup(s.Close)
	return vmlist.VM{ID: id, State: vmlist.StateLive, Address: strings.TrimPrefix(s.URL, "http://"), Incarnation: 1}
}

func (r *rig) observe(t backend.Target, n backend.ServerNotice) {
	pause, _ := serverstate.ParsePause(n.RetryAfter, r.table.MaxPause())
	r.table.Observe(boottime.Now(), serverstate.Server{ID: t.ID, Incarnation: t.Incarnation},
		serverstate.Observation{Leaving: n.Leaving, Pause: pause})
}

// Table implements Servers.
func (r *rig) Table() *serverstate.Table { return r.table }

// Check implements Servers.
func (r *rig) Check(vm vmlist.VM) error {
	err := r.table.Check(boottime.Now(), tracker.ServerOf(vm))
	if err == nil && r.afterCheck != nil {
		r.afterCheck(vm)
	}
	return err
}

// Acquire implements dispatch.Admission. It grants the first engine that is neither
// excluded nor paused.
func (r *rig) Acquire(_ context.Context, a dispatch.AdmissionRequest) (dispatch.Ticket, error) {
	var first time.Duration
	for _, vm := range r.Snapshot().Engines[a.Model] {
		if slices.Contains(a.Excluded, vm.ID) {
			continue
		}
		if paused, ok := r.table.Check(boottime.Now(), tracker.ServerOf(vm)).(*serverstate.PausedError); ok {
			first = paused.Until
			continue
		}
		return rigTicket{backend.TargetOf(vm)}, nil
	}
	if first > 0 {
		return nil, &dispatch.PausedError{Model: a.Model, ResumeAt: first}
	}
	return nil, &dispatch.NoBackendError{Model: a.Model}
}

type rigTicket struct{ target backend.Target }

func (t rigTicket) Backend() backend.Target { return t.target }
func (t rigTicket) Priority() int           { return 0 }
func (t rigTicket) Progress(int)            {}
func (t rigTicket) Preempted()              {}
func (t rigTicket) Failed()                 {}
func (t rigTicket) Release(int)             {}

// allPrompts allows every prompt.
type allPrompts struct{}

func (allPrompts) Check(*quarantine.Request) error                         { return nil }
func (allPrompts) MayRepeat(*quarantine.Request) bool                      { return true }
func (allPrompts) RunFailed(*quarantine.Request, vmlist.VM, time.Duration) {}
func (allPrompts) RunSucceeded(*quarantine.Request)                        {}
func (allPrompts) Watch(*quarantine.Request, func(error)) func()           { return func() {} }

func (r *rig) pause(vm vmlist.VM, d time.Duration) {
	r.table.Observe(boottime.Now(), tracker.ServerOf(vm), serverstate.Observation{Pause: serverstate.Pause{Delay: d}})
}

func (r *rig) leave(vm vmlist.VM) {
	r.table.Observe(boottime.Now(), tracker.ServerOf(vm), serverstate.Observation{Leaving: true})
}

// calls returns the methods of the requests that reached a server.
func (r *rig) calls(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.arrivals[id])
}

func (r *rig) send(method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer key")
	w := httptest.NewRecorder()
	r.handler.ServeHTTP(w, request)
	return w
}

func (r *rig) complete() *httptest.ResponseRecorder {
	return r.send(http.MethodPost, "/v1/completions", `{"model":"m","prompt":"x"}`)
}

// retryAfter returns the Retry-After of an answer in seconds, -1 if it has none.
func retryAfter(w *httptest.ResponseRecorder) int {
	seconds, err := strconv.Atoi(w.Header().Get("Retry-After"))
	if err != nil {
		return -1
	}
	return seconds
}

// resume asks for the rest of a generation of an engine.
func (r *rig) resume(engine string) *httptest.ResponseRecorder {
	return r.send(http.MethodGet, "/v1/generations/"+api.NewGenerationID(engine, "o").String(), "")
}

// call calls the plain service.
func (r *rig) call() *httptest.ResponseRecorder {
	return r.send(http.MethodPost, "/v1/services/look", "{}")
}
