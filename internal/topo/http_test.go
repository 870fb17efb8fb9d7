package topo_test

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// pipeNetwork connects clients to one server by in-memory connections.
type pipeNetwork struct {
	accepted chan net.Conn
	dials    int
	down     bool
	silence  *atomic.Bool // silences the connections that are opened from now on
}

// silenceableConn is a connection that a middlebox may silently drop: writes are lost
// and no response arrives.
type silenceableConn struct {
	net.Conn
	silent *atomic.Bool
}

func (m silenceableConn) Write(b []byte) (int, error) {
	if m.silent.Load() {
		return len(b), nil
	}
	return m.Conn.Write(b)
}

func (p *pipeNetwork) dial(context.Context, string, string) (net.Conn, error) {
	if p.down {
		return nil, errors.New("unreachable")
	}
	p.dials++
	clientEnd, serverEnd := net.Pipe()
	p.accepted <- serverEnd
	return silenceableConn{clientEnd, p.silence}, nil
}

func (p *pipeNetwork) Accept() (net.Conn, error) {
	c, open := <-p.accepted
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *pipeNetwork) Close() error   { return nil }
func (p *pipeNetwork) Addr() net.Addr { return &net.UnixAddr{} }

// withPipeClient runs f with a client of an object API over a pipeNetwork, in virtual time.
func withPipeClient(t *testing.T, f func(*testing.T, *pipeNetwork, *standin.ObjectAPI, *topo.HTTP)) {
	synctest.Test(t, func(t *testing.T) {
		api := standin.NewObjectAPI()
		mux := http.NewServeMux()
		api.Register(mux)
		mux.HandleFunc("PUT /v1/objects/huge/{name}", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(strings.Repeat(" ", 2<<20)))
		})
		mux.HandleFunc("PUT /v1/objects/proxy/{name}", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadGateway)
		})
		n := &pipeNetwork{accepted: make(chan net.Conn), silence: new(atomic.Bool)}
		server := &http.Server{Handler: mux}
		go func() { _ = server.Serve(n) }()
		f(t, n, api, topo.NewHTTPWithDialer("http://store", n.dial))
		close(n.accepted)
		_ = server.Close()
		synctest.Wait()
	})
}

var ref = topo.Ref{Kind: topo.KindProfile, Name: "chat"}

// Guards against a router falling behind while the store works, because a middlebox has
// silently dropped a connection: what is sent on it is lost, without an error. A read is
// repeated on a new connection, a watch ends shortly after its wait, and writes never
// reuse a connection, so that their outcome does not become unknown.
func TestSilentConnectionsAreAbandoned(t *testing.T) {
	withPipeClient(t, func(t *testing.T, n *pipeNetwork, _ *standin.ObjectAPI, h *topo.HTTP) {
		ctx := t.Context()
		o, err := h.Put(ctx, ref, json.RawMessage(`1`), 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := h.Get(ctx, ref); err != nil {
			t.Fatal(err)
		}
		if _, err := h.Watch(ctx, []topo.Kind{ref.Kind}, 0, time.Second); err != nil {
			t.Fatal(err)
		}
		n.silence.Store(true)
		n.silence = new(atomic.Bool)
		if _, err := h.Put(ctx, ref, json.RawMessage(`2`), o.Version); err != nil {
			t.Errorf("write while idle connections are silent: %s", err)
		}
		if got, err := h.Get(ctx, ref); err != nil || string(got.Value) != "2" {
			t.Errorf("read on a silent connection: %s, %v", got.Value, err)
		}
		start := time.Now()
		if _, err := h.Watch(ctx, []topo.Kind{ref.Kind}, 0, 2*time.Second); err == nil {
			t.Error("watch on a silent connection was answered")
		}
		if took := time.Since(start); took > 3*time.Second {
			t.Errorf("watch on a silent connection ended after %s, want at most 3s", took)
		}
		if p, err := h.Watch(ctx, []topo.Kind{ref.Kind}, 0, 2*time.Second); err != nil || len(p.Objects) == 0 {
			t.Errorf("next watch: %v, %v", p, err)
		}
	})
}

// Guards against the wrong outcome of a write whose response is lost or ambiguous. If it
// counted as refused, an operator would be told that the change was not made although it is
// in force. If a refusal counted as unknown, operators could not retry the write safely.
func TestWriteOutcomes(t *testing.T) {
	withPipeClient(t, func(t *testing.T, n *pipeNetwork, api *standin.ObjectAPI, h *topo.HTTP) {
		one := json.RawMessage(`1`)
		put := func(r topo.Ref, v topo.Version) error {
			_, err := h.Put(t.Context(), r, one, v)
			return err
		}
		check := func(what string, err, want error) {
			t.Helper()
			if !errors.Is(err, want) {
				t.Errorf("%s: %v, want %v", what, err, want)
			}
		}
		api.SetFaults(standin.ObjectFaults{LoseResponses: 1})
		check("response lost after the effect", put(ref, 0), topo.ErrUnknown)
		check("made again", put(ref, 0), topo.ErrConflict)
		api.SetFaults(standin.ObjectFaults{Down: true})
		check("store down", put(ref, 1), topo.ErrRefused)
		api.SetFaults(standin.ObjectFaults{WritesPerSecond: 0.5})
		check("over the rate", put(ref, 1), topo.ErrRefused)
		api.SetFaults(standin.ObjectFaults{Unresponsive: true})
		check("no response in time", put(ref, 1), topo.ErrUnknown)
		api.SetFaults(standin.ObjectFaults{Delay: profile.Duration(time.Minute)})
		check("too slow", put(ref, 1), topo.ErrUnknown)
		api.SetFaults(standin.ObjectFaults{})
		check("gateway failed", put(topo.Ref{Kind: "proxy", Name: "x"}, 0), topo.ErrUnknown)
		check("response too large", put(topo.Ref{Kind: "huge", Name: "x"}, 0), topo.ErrUnknown)
		n.down = true
		check("no connection", put(ref, 1), topo.ErrRefused)
		n.down = false
		large := json.RawMessage(`"` + strings.Repeat("x", 1<<20) + `"`)
		_, err := h.Put(t.Context(), ref, large, 1)
		check("value too large", err, topo.ErrRefused)
		if o, err := h.Get(t.Context(), ref); err != nil || o.Version != 1 {
			t.Errorf("object after all writes: %v, %v; want version 1", o, err)
		}
	})
}

// Guards against a wrong outcome of writes over TLS, where the platform's certificate is
// signed by the operators' own authority. A client that trusts it can write; one that
// does not sends nothing, so its writes count as refused.
func TestPlatformOverTLS(t *testing.T) {
	mux := http.NewServeMux()
	standin.NewObjectAPI().Register(mux)
	server := httptest.NewTLSServer(mux)
	defer server.Close()
	trusting := server.Client().Transport.(*http.Transport).TLSClientConfig
	for _, c := range []struct {
		config *tls.Config
		want   error
	}{{&tls.Config{}, topo.ErrRefused}, {trusting, nil}} {
		h := topo.NewHTTP(server.URL).WithTLS(func() *tls.Config { return c.config })
		if _, err := h.Put(t.Context(), ref, json.RawMessage(`1`), 0); !errors.Is(err, c.want) {
			t.Errorf("%v, want %v", err, c.want)
		}
	}
}
