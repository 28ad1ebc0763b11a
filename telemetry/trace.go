package telemetry

import (
	"context"
	"net/http"
	"os"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// TracerName is the name of the instrumentation scope of all spans.
const TracerName = "github.com/vanillaarch/vanillaarch"

// traceStdout is the file name that selects standard output.
const traceStdout = "stdout"

var propagator = propagation.TraceContext{}

// Tracing owns the tracer provider and the trace file of a process.
type Tracing struct {
	provider *sdktrace.TracerProvider
	file     *os.File
}

// NewTracing exports sampled spans as JSON lines to file ("stdout" for standard
// output, empty for none) and passes them to the extra processors. ratio is the
// fraction of root spans that are sampled.
func NewTracing(file string, ratio float64, extra ...sdktrace.SpanProcessor) (*Tracing, error) {
	t := &Tracing{}
	opts := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
	}
	if file != "" {
		out := os.Stdout
		if file != traceStdout {
			f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
			if err != nil {
				return nil, errors.Wrap(err, "open trace file")
			}
			t.file, out = f, f
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
		if err != nil {
			return nil, errors.Wrap(err, "create trace exporter")
		}
		opts = append(opts, sdktrace.WithBatcher(exporter))
	}
	for _, p := range extra {
		opts = append(opts, sdktrace.WithSpanProcessor(p))
	}
	t.provider = sdktrace.NewTracerProvider(opts...)
	return t, nil
}

// Tracer returns the tracer of the process.
func (t *Tracing) Tracer() trace.Tracer { return t.provider.Tracer(TracerName) }

// Close flushes pending spans and closes the trace file.
func (t *Tracing) Close(ctx context.Context) error {
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		err = errors.Join(err, t.file.Close())
	}
	return err
}

// Extract returns ctx with the remote span context of the traceparent header.
func Extract(ctx context.Context, h http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject sets the traceparent header to the span context of ctx.
func Inject(ctx context.Context, h http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// TraceID returns the trace ID of the span in ctx, or an empty string.
func TraceID(ctx context.Context) string {
	sc := trace.SpanContextFromContext(ctx)
	if !sc.HasTraceID() {
		return ""
	}
	return sc.TraceID().String()
}

// Attribute keys of spans.
const (
	AttrVM           = attribute.Key("vm")
	AttrOrganisation = attribute.Key("organisation")
	AttrBackend      = attribute.Key("backend")
	AttrGeneration   = attribute.Key("generation")
	AttrOffset       = attribute.Key("offset")
	AttrTokens       = attribute.Key("tokens")
	AttrOutcome      = attribute.Key("outcome")
)
