// Package kqtrace sets up traces with a span for each hop.
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

// Config sets up a Tracer.
type Config struct {
	// Writer receives the spans as JSON; nil switches traces off.
	Writer io.Writer
	// Process names the process in each span.
	Process string
}

// Tracer makes spans and carries them between processes.
type Tracer struct {
	provider    trace.TracerProvider
	propagator  propagation.TextMapPropagator
	tracer      trace.Tracer
	enabled     bool
	interceptor connect.Interceptor
	shutdown    func(context.Context) error
}

// New returns a Tracer; with no writer it costs next to nothing.
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
		otelconnect.WithFilter(isHop))
	if err != nil {
		return nil, eris.Wrap(err, "trace interceptor")
	}
	otel.SetTextMapPropagator(t.propagator)
	return t, nil
}

// isHop reports whether a request carries a call; heartbeats, probes and
// announcements make no spans.
func isHop(_ context.Context, s connect.Spec) bool {
	return strings.HasSuffix(s.Procedure, "/Call") || strings.HasSuffix(s.Procedure, "/Fetch")
}

// Start begins a span; a nil Tracer begins none.
func (t *Tracer) Start(ctx context.Context, name string) (context.Context, trace.Span) {
	if t == nil {
		return ctx, noop.Span{}
	}
	return t.tracer.Start(ctx, name)
}

// Extract reads the caller's span from HTTP headers.
func (t *Tracer) Extract(ctx context.Context, c propagation.TextMapCarrier) context.Context {
	if t == nil || !t.enabled {
		return ctx
	}
	return t.propagator.Extract(ctx, c)
}

// Inject writes the current span to HTTP headers.
func (t *Tracer) Inject(ctx context.Context, c propagation.TextMapCarrier) {
	if t != nil && t.enabled {
		t.propagator.Inject(ctx, c)
	}
}

// HandlerOptions returns the options for handlers of our own services.
func (t *Tracer) HandlerOptions() []connect.HandlerOption {
	if t == nil || t.interceptor == nil {
		return nil
	}
	return []connect.HandlerOption{connect.WithInterceptors(t.interceptor)}
}

// ClientOptions returns the options for clients of our own services.
func (t *Tracer) ClientOptions() []connect.ClientOption {
	if t == nil || t.interceptor == nil {
		return nil
	}
	return []connect.ClientOption{connect.WithInterceptors(t.interceptor)}
}

// Close writes what is left.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.shutdown(ctx)
}
