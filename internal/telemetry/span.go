package telemetry

import (
	"context"
	"fmt"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// Hop is a stage of a request's path, and the name of its span.
type Hop string

// Hops, from the caller inwards. Each span is the parent of the next.
const (
	HopCaller   Hop = "caller"   // a caller's request, served by a router
	HopRouter   Hop = "router"   // one attempt of a router at a sidecar
	HopSidecar  Hop = "sidecar"  // a request in a sidecar, queueing included
	HopUpstream Hop = "upstream" // the call of the upstream
)

var hopKinds = map[Hop]trace.SpanKind{
	HopCaller:   trace.SpanKindServer,
	HopRouter:   trace.SpanKindClient,
	HopSidecar:  trace.SpanKindServer,
	HopUpstream: trace.SpanKindClient,
}

// Attr names an attribute of a span. Request ids are none of them: whoever
// holds one may fetch the answer.
type Attr string

// Attributes of spans.
const (
	AttrOrganisation Attr = "parsley.organisation"
	AttrProfile      Attr = "parsley.profile"
	AttrPool         Attr = "parsley.pool"
	AttrVM           Attr = "parsley.vm"
	AttrNonce        Attr = "parsley.nonce" // of the request key
	AttrVerdict      Attr = "parsley.verdict"
	AttrReason       Attr = "parsley.reason"
)

// HeaderTraceparent is the HTTP header of a Traceparent.
const HeaderTraceparent = "Traceparent"

// Traceparent is a W3C trace context, such as
// 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01, or empty.
type Traceparent string

// Places in a Traceparent, whose form is fixed.
const (
	traceparentLen = 55
	traceStart     = 3
	traceEnd       = 35
	spanStart      = 36
	spanEnd        = 52
	flagsStart     = 53
)

// ParseTraceparent returns s, or the empty Traceparent when s is none. What a
// caller sends must not reach peers and upstreams unchecked.
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
	// Version 00 has two flags; a caller may not set the reserved ones.
	if s[flagsStart] != '0' || s[flagsStart+1] < '0' || s[flagsStart+1] > '3' {
		return trace.SpanContext{}, false
	}
	return trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: traceID, SpanID: spanID, TraceFlags: trace.TraceFlags(s[flagsStart+1] - '0'), Remote: true,
	}), true
}

// tracer makes spans; nil while tracing is off.
var tracer atomic.Pointer[trace.Tracer]

// Span is one hop of one request. The zero Span records nothing.
type Span struct {
	span   trace.Span // nil while tracing is off
	parent Traceparent
}

// Start begins the span of a hop. parent comes from the hop before and may be
// empty. While tracing is off it costs a load of a pointer and no allocation.
func Start(hop Hop, parent Traceparent) Span {
	t := tracer.Load()
	if t == nil {
		return Span{parent: parent}
	}
	ctx := context.Background()
	if sc, ok := parent.context(); ok {
		if !sc.IsSampled() {
			return Span{parent: parent} // decided at the first hop
		}
		ctx = trace.ContextWithRemoteSpanContext(ctx, sc)
	}
	_, span := (*t).Start(ctx, string(hop), trace.WithSpanKind(hopKinds[hop]))
	return Span{span: span, parent: parent}
}

// Traceparent is what the next hop is told: this span, or while tracing is off
// the hop before, so that a trace passes through a process that adds nothing.
func (s Span) Traceparent() Traceparent {
	if s.span == nil || !s.span.SpanContext().IsValid() {
		return s.parent
	}
	sc := s.span.SpanContext()
	return Traceparent(fmt.Sprintf("00-%s-%s-%s", sc.TraceID(), sc.SpanID(), sc.TraceFlags()))
}

// Set adds an attribute.
func (s Span) Set(a Attr, value string) {
	if s.span != nil && s.span.IsRecording() {
		s.span.SetAttributes(attribute.String(string(a), value))
	}
}

// Fail marks the hop as failed for a reason.
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
