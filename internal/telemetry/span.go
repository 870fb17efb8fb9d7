package telemetry

import (
	"context"
	"fmt"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// Hop is a stage of a request's path. Its value is the name of the stage's span.
type Hop string

// Hops, from the caller to the upstream. The span of each hop is the parent of the next
// hop's span.
const (
	HopCaller   Hop = "caller"   // a caller's request, served by a router
	HopRouter   Hop = "router"   // one attempt of a router to run a request at a sidecar
	HopSidecar  Hop = "sidecar"  // a request in a sidecar, including the time in its queue
	HopUpstream Hop = "upstream" // the sidecar's call to the upstream
)

var hopKinds = map[Hop]trace.SpanKind{
	HopCaller:   trace.SpanKindServer,
	HopRouter:   trace.SpanKindClient,
	HopSidecar:  trace.SpanKindServer,
	HopUpstream: trace.SpanKindClient,
}

// Attr is the name of an attribute of a span. A whole request id must not be an attribute,
// because anyone who has one can fetch the response. The nonce alone is not enough for that.
type Attr string

// Attributes of spans.
const (
	AttrOrganisation Attr = "parsley.organisation"
	AttrProfile      Attr = "parsley.profile"
	AttrPool         Attr = "parsley.pool"
	AttrVM           Attr = "parsley.vm"
	AttrNonce        Attr = "parsley.nonce" // of the request key, without the rest of the key
	AttrVerdict      Attr = "parsley.verdict"
	AttrReason       Attr = "parsley.reason"
)

// HeaderTraceparent is the HTTP header of a Traceparent.
const HeaderTraceparent = "Traceparent"

// Traceparent is a W3C trace context, such as
// 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01, or empty.
type Traceparent string

// Length of a Traceparent and offsets of its fields, which are fixed.
const (
	traceparentLen = 55
	traceStart     = 3
	traceEnd       = 35
	spanStart      = 36
	spanEnd        = 52
	flagsStart     = 53
)

// ParseTraceparent returns s, or the empty Traceparent if s is not valid. The header of a
// caller must be checked before it is sent to peers and upstreams.
func ParseTraceparent(s string) Traceparent {
	if _, ok := Traceparent(s).context(); !ok {
		return ""
	}
	return Traceparent(s)
}

func (t Traceparent) context() (trace.SpanContext, bool) {
	s := string(t)
	if len(s) != traceparentLen || s[:traceStart] != "00-" || s[traceEnd] != '-' || s[spanEnd] != '-' {
		return trace.SpanContext{}, false
	}
	traceID, err := trace.TraceIDFromHex(s[traceStart:traceEnd])
	if err != nil {
		return trace.SpanContext{}, false
	}
	spanID, err := trace.SpanIDFromHex(s[spanStart:spanEnd])
	if err != nil {
		return trace.SpanContext{}, false
	}
	// Version 00 defines the two lowest flags. Values with any other flag are rejected: a
	// caller must not set reserved ones.
	if s[flagsStart] != '0' || s[flagsStart+1] < '0' || s[flagsStart+1] > '3' {
		return trace.SpanContext{}, false
	}
	return trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: traceID, SpanID: spanID, TraceFlags: trace.TraceFlags(s[flagsStart+1] - '0'), Remote: true,
	}), true
}

// tracer creates spans; nil while tracing is off.
var tracer atomic.Pointer[trace.Tracer]

// Span is the span of one hop of a request. The zero Span records nothing.
type Span struct {
	span   trace.Span // nil while tracing is off
	parent Traceparent
}

// Start begins the span of a hop. parent comes from the previous hop and may be empty.
// While tracing is off, Start loads one pointer and does not allocate.
func Start(hop Hop, parent Traceparent) Span {
	t := tracer.Load()
	if t == nil {
		return Span{parent: parent}
	}
	ctx := context.Background()
	if sc, ok := parent.context(); ok {
		if !sc.IsSampled() {
			return Span{parent: parent} // not sampled by decision of the first hop
		}
		ctx = trace.ContextWithRemoteSpanContext(ctx, sc)
	}
	_, span := (*t).Start(ctx, string(hop), trace.WithSpanKind(hopKinds[hop]))
	return Span{span: span, parent: parent}
}

// Traceparent returns the trace context for the next hop: this span's, or the previous hop's
// while tracing is off, so that a process without tracing does not interrupt a trace.
func (s Span) Traceparent() Traceparent {
	if s.span == nil || !s.span.SpanContext().IsValid() {
		return s.parent
	}
	sc := s.span.SpanContext()
	return Traceparent(fmt.Sprintf("00-%s-%s-%s", sc.TraceID(), sc.SpanID(), sc.TraceFlags()))
}

// Set sets an attribute of the span.
func (s Span) Set(a Attr, value string) {
	if s.span != nil && s.span.IsRecording() {
		s.span.SetAttributes(attribute.String(string(a), value))
	}
}

// Fail marks the hop as failed and records the reason.
func (s Span) Fail(reason string) {
	if s.span != nil && s.span.IsRecording() {
		s.span.SetAttributes(attribute.String(string(AttrReason), reason))
		s.span.SetStatus(codes.Error, reason)
	}
}

// End ends the span.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}
