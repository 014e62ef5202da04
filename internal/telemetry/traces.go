// Copyright 2026 The shedpath authors
// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"context"
	"io"

	gtrace "github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// TraceTarget is where spans are exported to.
type TraceTarget string

// The trace targets.
const (
	TraceNone   TraceTarget = "none"
	TraceStdout TraceTarget = "stdout"
	TraceOTLP   TraceTarget = "otlp"
)

// TraceSettings configures the export of one process's spans.
type TraceSettings struct {
	Target TraceTarget
	// Endpoint is the URL of the OTLP collector, used if Target is TraceOTLP.
	Endpoint string
	// Output receives the spans if Target is TraceStdout.
	Output io.Writer
	Host   string
	Zone   string
}

// NewTracer returns a tracer and a function that exports the buffered spans and shuts the
// tracer down.
func NewTracer(ctx context.Context, s TraceSettings) (trace.Tracer, func(context.Context) error, error) {
	exporter, err := newExporter(ctx, s)
	if err != nil {
		return nil, nil, gtrace.Wrap(err)
	}
	if exporter == nil {
		return noop.NewTracerProvider().Tracer(""), func(context.Context) error { return nil }, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "shedpath"),
			attribute.String("host.id", s.Host),
			attribute.String("cloud.availability_zone", s.Zone),
		)),
	)
	return provider.Tracer("github.com/shedpath/shedpath"), provider.Shutdown, nil
}

func newExporter(ctx context.Context, s TraceSettings) (sdktrace.SpanExporter, error) {
	switch s.Target {
	case TraceStdout:
		return stdouttrace.New(stdouttrace.WithWriter(s.Output))
	case TraceOTLP:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.Endpoint))
	default:
		return nil, nil
	}
}
