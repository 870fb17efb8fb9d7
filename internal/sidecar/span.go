package sidecar

import (
	"sync"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// spans holds the open trace spans of requests that have not ended.
type spans struct {
	mu   sync.Mutex
	open map[token.Nonce]telemetry.Span
}

// begin starts the span of a submission. If a span for the same key is open, the new
// one is not stored and ends with the reply.
func (s *spans) begin(sub *wire.Submit) telemetry.Span {
	span := telemetry.Start(telemetry.HopSidecar, telemetry.Traceparent(sub.Trace))
	sub.Trace = string(span.Traceparent())
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.open[sub.Key.Nonce]; !exists {
		s.open[sub.Key.Nonce] = span
	}
	return span
}

// replied ends the span of a submission that was not admitted.
func (s *spans) replied(n token.Nonce, span telemetry.Span, a wire.Admission, err error) {
	if err == nil && a.Error == nil && !a.Joined {
		return
	}
	s.mu.Lock()
	if s.open[n] == span {
		delete(s.open, n)
	}
	s.mu.Unlock()
	endSpan(span, a.Error)
}

// finish ends the span of a request that has ended.
func (s *spans) finish(n token.Nonce, err *verdict.Error) {
	s.mu.Lock()
	span, known := s.open[n]
	delete(s.open, n)
	s.mu.Unlock()
	if known {
		endSpan(span, err)
	}
}

func endSpan(span telemetry.Span, err *verdict.Error) {
	if err != nil {
		span.Fail(string(err.Reason))
	}
	span.End()
}
