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

// maxQueuedSpans bounds the spans that wait for the collector. While it is
// away, later spans are dropped: traces may be lost, requests may not wait.
const maxQueuedSpans = 2048

// exportInterval is how long spans wait to be handed over together.
const exportInterval = time.Second

var exportFailures = NewCounter("telemetry_export_failures_total",
	"Batches of spans that could not be handed to the trace collector.")

// TraceConfig says where spans go and which.
type TraceConfig struct {
	Endpoint string  // URL of an OTLP collector over HTTP, such as http://10.0.0.9:4318/v1/traces
	Ratio    float64 // share of traces to begin; one that a caller has begun keeps its decision
	Resource Resource
}

// Resource says whose spans they are.
type Resource struct {
	Role, VM, Region, FailureDomain string
}

// StartTracing turns tracing on for the process. The result turns it off after
// handing over what is queued.
func StartTracing(ctx context.Context, c TraceConfig) (stop func(context.Context) error, err error) {
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(c.Endpoint))
	if err != nil {
		return nil, errors.Wrap(err, "telemetry: trace exporter")
	}
	// The library writes a line for each failure; here failures are counted.
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
