package frontend

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/control"
)

// TestUnknownOrganisations guards against unbounded memory: requests without a valid
// key must add no metric and no entry to the retry budget, whatever organisation
// they name.
func TestUnknownOrganisations(t *testing.T) {
	doc := &bundle.Document{Version: 1, Tenants: []bundle.Tenant{{Name: "t", Share: 1, Organisations: []bundle.Organisation{
		{Name: "known", APIKeySHA256: []string{bundle.APIKeyDigest("key")}},
	}}}, Models: []bundle.Model{{Name: "m", Version: "1"}}}
	signed, err := bundle.Sign(doc, nil)
	if err != nil {
		t.Fatal(err)
	}
	index, err := signed.Open(nil)
	if err != nil {
		t.Fatal(err)
	}
	cfg := &config.Config{}
	cfg.ApplyDefaults()
	registry := metrics.NewRegistry()
	snapshot := &control.Snapshot{Bundle: index}
	f := New(Options{
		Config: cfg, Snapshot: func() *control.Snapshot { return snapshot },
		Log: zap.NewNop(), Tracer: noop.NewTracerProvider().Tracer(""), Metrics: registry,
	})
	e := echo.New()
	f.Register(e)
	before := len(registry.GetAll())
	for i := range 100 {
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"m","prompt":"x"}`))
		r.Header.Set("Authorization", "Bearer unknown-"+strconv.Itoa(i))
		r.Header.Set("X-Organisation", "invented-"+strconv.Itoa(i))
		w := httptest.NewRecorder()
		e.ServeHTTP(w, r)
		if w.Code != http.StatusUnauthorized {
			t.Fatalf("got status %d", w.Code)
		}
	}
	if n := f.budget.Organisations(); n != 0 {
		t.Errorf("the retry budget holds %d organisations", n)
	}
	if after := len(registry.GetAll()); after != before {
		t.Errorf("%d metrics were added", after-before)
	}
}
