package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admission"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// fakeUpstream answers each call with what the test writes to body.
type fakeUpstream struct {
	body  *io.PipeReader
	calls atomic.Int32
}

func (u *fakeUpstream) Do(ctx context.Context, _ upstream.Request) (*upstream.Response, error) {
	u.calls.Add(1)
	if u.body == nil { // frozen
		<-ctx.Done()
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonDeadline, "%s", ctx.Err())
	}
	context.AfterFunc(ctx, func() { _ = u.body.CloseWithError(ctx.Err()) })
	return &upstream.Response{Status: http.StatusOK, Body: u.body}, nil
}

func (u *fakeUpstream) Probe(context.Context) upstream.Health { return upstream.Health{} }
func (u *fakeUpstream) Export(context.Context, uint64) ([]byte, error) {
	return nil, upstream.ErrNotCached
}
func (u *fakeUpstream) Import(context.Context, uint64, []byte) error { return nil }

// pipeListener is a listener of in-process connections.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	close(p.done)
	return nil
}

func (p *pipeListener) Addr() net.Addr { return nil }

func (p *pipeListener) dial(context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.done:
		return nil, errors.New("the sidecar has stopped listening")
	}
}

// fixture is a running sidecar with a connection from a router.
type fixture struct {
	t          *testing.T
	up         *fakeUpstream
	bodyWriter *io.PipeWriter // writes the upstream's response
	listener   *pipeListener
	peer       *wire.Peer
	stop       context.CancelFunc
	serveErr   chan error
	ctx        context.Context // of the test
}

// testTimeout fails a test that waits forever. The sidecar's timers keep running, so
// synctest would not report a deadlock.
const testTimeout = time.Hour

var errTestTimeout = errors.New("test timed out")

func newFixture(t *testing.T, frozen bool) *fixture {
	f := &fixture{t: t, up: &fakeUpstream{}, listener: &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}, serveErr: make(chan error, 1)}
	if !frozen {
		f.up.body, f.bodyWriter = io.Pipe()
		time.AfterFunc(testTimeout, func() { _ = f.bodyWriter.CloseWithError(errTestTimeout) })
	}
	s := New(Config{
		Settings: Settings{
			VM: "vm", Incarnation: 1, Keys: 100, Admission: admission.Config{Slots: 4, MaxWaiting: 4, MaxBytes: 1 << 20},
			DetachGrace: 10 * time.Second, KeepAnswer: 30 * time.Second, StopTimeout: testTimeout,
		},
		Buffer:   BufferLimits{PerResponse: 64 << 10, Total: 1 << 20},
		Upstream: f.up,
	})
	var done context.CancelFunc
	f.ctx, done = context.WithTimeoutCause(context.Background(), testTimeout, errTestTimeout)
	t.Cleanup(done)
	var ctx context.Context
	ctx, f.stop = context.WithCancel(context.Background())
	go func() { f.serveErr <- s.Serve(ctx, f.listener) }()
	f.peer = wire.NewPeer(wire.PeerConfig{Dial: f.listener.dial})
	return f
}

func testSubmit(n byte, t wire.RequestPolicy) wire.Submit {
	key := wire.Key{VM: "vm", Incarnation: 1, Nonce: token.Nonce{n}, Expires: time.Now().Add(time.Hour).Unix()}
	return wire.Submit{Key: key, Org: "org", Policy: t, Window: 16 << 10}
}

// readStream reads a stream until it has n bytes or the stream ends.
func (f *fixture) readStream(s *wire.Stream, n int) (got []byte, end *wire.End) {
	f.t.Helper()
	for len(got) < n {
		p, err := s.Next(f.ctx)
		if err != nil {
			f.t.Fatalf("after %d bytes: %s", len(got), err)
		}
		if p.End != nil {
			return got, p.End
		}
		got = append(got, p.Bytes...)
	}
	return got, nil
}

