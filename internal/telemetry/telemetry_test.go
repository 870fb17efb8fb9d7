package telemetry

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	oteltrace "go.opentelemetry.io/otel/trace"
)

const parent = Traceparent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")

var (
	testFamily    = NewFamily[ControlKind]("test_family_total", "kind", "Test.")
	testHistogram = NewHistogram("test_wait_seconds", "Test.")
)

// runHops starts and ends a failed span for each hop of a request that arrives with p. It
// returns the trace context after the last hop.
func runHops(p Traceparent) Traceparent {
	for _, hop := range []Hop{HopCaller, HopRouter, HopSidecar, HopUpstream} {
		span := Start(hop, p)
		span.Set(AttrVM, "vm-1")
		span.Fail("deadline")
		p = span.Traceparent()
		span.End()
	}
	return p
}

// A process pays for spans on each request, even while tracing is off or if the caller has
// decided not to sample the trace. In both cases spans must not allocate, and while tracing
// is off the caller's trace context must reach the upstream unchanged.
func TestDisabledTracingDoesNotAllocate(t *testing.T) {
	if n := testing.AllocsPerRun(100, func() { runHops(parent) }); n != 0 {
		t.Errorf("%v allocations a request while tracing is off", n)
	}
	if got := runHops(parent); got != parent {
		t.Errorf("the caller's trace context became %q on its way through", got)
	}
	stop := startTracing(TraceConfig{Ratio: 1}, trace.WithSyncer(tracetest.NewNoopExporter()))
	defer func() { _ = stop(context.Background()) }()
	unsampled := parent[:len(parent)-1] + "0"
	if n := testing.AllocsPerRun(100, func() { runHops(unsampled) }); n != 0 {
		t.Errorf("%v allocations a request whose caller has decided against a trace", n)
	}
}

// If a hop started a trace of its own or skipped its predecessor, operators could not follow
// a request from the caller to the upstream. A sampled trace of a caller must be continued
// although the process itself samples none.
func TestEachHopIsTheParentOfTheNext(t *testing.T) {
	recorder := tracetest.NewInMemoryExporter()
	stop := startTracing(TraceConfig{Ratio: 0}, trace.WithSyncer(recorder))
	last := runHops(parent)
	spans := recorder.GetSpans()
	if err := stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if len(spans) != 4 {
		t.Fatalf("%d spans, want one a hop", len(spans))
	}
	wantParent := "00f067aa0ba902b7"
	for _, s := range spans {
		if got := s.Parent.SpanID().String(); got != wantParent || s.SpanContext.TraceID().String() != "4bf92f3577b34da6a3ce929d0e0e4736" {
			t.Errorf("span %s of trace %s has parent %s, want %s of the caller's trace", s.Name, s.SpanContext.TraceID(), got, wantParent)
		}
		wantParent = s.SpanContext.SpanID().String()
	}
	if !strings.Contains(string(last), wantParent) {
		t.Errorf("the upstream received %q, want span %s", last, wantParent)
	}
}

func FuzzParseTraceparent(f *testing.F) {
	f.Add(string(parent))
	f.Add("00-00000000000000000000000000000000-00f067aa0ba902b7-01")
	f.Add("00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01")
	f.Add("ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01\r\n")
	f.Add("00-00000000000000000000000000000001-0000000000000001-10")
	f.Fuzz(func(t *testing.T, s string) {
		got := ParseTraceparent(s)
		if got == "" {
			return
		}
		// An accepted value must be read in the same way by the OpenTelemetry library.
		carrier := propagation.MapCarrier{"traceparent": s}
		want := oteltrace.SpanContextFromContext(propagation.TraceContext{}.Extract(context.Background(), carrier))
		sc, _ := got.context()
		if string(got) != s || sc.TraceID() != want.TraceID() || sc.SpanID() != want.SpanID() {
			t.Errorf("%q was read as %v, by the library as %v", s, sc, want)
		}
	})
}

