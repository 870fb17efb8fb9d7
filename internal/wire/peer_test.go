package wire

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// steadyScript returns a response that produces n bytes every 100 ms.
func steadyScript(tenths, n int) script {
	var s script
	for range tenths {
		s = append(s, chunk{size: n, pause: 100 * time.Millisecond})
	}
	return s
}

// closePeer closes p and waits until the goroutines that it started have ended.
func closePeer(p *Peer) {
	p.Close()
	time.Sleep(time.Second)
	synctest.Wait()
}

// newReader returns a reader of a script under a key with nonce id.
func (n *testNetwork) newReader(p *Peer, id byte, s script) *responseReader {
	r := &responseReader{peer: p, key: Key{Nonce: token.Nonce{id}}, body: []byte{id}, window: 16 << 10}
	n.sidecar.mu.Lock()
	defer n.sidecar.mu.Unlock()
	n.sidecar.scripts[r.key.Nonce] = s
	return r
}

// A connection silently drops everything in one or both directions while a response
// is being sent. Neither its reader nor the next caller may wait longer than a few
// seconds, although no read or write fails. In the upward case frames of the first
// response keep arriving, so only the missing reply reveals the fault.
func TestStalledConnectionIsDetectedWithinSeconds(t *testing.T) {
	cases := map[string]middlebox{
		"upward":   {up: faults{3: stall}},
		"downward": {down: faults{15: stall}},
		"both":     {up: faults{3: stall}, down: faults{15: stall}},
	}
	for name, box := range cases {
		synctest.Test(t, func(t *testing.T) {
			n := &testNetwork{sidecar: newFakeSidecar(), middleboxes: []middlebox{box}}
			p := NewPeer(PeerConfig{Dial: n.dial})
			first, second := n.newReader(p, 1, steadyScript(100, 10)), n.newReader(p, 2, steadyScript(1, 10))
			began := time.Now()
			var wg sync.WaitGroup
			wg.Go(func() { _ = first.read(t.Context()) })
			time.Sleep(2 * time.Second)
			_ = second.read(t.Context())
			if waited := time.Since(began) - 2*time.Second; waited > 4*time.Second {
				t.Errorf("%s: the second caller waited for %s", name, waited)
			}
			wg.Wait()
			if waited := time.Since(began) - 10*time.Second; waited > 4*time.Second {
				t.Errorf("%s: the first caller waited for %s", name, waited)
			}
			closePeer(p)
		})
	}
}

// A connection has been unused for a minute, and a firewall in between has dropped
// it. The next caller must not wait for the full detection time of an active
// connection.
func TestStaleConnectionIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{sidecar: newFakeSidecar(), middleboxes: []middlebox{{up: faults{1: stall}}}}
		timing := DefaultTiming()
		timing.IdleTimeout = time.Hour
		p := NewPeer(PeerConfig{Dial: n.dial, Timing: timing})
		if _, err := p.Connect(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		began := time.Now()
		_ = n.newReader(p, 1, steadyScript(1, 10)).read(t.Context())
		if waited := time.Since(began); waited > 2*time.Second {
			t.Errorf("waited for %s", waited)
		}
		closePeer(p)
	})
}

// One caller stops reading a long response. Another caller, whose response uses the
// same connection, must not be delayed.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{sidecar: newFakeSidecar()}
		p := NewPeer(PeerConfig{Dial: n.dial})
		slow, fast := n.newReader(p, 1, steadyScript(1, 1<<20)), n.newReader(p, 2, steadyScript(1, 1<<20))
		s, err := slow.open(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if err := fast.read(t.Context()); err != nil || time.Since(began) > time.Second {
			t.Errorf("%v after %s", err, time.Since(began))
		}
		s.mu.Lock()
		if len(s.buf) > slow.window {
			t.Errorf("%d bytes buffered for a window of %d", len(s.buf), slow.window)
		}
		s.mu.Unlock()
		closePeer(p)
	})
}

// Calls are made at the moment when the connection reaches its idle timeout. None
// may fail with MayHaveRun because it was sent on a connection that was being
// closed.
func TestIdleCloseLosesNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{sidecar: newFakeSidecar()}
		p := NewPeer(PeerConfig{Dial: n.dial})
		for range 300 {
			if err := p.Call(t.Context(), MethodStatus, Empty{}, nil); err != nil {
				t.Fatal(err)
			}
			time.Sleep(p.config.Timing.IdleTimeout)
		}
		if n.dials < 2 {
			t.Error("the connection was never closed as idle")
		}
		closePeer(p)
	})
}

