// Package tracing sets up spans, one for each hop, and carries them in W3C
// traceparent headers.
package tracing

import (
	"context"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const header = "traceparent"

// Tracer makes spans. Get one from New or Off.
type Tracer struct {
	tracer trace.Tracer
	stop   func(context.Context) error
}

// Off returns a tracer that passes incoming trace contexts on and records none.
func Off() *Tracer {
	return &Tracer{
		tracer: noop.NewTracerProvider().Tracer("dalebend"),
		stop:   func(context.Context) error { return nil },
	}
}

// New returns a tracer for an exporter: "none", "stdout", or "otlp", which takes
// its endpoint from the standard OTEL_EXPORTER_OTLP_ENDPOINT variable. Ratio is
// the share of traces that begin here and are sampled, 0 to 1.
func New(ctx context.Context, exporter string, ratio float64) (*Tracer, error) {
	var exp sdktrace.SpanExporter
	var err error
	switch exporter {
	case "none":
		return Off(), nil
	case "stdout":
		exp, err = stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
	case "otlp":
		exp, err = otlptracehttp.New(ctx)
	default:
		return nil, fmt.Errorf("trace exporter %q is none of none, stdout, otlp", exporter)
	}
	if err != nil {
		return nil, fmt.Errorf("open trace exporter %s: %w", exporter, err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exp),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
	)
	return &Tracer{tracer: provider.Tracer("dalebend"), stop: provider.Shutdown}, nil
}

// Extract takes a caller's traceparent header into the context.
func (t *Tracer) Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{header: traceparent})
}

// Inject returns the traceparent header for the next hop, or nothing.
func (t *Tracer) Inject(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier.Get(header)
}

// Start begins the span of one hop.
func (t *Tracer) Start(ctx context.Context, name string) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name)
}

// Stop sends what is buffered.
func (t *Tracer) Stop(ctx context.Context) error { return t.stop(ctx) }
