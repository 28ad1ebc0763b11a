package localcluster_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/internal/localcluster"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// noKnownGeneration answers starts with a handler and knows no generation
// afterwards, as an engine does that crashed and came back.
func noKnownGeneration(start http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		start(w, r)
	}
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

// cutStream starts a stream and breaks it before the first token.
func cutStream(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	resetConnection(w)
}

// TestEngineOutcome guards against the outcome not_run after an attempt that
// may have started a generation, whatever the last attempt ended with.
func TestEngineOutcome(t *testing.T) {
	lost := noKnownGeneration(func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) })
	cases := map[string]struct {
		engines []http.HandlerFunc
		want    api.Outcome
	}{
		"no answer, then nothing left":     {[]http.HandlerFunc{lost}, api.OutcomeUnknown},
		"no answer, then unreachable":      {[]http.HandlerFunc{lost, nil}, api.OutcomeUnknown},
		"no answer, then refused":          {[]http.HandlerFunc{lost, status(503)}, api.OutcomeUnknown},
		"stream cut, then refused":         {[]http.HandlerFunc{noKnownGeneration(cutStream), status(429)}, api.OutcomeUnknown},
		"status 500":                       {[]http.HandlerFunc{status(500)}, api.OutcomeUnknown},
		"status 502, then refused":         {[]http.HandlerFunc{status(502), status(503)}, api.OutcomeUnknown},
		"status 504":                       {[]http.HandlerFunc{status(504)}, api.OutcomeUnknown},
		"status 408":                       {[]http.HandlerFunc{status(408)}, api.OutcomeUnknown},
		"status 202":                       {[]http.HandlerFunc{status(202)}, api.OutcomeUnknown},
		"status 503 proves no start":       {[]http.HandlerFunc{status(503)}, api.OutcomeNotRun},
		"status 429, then status 400":      {[]http.HandlerFunc{status(429), status(400)}, api.OutcomeNotRun},
		"all unreachable":                  {[]http.HandlerFunc{nil, nil}, api.OutcomeNotRun},
		"no engine":                        {nil, api.OutcomeNotRun},
		"refused, then stream cut":         {[]http.HandlerFunc{status(503), noKnownGeneration(cutStream)}, api.OutcomeUnknown},
		"unreachable, then without answer": {[]http.HandlerFunc{nil, lost}, api.OutcomeUnknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c, ctx := startCluster(t, localcluster.Options{VMs: 1})
			for i, h := range tc.engines {
				addBackend(t, c, vmlist.RoleEngine, fmt.Sprintf("engine-%d", i), h)
			}
			_, err := c.Client(localcluster.APIKey).Complete(ctx, prompt(4))
			if p := problemOf(t, err); p.Outcome != tc.want {
				t.Fatalf("got %s with outcome %s, want %s", p.Kind(), p.Outcome, tc.want)
			}
		})
	}
}

// TestServiceOutcome guards against the outcome not_run of a repeatable call
// when an earlier backend server may have run it, and of a call whose backend
// server ran it and closed the connection.
func TestServiceOutcome(t *testing.T) {
	c, ctx := startCluster(t, localcluster.Options{VMs: 1, Configure: func(cfg *config.Config) {
		shortTimeouts(cfg)
		cfg.Limits.RetryRatio = 1 // Each call may try both backend servers.
	}})
	var runs atomic.Int64
	addBackend(t, c, vmlist.RoleService, "runs-and-closes", func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		resetConnection(w)
	})
	addBackend(t, c, vmlist.RoleService, "unreachable", nil)
	for range 4 { // The rotation starts with each of the two in turn.
		before := runs.Load()
		_, err := c.Client(localcluster.APIKey).Call(ctx, localcluster.LookupRoute, "", []byte("{}"))
		p := problemOf(t, err)
		if ran := runs.Load() > before; ran != (p.Outcome == api.OutcomeUnknown) {
			t.Errorf("the call ran: %t, got %s with outcome %s", ran, p.Kind(), p.Outcome)
		}
	}
}