// A sidecar's VM accepts connections but never replies. Only the first caller waits
// for the timeout; later ones fail at once, and connecting succeeds again once the
// sidecar is reachable.
func TestUnreachableSidecarDelaysOnlyOneCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &testNetwork{sidecar: newFakeSidecar(), middleboxes: []middlebox{{up: faults{0: stall}}, {up: faults{0: stall}}}}
		p := NewPeer(PeerConfig{Dial: n.dial})
		began := time.Now()
		for i := range 10 {
			_, err := p.Connect(t.Context())
			if e := verdict.From(err); err == nil || e.Verdict != verdict.NotRun {
				t.Fatalf("caller %d: %v", i, err)
			}
		}
		if waited := time.Since(began); waited > p.config.Timing.HelloTimeout {
			t.Errorf("ten callers waited for %s", waited)
		}
		time.Sleep(2 * time.Second)
		_, _ = p.Connect(t.Context()) // starts the second dial, which hangs as well
		time.Sleep(2 * time.Second)
		_, _ = p.Connect(t.Context())
		time.Sleep(time.Second)
		if _, err := p.Connect(t.Context()); err != nil {
			t.Errorf("still unreachable: %v", err)
		}
		closePeer(p)
	})
}

// A router stops while one caller waits for a reply that never arrives, another
// reads a stream and a third waits for a connection to another sidecar. All must
// return, and no goroutine or connection may be left.
func TestCloseUnblocksAllWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		openBefore := openConnections.Value()
		n := &testNetwork{sidecar: newFakeSidecar()}
		p := NewPeer(PeerConfig{Dial: n.dial})
		hanging := NewPeer(PeerConfig{Dial: func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		s, err := n.newReader(p, 1, steadyScript(1000, 1)).open(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		n.sidecar.noReply.Store(true)
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = n.newReader(p, 2, nil).open(t.Context()) })
		wg.Go(func() { _, _ = hanging.Connect(t.Context()) })
		wg.Go(func() {
			for err == nil {
				_, err = s.Next(t.Context())
			}
		})
		time.Sleep(5 * time.Second)
		p.Close()
		hanging.Close()
		wg.Wait()
		if _, err := p.Connect(t.Context()); verdict.From(err).Verdict != verdict.NotRun {
			t.Errorf("after Close: %v", err)
		}
		time.Sleep(time.Hour) // until the fake sidecar's script has ended
		synctest.Wait()
		if left := openConnections.Value() - openBefore; left != 0 {
			t.Errorf("%d connections count as open", left)
		}
	})
}

// A router has stopped reading. The sidecar's write to it must time out and close
// the connection, since all streams of that router share it.
func TestWriteToStalledPeerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		c := NewConn(context.Background(), near, newFakeSidecar())
		if err := c.Send(Head{Status: 200}); err == nil {
			t.Error("a write to a peer that does not read succeeded")
		}
		<-c.Done()
	})
}

// A router keeps thousands of mostly idle connections. With Go's default the kernel
// would probe each of them every fifteen seconds, which alone would exceed a
// router's limit for control traffic. The setting must reach the TCP connection
// through the wrappers for TLS and for byte counting.
func TestIdleConnectionsAreNotProbed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	// Without InsecureSkipVerify the handshake would fail for lack of a server name and
	// close the connection during the test.
	config := &tls.Config{InsecureSkipVerify: true}
	c := NewConn(context.Background(), tls.Client(tls.Client(raw, config), config), newFakeSidecar())
	defer c.Close()
	sys, err := raw.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var idle int
	if err := sys.Control(func(fd uintptr) {
		idle, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)
	}); err != nil {
		t.Fatal(err)
	}
	if after := time.Duration(idle) * time.Second; err != nil || after <= DefaultTiming().IdleTimeout {
		t.Errorf("probed after %s: %v", after, err)
	}
}

// The router's process is stopped for a minute and continues. It has read nothing in
// the meantime, although the sidecars may be healthy: no connection may be closed
// before its sidecar has been pinged again and has not answered in time.
func TestOwnPauseDoesNotMarkPeerLost(t *testing.T) {
	timing := DefaultTiming()
	start := time.Unix(1000, 0)
	p := liveness{lastCheck: start, lastPong: start}
	p.recordPing(start, timing.PongTimeout)
	after := start.Add(time.Minute)
	if got := p.check(timing, after, start, true); got != actionPing {
		t.Fatalf("after a pause: %d", got)
	}
	p.recordPing(after, timing.PongTimeout)
	for now := after; now.Before(after.Add(timing.PongTimeout)); now = now.Add(timing.checkInterval()) {
		if got := p.check(timing, now, start, true); got != actionNone {
			t.Fatalf("%s later: %d", now.Sub(after), got)
		}
	}
	if got := p.check(timing, after.Add(timing.PongTimeout), start, true); got != actionClose {
		t.Fatalf("after PongTimeout: %d", got)
	}
}