// A secret that is passed in a flag must not be served with the metrics, which more people
// may read than the process list. The handler of package expvar shows the command line.
func TestHandlerHidesTheCommandLine(t *testing.T) {
	oldArgs := os.Args
	defer func() { os.Args = oldArgs }()
	os.Args = append(os.Args[:len(os.Args):len(os.Args)], "--token=5ec4e7")
	testFamily.Add(ControlLoad, 7)
	testHistogram.Observe(30 * time.Millisecond)
	w := httptest.NewRecorder()
	Handler().ServeHTTP(w, httptest.NewRequest("GET", "/debug/vars", nil))
	var page struct {
		Family map[ControlKind]int64 `json:"test_family_total"`
		Wait   histogramSummary      `json:"test_wait_seconds"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &page); err != nil {
		t.Fatalf("%s in %s", err, w.Body)
	}
	if strings.Contains(w.Body.String(), "5ec4e7") {
		t.Error("the command line is on the page")
	}
	if page.Family[ControlLoad] != 7 || page.Wait.Count != 1 || page.Wait.P99 < 0.0299 || page.Wait.P99 > 0.0304 {
		t.Errorf("the page says %+v", page)
	}
}

// If a label's value comes from a caller's header, a caller that sends a new value with
// each request must not make the process grow until it is killed.
func TestFamilyIsBounded(t *testing.T) {
	f := NewFamily[string]("test_bounded_total", "kind", "Test.")
	for i := range 10 * maxLabels {
		f.Inc(fmt.Sprint(i))
	}
	if got := f.Value(otherLabel); got != 9*maxLabels {
		t.Errorf("%d counted as other, want %d", got, 9*maxLabels)
	}
	if got := f.Value("0"); got != 1 {
		t.Errorf("a known label has %d, want 1", got)
	}
}

// A metric whose name lacks its unit, or that has no help text, can be misread by operators.
// It must be rejected when it is registered.
func TestNamesCarryUnits(t *testing.T) {
	for _, d := range []Desc{
		{Name: "router_refusals", Kind: KindCounter, Help: "x"},
		{Name: "router_wait_ms", Kind: KindHistogram, Help: "x"},
		{Name: "routerStreams", Kind: KindGauge, Help: "x"},
		{Name: "router_refusals_total", Kind: KindCounter},
	} {
		if checkName(d) == nil {
			t.Errorf("%+v was accepted", d)
		}
	}
}

func BenchmarkSpans(b *testing.B) {
	b.Run("off", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			runHops(parent)
		}
	})
	b.Run("unsampled", func(b *testing.B) {
		stop := startTracing(TraceConfig{Ratio: 0}, trace.WithBatcher(tracetest.NewNoopExporter()))
		defer func() { _ = stop(context.Background()) }()
		b.ReportAllocs()
		for b.Loop() {
			runHops("")
		}
	})
	b.Run("on", func(b *testing.B) {
		stop := startTracing(TraceConfig{Ratio: 1}, trace.WithBatcher(tracetest.NewNoopExporter()))
		defer func() { _ = stop(context.Background()) }()
		b.ReportAllocs()
		for b.Loop() {
			runHops(parent)
		}
	})
}

// An error in the log must take one line. Without plainError, the text handler writes an
// error of package errors with its stack trace.
func TestErrorsAreLoggedOnOneLine(t *testing.T) {
	for _, f := range []LogFormat{LogText, LogJSON} {
		var out strings.Builder
		NewLogger(&out, f, slog.LevelInfo).Info("files are broken", "error", errors.New("no PEM"))
		if strings.Contains(out.String(), "telemetry_test") || !strings.Contains(out.String(), "no PEM") {
			t.Errorf("%s: %s", f, out.String())
		}
	}
}

// Guards against logs from which nothing can be worked out because lines are left out at random:
// at a rate over the limit, lines about requests are kept for whole seconds, which are the same
// at each process.
func TestRoutineLinesAreKeptForWholeSeconds(t *testing.T) {
	const perSecond, seconds = 250, 60
	keptSeconds := make(map[int]int) // number of processes that have kept a second
	for process := range 2 {
		l := NewRequestLog(slog.New(slog.DiscardHandler))
		total := 0
		for second := range seconds {
			kept := 0
			for line := range perSecond {
				now := time.Unix(1_800_000_000+int64(second), int64(process)*1000+int64(line)*int64(time.Second)/(perSecond+1))
				if l.allow(now, LineRoutine) {
					kept++
				}
			}
			if kept != 0 && kept != perSecond {
				t.Errorf("second %d: %d of %d lines are kept", second, kept, perSecond)
			}
			if total += kept; kept > 0 {
				keptSeconds[second]++
			}
		}
		if total > routineLinesPerSecond*seconds+routineBurst || total < routineLinesPerSecond*seconds/2 {
			t.Errorf("%d lines in %d seconds", total, seconds)
		}
	}
	for second, processes := range keptSeconds {
		if processes != 2 {
			t.Errorf("second %d is kept by %d of 2 processes", second, processes)
		}
	}
}
