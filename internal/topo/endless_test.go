package topo_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// endlessStore answers each call with begin and then with rest over and over, up to maxBytes, and counts what is read.
type endlessStore struct {
	begin, rest string
	maxBytes    int64
	read        atomic.Int64
	ended       chan struct{}
}

func (s *endlessStore) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer close(s.ended)
		defer server.Close()
		if _, err := server.Read(make([]byte, 64<<10)); err != nil {
			return
		}
		piece, rest := s.begin, strings.Repeat(s.rest, 1+(64<<10)/len(s.rest))
		for s.read.Load() < s.maxBytes {
			n, err := fmt.Fprint(server, piece)
			s.read.Add(int64(n))
			if err != nil {
				return
			}
			piece = rest
		}
	}()
	return client, nil
}

// Guards against a router that exceeds its memory because of what answers in the store's place: the smallest router has
// 184 MB, and reads from the store by two calls at a time.
func TestResponsesOfTheStoreAreBounded(t *testing.T) {
	const headBytes, bodyBytes = 256 << 10, 184 << 20 / 2 / 4
	ref := topo.Ref{Kind: topo.KindPool, Name: "a"}
	get := func(ctx context.Context, h *topo.HTTP) error { _, err := h.Get(ctx, ref); return err }
	list := func(ctx context.Context, h *topo.HTTP) error { _, err := h.List(ctx, ref.Kind, ""); return err }
	watch := func(ctx context.Context, h *topo.HTTP) error {
		_, err := h.Watch(ctx, []topo.Kind{ref.Kind}, 1, time.Second)
		return err
	}
	for _, c := range []struct {
		name, begin, rest string
		call              func(context.Context, *topo.HTTP) error
		maxBytes          int64
		want              error
	}{
		{"no response", "", "objects\x00", get, headBytes, topo.ErrRefused},
		{"header without end", "HTTP/1.1 200 OK\r\nX: ", "y", list, headBytes, topo.ErrRefused},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", list, headBytes, topo.ErrRefused},
		{"object", "HTTP/1.1 200 OK\r\n\r\n", " ", get, 2 << 20, topo.ErrRefused},
		{"page", "HTTP/1.1 200 OK\r\n\r\n", " ", list, bodyBytes, topo.ErrRefused},
		{"changes, of which a listing tells the latest", "HTTP/1.1 200 OK\r\n\r\n", " ", watch, bodyBytes, topo.ErrCompacted},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &endlessStore{begin: c.begin, rest: c.rest, maxBytes: 2 * c.maxBytes, ended: make(chan struct{})}
			err := c.call(context.Background(), topo.NewHTTPWithDialer("http://store", s.dial))
			if !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			<-s.ended
			if read := s.read.Load(); read > c.maxBytes {
				t.Errorf("%d bytes were read, want at most %d", read, c.maxBytes)
			}
		})
	}
}

// Guards against a listing that never ends, because a page continues where it began.
func TestPageThatContinuesAtItselfIsRefused(t *testing.T) {
	withPipeServer(t, `{"objects":[],"continue":"a"}`, func(h *topo.HTTP) {
		page, err := h.List(context.Background(), topo.KindPool, "")
		if err != nil || page.Continue != "a" {
			t.Fatalf("page %+v, error %v", page, err)
		}
		if _, err := h.List(context.Background(), topo.KindPool, page.Continue); !errors.Is(err, topo.ErrRefused) {
			t.Errorf("error %v", err)
		}
	})
}

// withPipeServer runs f with a client of a store that answers all calls alike.
func withPipeServer(t *testing.T, body string, f func(*topo.HTTP)) {
	n := &pipeNetwork{accepted: make(chan net.Conn), silence: new(atomic.Bool)}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, body) })}
	go func() { _ = server.Serve(n) }()
	defer server.Close()
	defer close(n.accepted)
	f(topo.NewHTTPWithDialer("http://store", n.dial))
}
