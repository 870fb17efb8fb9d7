package sidecar

import (
	"context"
	"io"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// readBufferSize is the size of the buffer for reads from the upstream, in bytes.
const readBufferSize = 8 << 10

// startCall runs a call to the upstream in its own goroutine.
func (s *Sidecar) startCall(e Start) {
	n := e.Submit.Key.Nonce
	ctx, cancel := withDeadline(s.ctx, e.Deadline)
	s.mu.Lock()
	s.calls[n] = cancel
	s.mu.Unlock()
	go func() {
		defer s.releaseCall(n)
		err := s.call(ctx, e, s.responses.get(n))
		s.loop.Post(CallEnded{Now: time.Now(), Nonce: n, Err: verdict.From(err)})
	}()
}

func withDeadline(ctx context.Context, at time.Time) (context.Context, context.CancelFunc) {
	if at.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, at)
}

// releaseCall releases the context of a call that has ended.
func (s *Sidecar) releaseCall(n token.Nonce) {
	s.mu.Lock()
	cancel := s.calls[n]
	delete(s.calls, n)
	s.mu.Unlock()
	cancel()
}

func (s *Sidecar) abortCall(n token.Nonce) {
	s.mu.Lock()
	cancel := s.calls[n]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// call calls the upstream and copies the response to out.
func (s *Sidecar) call(ctx context.Context, e Start, rb *responseBuffer) error {
	span := telemetry.Start(telemetry.HopUpstream, telemetry.Traceparent(e.Submit.Trace))
	defer span.End()
	resp, err := s.config.Upstream.Do(ctx, upstream.Request{
		ID:          e.Submit.Key.Nonce.String(),
		Session:     e.Submit.Session,
		Priority:    e.Submit.Policy.Priority,
		Idempotent:  e.Submit.Policy.Idempotent,
		Traceparent: string(span.Traceparent()),
		Call:        e.Submit.Call,
	})
	if err != nil {
		span.Fail(string(verdict.From(err).Reason))
		return err
	}
	defer resp.Body.Close()
	rb.setHead(resp.Status, resp.Header)
	err = s.copyBody(ctx, resp.Body, rb)
	if err != nil {
		span.Fail(string(verdict.From(err).Reason))
	}
	return err
}

func (s *Sidecar) copyBody(ctx context.Context, body io.Reader, rb *responseBuffer) error {
	buf := make([]byte, readBufferSize)
	first := true
	for {
		n, err := body.Read(buf)
		if n > 0 && first {
			first = false
			s.loop.Post(FirstByteReceived{Now: time.Now(), Nonce: rb.nonce})
		}
		if werr := rb.write(ctx, buf[:n]); werr != nil {
			return upstream.ResponseInterrupted(werr)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return upstream.ResponseInterrupted(err)
		}
	}
}
