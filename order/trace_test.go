package order_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/vanillaarch/vanillaarch/order"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// roundTripperFunc adapts a function to http.RoundTripper.
type roundTripperFunc func(*http.Request) (*http.Response, error)

func (f roundTripperFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// TestTraceOfOrder guards against an order sent without the trace context of its
// operator, so that the backend server cannot attribute it.
func TestTraceOfOrder(t *testing.T) {
	tracing, err := telemetry.NewTracing("", 1)
	if err != nil {
		t.Fatal(err)
	}
	ctx, span := tracing.Tracer().Start(t.Context(), "order.send")
	defer span.End()
	backend := &fakeBackend{Service: newService(true)}
	var parent string
	o := order.New(newStore(), order.Options{Transport: roundTripperFunc(func(r *http.Request) (*http.Response, error) {
		parent = r.Header.Get("Traceparent")
		return backend.RoundTrip(r)
	})})
	if err := acquire(t, o, true).Send(ctx, roleOrder("a")); err != nil {
		t.Fatal(err)
	}
	if id := telemetry.TraceID(ctx); id == "" || !strings.Contains(parent, id) {
		t.Errorf("got traceparent %q, want trace %s", parent, id)
	}
}
