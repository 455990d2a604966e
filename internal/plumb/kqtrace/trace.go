// Package kqtrace creates OpenTelemetry traces of calls, with a span for each hop between
// processes.
package kqtrace

import (
	"context"
	"io"
	"strings"

	"connectrpc.com/connect"
	"connectrpc.com/otelconnect"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Config configures a Tracer.
type Config struct {
	// Writer receives the spans as JSON; nil disables tracing.
	Writer io.Writer
	// Process is the name of the process, used as the name of the tracer.
	Process string
}

// Tracer creates spans and propagates them between processes. A nil Tracer does nothing.
type Tracer struct {
	provider    trace.TracerProvider
	propagator  propagation.TextMapPropagator
	tracer      trace.Tracer
	enabled     bool
	interceptor connect.Interceptor
	shutdown    func(context.Context) error
}

// New returns a Tracer. Without a writer its cost is negligible.
func New(c Config) (*Tracer, error) {
	t := &Tracer{propagator: propagation.TraceContext{}, shutdown: func(context.Context) error { return nil }}
	if c.Writer == nil {
		t.provider = noop.NewTracerProvider()
		t.tracer = t.provider.Tracer(c.Process)
		return t, nil
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(c.Writer))
	if err != nil {
		return nil, eris.Wrap(err, "trace exporter")
	}
	p := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter))
	t.provider, t.shutdown, t.enabled = p, p.Shutdown, true
	t.tracer = p.Tracer(c.Process)
	t.interceptor, err = otelconnect.NewInterceptor(otelconnect.WithTracerProvider(p),
		otelconnect.WithPropagator(t.propagator), otelconnect.WithTrustRemote(), otelconnect.WithoutMetrics(),
		otelconnect.WithFilter(carriesCall))
	if err != nil {
		return nil, eris.Wrap(err, "trace interceptor")
	}
	otel.SetTextMapPropagator(t.propagator)
	return t, nil
}

// carriesCall reports whether a request carries a call or fetches its answer. Heartbeats, probes
// and announcements have no spans.
func carriesCall(_ context.Context, s connect.Spec) bool {
	return strings.HasSuffix(s.Procedure, "/Call") || strings.HasSuffix(s.Procedure, "/Fetch")
}

// Start starts a span; a nil Tracer returns ctx and a span that records nothing.
func (t *Tracer) Start(ctx context.Context, name string) (context.Context, trace.Span) {
	if t == nil {
		return ctx, noop.Span{}
	}
	return t.tracer.Start(ctx, name)
}

// Extract returns ctx with the caller's span from HTTP headers.
func (t *Tracer) Extract(ctx context.Context, c propagation.TextMapCarrier) context.Context {
	if t == nil || !t.enabled {
		return ctx
	}
	return t.propagator.Extract(ctx, c)
}

// Inject writes the span of ctx to HTTP headers.
func (t *Tracer) Inject(ctx context.Context, c propagation.TextMapCarrier) {
	if t != nil && t.enabled {
		t.propagator.Inject(ctx, c)
	}
}

// HandlerOptions returns the options that trace the handlers of the system's services; none if
// tracing is disabled.
func (t *Tracer) HandlerOptions() []connect.HandlerOption {
	if t == nil || t.interceptor == nil {
		return nil
	}
	return []connect.HandlerOption{connect.WithInterceptors(t.interceptor)}
}

// ClientOptions returns the options that trace the clients of the system's services; none if
// tracing is disabled.
func (t *Tracer) ClientOptions() []connect.ClientOption {
	if t == nil || t.interceptor == nil {
		return nil
	}
	return []connect.ClientOption{connect.WithInterceptors(t.interceptor)}
}

// Close writes the remaining spans.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.shutdown(ctx)
}