// rogueSidecar sends the given frames on each submit, valid or not.
type rogueSidecar struct {
	frames   []Frame
	detached atomic.Uint32 // stream id of the last Detach
}

func (r *rogueSidecar) HandleCall(_ context.Context, c *Conn, m Method, _ Params) (any, error) {
	if m == MethodSubmit {
		go func() {
			for _, f := range r.frames {
				_ = c.Send(f)
				time.Sleep(time.Millisecond)
			}
		}()
	}
	return Admission{}, nil
}

func (r *rogueSidecar) HandleFrame(_ *Conn, f Frame) {
	if d, ok := f.(Detach); ok {
		r.detached.Store(uint32(d.Stream))
	}
}

func (r *rogueSidecar) dial(context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	NewConn(context.Background(), far, r)
	return near, nil
}

// A router closes a stream before the sidecar has started to send it, so the Detach
// arrives too early and stops nothing. Once frames arrive, the router must send
// another Detach, or the sidecar keeps a sender without a reader.
func TestLateFramesAreAnsweredWithDetach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &rogueSidecar{frames: []Frame{Head{Stream: 77, Status: 200}}}
		p := NewPeer(PeerConfig{Dial: r.dial})
		_, _, _ = p.Submit(t.Context(), Submit{})
		time.Sleep(time.Second)
		if r.detached.Load() != 77 {
			t.Error("no Detach was sent for the late frames")
		}
		closePeer(p)
	})
}

// A sidecar sends more than its credit allows to a caller that does not read. The
// router must not buffer the excess.
func TestStreamBuffersNoMoreThanItsCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &rogueSidecar{frames: []Frame{Head{Stream: 1, Status: 200}, Data{Stream: 1, Bytes: make([]byte, 9)}}}
		p := NewPeer(PeerConfig{Dial: r.dial})
		s, _, err := p.Submit(t.Context(), Submit{Window: 8})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = s.Next(t.Context())
		if piece, err := s.Next(t.Context()); err == nil {
			t.Errorf("received %d bytes beyond the credit", len(piece.Bytes))
		}
		closePeer(p)
	})
}

// A faulty sidecar sends frames of other requests, or its frames are repeated, out of
// order or missing. The caller must receive a prefix of its own response, followed
// either by the rest of it or by an error that the stream is broken.
func TestStreamDeliversOnlyConsistentFrames(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mine, other := token.Nonce{1}, token.Nonce{2}
		response := []byte("0123456789")[:rapid.SampledFrom([]int{0, 10}).Draw(rt, "length")]
		frame := rapid.Custom(func(t *rapid.T) Frame {
			nonce := rapid.SampledFrom([]token.Nonce{mine, mine, mine, other}).Draw(t, "nonce")
			from := rapid.OneOf(rapid.Just(0), rapid.IntRange(0, len(response))).Draw(t, "from")
			to := rapid.IntRange(from, len(response)).Draw(t, "to")
			content := bytes.Clone(response[from:to])
			if nonce == other {
				content = bytes.Repeat([]byte("x"), len(content))
			}
			return rapid.SampledFrom([]Frame{
				Head{Stream: 1, Nonce: nonce, Status: 200},
				Data{Stream: 1, Nonce: nonce, Offset: int64(from), Bytes: content},
				Data{Stream: 1, Nonce: nonce, Offset: int64(from), Bytes: content},
				End{Stream: 1, Nonce: nonce, Length: int64(len(response))},
			}).Draw(t, "frame")
		})
		frames := rapid.SliceOfN(frame, 1, 12).Draw(rt, "frames")
		if rapid.Bool().Draw(rt, "begins well") {
			frames = append([]Frame{Head{Stream: 1, Nonce: mine, Status: 200}}, frames...)
		}
		r := &responseReader{key: Key{Nonce: mine}, window: 100}
		var complete bool
		synctest.Test(t, func(t *testing.T) {
			p := NewPeer(PeerConfig{Dial: (&rogueSidecar{frames: frames}).dial})
			r.peer = p
			s, err := r.open(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			complete = r.readStream(ctx, s)
			closePeer(p)
		})
		if !bytes.HasPrefix(response, r.got) || r.heads > 1 || r.heads < 1 && (complete || len(r.got) > 0) || complete && len(r.got) < len(response) {
			rt.Errorf("got %q, %d heads, whole %t", r.got, r.heads, complete)
		}
	})
}
