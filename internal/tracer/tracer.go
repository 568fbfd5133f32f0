package tracer

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/mulberryhaven/mulberryhaven/internal/configurer"
)

const scope = "github.com/mulberryhaven/mulberryhaven"

// Setup installs the exporter that the settings name and returns the function that flushes it.
func Setup(ctx context.Context, node string, cfg configurer.Trace) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, closeFile, err := newExporter(ctx, cfg)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "mulberryhaven"),
			attribute.String("host.name", node),
		)),
	)
	otel.SetTracerProvider(provider)
	return func(ctx context.Context) error {
		if err := provider.Shutdown(ctx); err != nil {
			return fmt.Errorf("flush traces: %w", err)
		}
		return closeFile()
	}, nil
}

func newExporter(ctx context.Context, cfg configurer.Trace) (sdktrace.SpanExporter, func() error, error) {
	switch cfg.Exporter {
	case configurer.TraceFile:
		return fileExporter(cfg.File)
	case configurer.TraceOTLP:
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.Endpoint))
		if err != nil {
			return nil, nil, fmt.Errorf("create OTLP exporter: %w", err)
		}
		return exporter, func() error { return nil }, nil
	default:
		return nil, nil, nil
	}
}

func fileExporter(name string) (sdktrace.SpanExporter, func() error, error) {
	const mode = 0o600
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, mode)
	if err != nil {
		return nil, nil, fmt.Errorf("open trace file: %w", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		return nil, nil, fmt.Errorf("create trace file exporter: %w", err)
	}
	return exporter, f.Close, nil
}

// Start begins a span as a child of the one in ctx.
func Start(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return otel.Tracer(scope).Start(ctx, name, trace.WithAttributes(attributes...))
}

// End ends a span and records err if there is one.
func End(span trace.Span, err error) {
	if err != nil {
		span.RecordError(err)
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// Extract returns ctx with the trace context of a request's headers.
func Extract(ctx context.Context, h http.Header) context.Context {
	return otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject writes the trace context of ctx into headers.
func Inject(ctx context.Context, h http.Header) {
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(h))
}
