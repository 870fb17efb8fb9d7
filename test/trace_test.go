package test

import (
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"
)

// exportedSpan holds the ids of a span that a process has exported, in hexadecimal.
type exportedSpan struct {
	trace, id, parent string
}

// spanCollector collects exported spans.
type spanCollector struct {
	mu    sync.Mutex
	spans map[string]exportedSpan // by name
}

// ServeHTTP accepts spans by OTLP over HTTP.
func (t *spanCollector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var export collector.ExportTraceServiceRequest
	b, err := io.ReadAll(r.Body)
	if err != nil || proto.Unmarshal(b, &export) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, resource := range export.ResourceSpans {
		for _, scope := range resource.ScopeSpans {
			for _, s := range scope.Spans {
				t.spans[s.Name] = exportedSpan{hex.EncodeToString(s.TraceId), hex.EncodeToString(s.SpanId), hex.EncodeToString(s.ParentSpanId)}
			}
		}
	}
}

func (t *spanCollector) snapshot() map[string]exportedSpan {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]exportedSpan)
	for name, h := range t.spans {
		out[name] = h
	}
	return out
}

var _ = Describe("traces", func() {
	It("contain a span for each hop of a caller's trace", func() {
		spans := &spanCollector{spans: make(map[string]exportedSpan)}
		server := httptest.NewServer(spans)
		DeferCleanup(server.Close)
		GinkgoT().Setenv("PARSLEYD_TRACE_ENDPOINT", server.URL+"/v1/traces")
		GinkgoT().Setenv("PARSLEYD_TRACE_RATIO", "0") // only traces that the caller has sampled
		f := newFleet()
		f.addUpstream("engine", "notes")
		r := f.addRouter()
		const trace, parent = "4bf92f3577b34da6a3ce929d0e0e4736", "00f067aa0ba902b7"
		body := chat{Model: model, Messages: []message{{"user", "who lost the ball"}}}
		url := "http://" + r.addr + "/v1/chat/completions"
		Expect(send(http.MethodPost, url, apiKey, body, nil).status).To(Equal(http.StatusOK))
		header := http.Header{"Traceparent": {strings.Join([]string{"00", trace, parent, "01"}, "-")}}
		Expect(send(http.MethodPost, url, apiKey, body, header).status).To(Equal(http.StatusOK))

		names := []string{"caller", "router", "sidecar", "upstream"}
		Eventually(func() []string {
			var exported []string
			for name := range spans.snapshot() {
				exported = append(exported, name)
			}
			return exported
		}, waitTimeout).Should(ConsistOf(names))
		expectedParent := parent
		for _, name := range names {
			h := spans.snapshot()[name]
			Expect(h.trace).To(Equal(trace))
			Expect(h.parent).To(Equal(expectedParent), "parent of "+name)
			expectedParent = h.id
		}
	})
})