// A frozen service accepts a call and never responds. At the deadline, the caller
// must get the verdict may-have-run, and the call must release its slot.
func TestCallToFrozenServiceEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		began := time.Now()
		s, _, err := f.peer.Submit(f.ctx, testSubmit(1, wire.RequestPolicy{Deadline: 3 * time.Second}))
		if err != nil {
			t.Fatal(err)
		}
		_, end := f.readStream(s, 1)
		if end == nil || end.Error == nil || end.Error.Verdict != verdict.MayHaveRun || end.Error.Reason != verdict.ReasonDeadline {
			t.Errorf("end: %+v", end)
		}
		if took := time.Since(began); took != 3*time.Second {
			t.Errorf("ended after %s", took)
		}
		if end != nil && end.Control.Running != 0 {
			t.Errorf("%d calls are still in progress", end.Control.Running)
		}
		f.stopAndWait()
	})
}

// A request waits behind four stuck requests until it can no longer start in time.
// The router runs the same timeout and answers may-have-run when it expires, so the
// sidecar's not-run reply must arrive before.
func TestExpiredRequestIsRejectedBeforeRouterTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		for n := range byte(4) {
			if _, _, err := f.peer.Submit(f.ctx, testSubmit(n, wire.RequestPolicy{Deadline: 10 * time.Second})); err != nil {
				t.Fatal(err)
			}
		}
		began := time.Now()
		s, _, err := f.peer.Submit(f.ctx, testSubmit(9, wire.RequestPolicy{FirstByte: 2 * time.Second}))
		if err != nil {
			t.Fatal(err)
		}
		_, end := f.readStream(s, 1)
		if end == nil || end.Error == nil || end.Error.Verdict != verdict.NotRun || end.Error.RetryAfter <= 0 {
			t.Errorf("end: %+v", end)
		}
		if took := time.Since(began); took >= 2*time.Second || took < 1900*time.Millisecond {
			t.Errorf("after %s", took)
		}
		f.stopAndWait()
	})
}

// stopAndWait stops the sidecar and waits until Serve has returned.
func (f *fixture) stopAndWait() {
	f.t.Helper()
	f.stop()
	if err := <-f.serveErr; err != nil {
		f.t.Errorf("serve: %s", err)
	}
	f.peer.Close()
}

// A router is killed in the middle of a response and the caller resumes through
// another router. A stop that is requested meanwhile must reject new requests, but
// let the second router read to the end before the sidecar exits.
func TestPlannedStopInterruptsNoResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, false)
		ctx := f.ctx
		sub := testSubmit(1, wire.RequestPolicy{})
		first, _, err := f.peer.Submit(ctx, sub)
		if err != nil {
			t.Fatal(err)
		}
		whole := bytes.Repeat([]byte("0123456789abcdef"), 20<<10/16)
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = f.bodyWriter.Write(whole[:10<<10])
			time.Sleep(5 * time.Second)
			_, _ = f.bodyWriter.Write(whole[10<<10:])
			_ = f.bodyWriter.Close()
		}()
		head, _ := f.readStream(first, 10<<10)
		f.peer.Close() // the router is killed
		f.stop()
		time.Sleep(time.Second)

		other := wire.NewPeer(wire.PeerConfig{Dial: f.listener.dial})
		_, _, err = other.Submit(ctx, testSubmit(2, wire.RequestPolicy{}))
		if e := verdict.From(err); e == nil || e.Verdict != verdict.NotRun || e.Reason != verdict.ReasonDraining {
			t.Errorf("new work while stopping: %v", err)
		}
		second, _, err := other.Attach(ctx, wire.Attach{Key: sub.Key, Org: "org", Offset: int64(len(head)), Window: 4 << 10})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second) // the caller does not read for longer than DetachGrace
		rest, end := f.readStream(second, len(whole))
		if !bytes.Equal(append(head, rest...), whole) || end == nil || end.Error != nil {
			t.Errorf("%d and %d bytes of %d, end %+v", len(head), len(rest), len(whole), end)
		}
		<-written
		if err := <-f.serveErr; err != nil {
			t.Errorf("serve: %s", err)
		}
		if n := f.up.calls.Load(); n != 1 {
			t.Errorf("%d calls to the upstream", n)
		}
		other.Close()
	})
}

