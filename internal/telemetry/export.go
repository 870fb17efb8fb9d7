package telemetry

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// maxQueuedSpans bounds the number of spans that wait for export. While the collector is
// unavailable, further spans are dropped, so that requests never wait for it.
const maxQueuedSpans = 2048

// exportInterval is the maximum time for which spans are collected into a batch.
const exportInterval = time.Second

var exportFailures = NewCounter("telemetry_export_failures_total",
	"Batches of spans that could not be handed to the trace collector.")

// TraceConfig configures which spans are recorded and where they are exported to.
type TraceConfig struct {
	Endpoint string  // URL of an OTLP collector over HTTP, such as http://10.0.0.9:4318/v1/traces
	Ratio    float64 // fraction of traces to sample, from 0 to 1; traces begun by a caller keep the caller's decision
	Resource Resource
}

// Resource identifies the process that records the spans.
type Resource struct {
	Role, VM, Region, FailureDomain string
}

// StartTracing turns tracing on for the process. stop turns it off and exports the spans
// that are still queued.
func StartTracing(ctx context.Context, c TraceConfig) (stop func(context.Context) error, err error) {
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(c.Endpoint))
	if err != nil {
		return nil, errors.Wrap(err, "telemetry: trace exporter")
	}
	// The library would log a line for each failure. They are counted instead.
	otel.SetLogger(logr.Discard())
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(error) { exportFailures.Inc() }))
	return startTracing(c, trace.WithBatcher(exporter, trace.WithMaxQueueSize(maxQueuedSpans), trace.WithBatchTimeout(exportInterval))), nil
}

func startTracing(c TraceConfig, out trace.TracerProviderOption) (stop func(context.Context) error) {
	provider := trace.NewTracerProvider(
		out,
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(c.Ratio))),
		trace.WithResource(c.Resource.attributes()),
	)
	t := provider.Tracer("github.com/parsleyfront/parsleyfront")
	tracer.Store(&t)
	return func(ctx context.Context) error {
		tracer.Store(nil)
		return provider.Shutdown(ctx)
	}
}

func (r Resource) attributes() *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", "parsleyd-"+r.Role),
		attribute.String("service.instance.id", r.VM),
		attribute.String("cloud.region", r.Region),
		attribute.String("cloud.availability_zone", r.FailureDomain),
	)
}
