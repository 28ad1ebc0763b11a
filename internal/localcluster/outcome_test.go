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

// withoutGenerations handles the start of a generation with start and answers 404
// to every later request, like an engine that lost its state in a restart.
func withoutGenerations(start http.HandlerFunc) http.HandlerFunc {
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

// cutStream starts a stream and resets the connection before the first token.
func cutStream(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	resetConnection(w)
}

// TestEngineOutcome guards against the outcome not_run when any attempt may have
// started a generation, regardless of the result of the last attempt.
func TestEngineOutcome(t *testing.T) {
	noAnswer := withoutGenerations(func(w http.ResponseWriter, _ *http.Request) { resetConnection(w) })
	cases := map[string]struct {
		engines []http.HandlerFunc
		want    api.Outcome
	}{
		"no answer, then no engine left":   {[]http.HandlerFunc{noAnswer}, api.OutcomeUnknown},
		"no answer, then unreachable":      {[]http.HandlerFunc{noAnswer, nil}, api.OutcomeUnknown},
		"no answer, then refused":          {[]http.HandlerFunc{noAnswer, status(503)}, api.OutcomeUnknown},
		"stream cut, then refused":         {[]http.HandlerFunc{withoutGenerations(cutStream), status(429)}, api.OutcomeUnknown},
		"status 500":                       {[]http.HandlerFunc{status(500)}, api.OutcomeUnknown},
		"status 502, then refused":         {[]http.HandlerFunc{status(502), status(503)}, api.OutcomeUnknown},
		"status 504":                       {[]http.HandlerFunc{status(504)}, api.OutcomeUnknown},
		"status 408":                       {[]http.HandlerFunc{status(408)}, api.OutcomeUnknown},
		"status 202":                       {[]http.HandlerFunc{status(202)}, api.OutcomeUnknown},
		"status 503 proves no start":       {[]http.HandlerFunc{status(503)}, api.OutcomeNotRun},
		"status 429, then status 400":      {[]http.HandlerFunc{status(429), status(400)}, api.OutcomeNotRun},
		"all unreachable":                  {[]http.HandlerFunc{nil, nil}, api.OutcomeNotRun},
		"no engine":                        {nil, api.OutcomeNotRun},
		"refused, then stream cut":         {[]http.HandlerFunc{status(503), withoutGenerations(cutStream)}, api.OutcomeUnknown},
		"unreachable, then without answer": {[]http.HandlerFunc{nil, noAnswer}, api.OutcomeUnknown},
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

// TestServiceOutcome guards against the outcome not_run for a repeatable call that
// an earlier backend server may have run, or that a backend server ran before it
// reset the connection.
func TestServiceOutcome(t *testing.T) {
	c, ctx := startCluster(t, localcluster.Options{VMs: 1, Configure: func(cfg *config.Config) {
		shortTimeouts(cfg)
		cfg.Limits.RetryRatio = 1 // Allow each call to try both backend servers.
	}})
	var runs atomic.Int64
	addBackend(t, c, vmlist.RoleService, "runs-and-closes", func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		resetConnection(w)
	})
	addBackend(t, c, vmlist.RoleService, "unreachable", nil)
	for range 4 { // Round robin starts with each of the two in turn.
		before := runs.Load()
		_, err := c.Client(localcluster.APIKey).Call(ctx, localcluster.LookupRoute, "", []byte("{}"))
		p := problemOf(t, err)
		if ran := runs.Load() > before; ran != (p.Outcome == api.OutcomeUnknown) {
			t.Errorf("the call ran: %t, got %s with outcome %s", ran, p.Kind(), p.Outcome)
		}
	}
}