// The network drops all packets between a router and a sidecar in the middle of a
// response, and the router resumes on another connection. The sidecar is not
// notified on the first connection. A planned stop must not wait for the reader
// that is still registered there.
func TestPlannedStopDoesNotWaitForUnreachableReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, false)
		near, far := net.Pipe()
		f.listener.conns <- far
		blocked := make(chan struct{})
		peer := wire.NewPeer(wire.PeerConfig{Dial: func(context.Context) (net.Conn, error) { return blackhole(near, blocked), nil }})
		sub := testSubmit(1, wire.RequestPolicy{})
		s, _, err := peer.Submit(f.ctx, sub)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = f.bodyWriter.Write([]byte("half"))
		f.readStream(s, 4)
		close(blocked)
		second, _, err := f.peer.Attach(f.ctx, wire.Attach{Key: sub.Key, Org: "org", Offset: 4, Window: 4 << 10})
		if err != nil {
			t.Fatal(err)
		}
		go func() { // more than the unreachable reader's window
			_, _ = f.bodyWriter.Write(make([]byte, 20<<10))
			_ = f.bodyWriter.Close()
		}()
		f.readStream(second, 21<<10)
		began := time.Now()
		f.stopAndWait()
		if waited := time.Since(began); waited > 2*time.Minute {
			t.Errorf("stop took %s", waited)
		}
		peer.Close()
	})
}

// blackhole forwards bytes in both directions until blocked is closed, and then drops
// them.
func blackhole(far net.Conn, blocked chan struct{}) net.Conn {
	near, end := net.Pipe()
	pass := func(to, from net.Conn) {
		buf := make([]byte, 4<<10)
		for {
			n, err := from.Read(buf)
			if err != nil {
				return
			}
			select {
			case <-blocked:
			default:
				_, _ = to.Write(buf[:n])
			}
		}
	}
	go pass(end, far)
	go pass(far, end)
	return near
}

// A caller disconnects during a response that is longer than the buffer. An
// idempotent call must be aborted after DetachGrace. A call that is not idempotent
// must run to its end, and the caller can query its status.
func TestOnlyIdempotentCallsAreAborted(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, false)
			sub := testSubmit(1, wire.RequestPolicy{Idempotent: idempotent})
			s, _, err := f.peer.Submit(f.ctx, sub)
			if err != nil {
				t.Fatal(err)
			}
			s.Close()
			_, err = f.bodyWriter.Write(make([]byte, 200<<10))
			_ = f.bodyWriter.Close()
			if aborted := err != nil; aborted != idempotent {
				t.Errorf("idempotent %v: aborted %v", idempotent, aborted)
			}
			time.Sleep(time.Second)
			var status wire.Status
			if err := f.peer.Call(f.ctx, wire.MethodStatus, wire.StatusRequest{Key: sub.Key, Org: "org"}, &status); err != nil {
				t.Fatal(err)
			}
			if status.State != wire.StateDone || status.Verdict != verdict.Ran {
				t.Errorf("status: %+v", status)
			}
			_, _, err = f.peer.Attach(f.ctx, wire.Attach{Key: sub.Key, Org: "org", Window: 1})
			if e := verdict.From(err); !idempotent && (e == nil || e.Reason != verdict.ReasonAnswerGone) {
				t.Errorf("attach to the discarded start of a response: %v", err)
			}
			_, _, err = f.peer.Attach(f.ctx, wire.Attach{Key: sub.Key, Org: "other", Window: 1})
			if e := verdict.From(err); e == nil || e.Reason != verdict.ReasonBadKey {
				t.Errorf("attach by another organisation: %v", err)
			}
			f.stopAndWait()
		})
	}
}
