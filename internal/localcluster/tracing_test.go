package localcluster_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
	"github.com/vanillaarch/vanillaarch/internal/standin"
	"github.com/vanillaarch/vanillaarch/internal/testlog"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// callerSpan is the caller's span ID in the traceparent header.
const callerSpan = "00f067aa0ba902b7"

// headerRecorder is a backend server that records the traceparent headers it receives.
type headerRecorder struct {
	http.Handler
	mu      sync.Mutex
	parents []string
	// cancelled holds the headers of cancellations (DELETE).
	cancelled []string
}

func (b *headerRecorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	switch parent := r.Header.Get("Traceparent"); {
	case r.Method == http.MethodDelete:
		b.cancelled = append(b.cancelled, parent)
	case r.URL.Path == "/load" || r.URL.Path == "/cache-events":
		// The dispatcher polls engines every 200 ms, for no request.
	default:
		b.parents = append(b.parents, parent)
	}
	b.mu.Unlock()
	b.Handler.ServeHTTP(w, r)
}

// drainParents returns and resets the headers recorded since the last call.
func (b *headerRecorder) drainParents() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	parents := b.parents
	b.parents = nil
	return parents
}

// sendTraced sends a request under a trace ID and returns the body of the response.
func sendTraced(ctx context.Context, t *testing.T, traceID, method, url, body string) string {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Traceparent", "00-"+traceID+"-"+callerSpan+"-01")
	r.Header.Set("Authorization", "Bearer "+localcluster.APIKey)
	r.Header.Set(api.HeaderIdempotencyKey, newKey(t))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	content, _ := io.ReadAll(resp.Body)
	return string(content)
}

// TestTraceContext guards against a component that starts a new trace, a backend
// server that does not receive the span that called it, and log lines and problem
// documents without the trace ID.
func TestTraceContext(t *testing.T) {
	var logs testlog.Buffer
	spans := tracetest.NewInMemoryExporter()
	c, ctx := startCluster(t, localcluster.Options{VMs: 1, Logs: &logs, SpanProcessors: []sdktrace.SpanProcessor{sdktrace.NewSimpleSpanProcessor(spans)}})
	engine := &headerRecorder{Handler: standin.NewEngine(standin.EngineOptions{ID: "engine", TokenInterval: time.Millisecond})}
	service := &headerRecorder{Handler: standin.NewService()}
	addBackend(t, c, vmlist.RoleEngine, "engine", engine.ServeHTTP)
	addBackend(t, c, vmlist.RoleService, "service", service.ServeHTTP)
	var lastEvent string
	cases := []struct {
		name, method, path, body string
		backend                  *headerRecorder
		spans                    []string
		problem                  bool
	}{
		{"completion", http.MethodPost, "/v1/completions", `{"model":"quotes","prompt":"[tokens=3]","stream":true}`, engine, []string{"frontend.completion", "dispatch.acquire"}, false},
		{"resume", http.MethodGet, "/v1/generations/", "", engine, []string{"frontend.resume"}, false},
		{"lookup", http.MethodPost, "/v1/services/" + localcluster.LookupRoute, "{}", service, []string{"frontend.service", "service.call"}, false},
		{"booking", http.MethodPost, "/v1/services/" + localcluster.BookingRoute, "{}", service, []string{"frontend.service", "claim.begin", "service.call", "claim.complete"}, false},
		{"refusal", http.MethodPost, "/v1/completions", `{"model":"none","prompt":"x"}`, nil, []string{"frontend.completion"}, true},
	}
	for i, tc := range cases {
		id := strings.Repeat("0", 31) + string(rune('1'+i))
		spans.Reset()
		path := tc.path
		if tc.name == "resume" {
			path += strings.TrimSuffix(lastEvent, ":1")
		}
		body := sendTraced(ctx, t, id, tc.method, c.VMs[0].URL()+path, tc.body)
		if _, rest, ok := strings.Cut(body, "id: "); ok && lastEvent == "" {
			lastEvent, _, _ = strings.Cut(rest, "\n")
		}
		if tc.problem != strings.Contains(body, `"trace_id":"`+id+`"`) {
			t.Errorf("%s: got %s", tc.name, body)
		}
		// The span of a request may end after its response was received.
		eventually(t, tc.name+" is logged", func() bool { return strings.Contains(logs.String(), "trace="+id) })
		eventually(t, tc.name+" has its spans", func() bool { return hasSpans(spans.GetSpans(), id, tc.spans) })
		var parents []string
		if tc.backend != nil {
			if parents = tc.backend.drainParents(); len(parents) == 0 {
				t.Errorf("%s: the backend server received no request", tc.name)
			}
		}
		checkSpans(t, tc.name, id, spans.GetSpans(), parents)
	}
	const abandonedTrace = "4bf92f3577b34da6a3ce929d0e0e4736"
	abandonRequest(ctx, t, c.VMs[0].URL(), abandonedTrace)
	eventually(t, "the cancellation is traced", func() bool {
		engine.mu.Lock()
		defer engine.mu.Unlock()
		return len(engine.cancelled) > 0 && strings.Contains(engine.cancelled[0], abandonedTrace)
	})
}

// abandonRequest requests a long answer that is not streamed and disconnects
// before it is complete. Such a request cannot be resumed and is cancelled.
func abandonRequest(ctx context.Context, t *testing.T, url, id string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions",
		strings.NewReader(`{"model":"quotes","prompt":"[tokens=100000]"}`))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Traceparent", "00-"+id+"-"+callerSpan+"-01")
	r.Header.Set("Authorization", "Bearer "+localcluster.APIKey)
	if resp, err := http.DefaultClient.Do(r); err == nil {
		_ = resp.Body.Close()
		t.Error("the long answer was completed before the disconnect")
	}
}

func hasSpans(spans tracetest.SpanStubs, id string, names []string) bool {
	seen := map[string]bool{}
	for _, s := range spans {
		seen[s.Name] = seen[s.Name] || s.SpanContext.TraceID().String() == id
	}
	for _, name := range names {
		if !seen[name] {
			return false
		}
	}
	return true
}

// checkSpans checks that every span is in the caller's trace and has a known
// parent, and that the headers sent to the backend server name one of the spans.
func checkSpans(t *testing.T, name, id string, spans tracetest.SpanStubs, parents []string) {
	t.Helper()
	known := map[string]bool{callerSpan: true}
	for _, s := range spans {
		known[s.SpanContext.SpanID().String()] = true
	}
	for _, s := range spans {
		if got := s.SpanContext.TraceID().String(); got != id || !known[s.Parent.SpanID().String()] {
			t.Errorf("%s: span %s is in trace %s below %s", name, s.Name, got, s.Parent.SpanID())
		}
	}
	for _, p := range parents {
		fields := strings.Split(p, "-")
		if len(fields) != 4 || fields[1] != id || fields[2] == callerSpan || !known[fields[2]] {
			t.Errorf("%s: the backend server received traceparent %q", name, p)
		}
	}
}
