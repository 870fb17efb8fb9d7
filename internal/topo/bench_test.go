package topo_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// metered is a connection that adds the bytes it transfers to a sum.
type metered struct {
	net.Conn
	sum *atomic.Int64
}

func (m metered) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	m.sum.Add(int64(n))
	return n, err
}

func (m metered) Write(b []byte) (int, error) {
	n, err := m.Conn.Write(b)
	m.sum.Add(int64(n))
	return n, err
}

// BenchmarkStore measures the bytes of store calls over loopback, headers included: an
// idle watch, watches with changes of 600 bytes, a listing, and a put with its get.
func BenchmarkStore(b *testing.B) {
	api := standin.NewObjectAPI()
	mux := http.NewServeMux()
	api.Register(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	var sum atomic.Int64
	h := topo.NewHTTPWithDialer(server.URL, func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		return metered{c, &sum}, err
	})
	value := json.RawMessage(`"` + strings.Repeat("x", 598) + `"`)
	const objectCount = 5000
	for i := range objectCount {
		if _, err := api.Put(b.Context(), topo.Ref{Kind: "organisation", Name: fmt.Sprintf("organisation-%05d", i)}, value, 0); err != nil {
			b.Fatal(err)
		}
	}
	kinds := []topo.Kind{topo.KindProfile, topo.KindOrganisation, topo.KindPool, topo.KindDrain}
	measure := func(name string, per float64, unit string, call func() error) {
		b.Run(name, func(b *testing.B) {
			before := sum.Load()
			for b.Loop() {
				if err := call(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(sum.Load()-before)/float64(b.N)/per, unit)
		})
	}
	for _, changes := range []int{0, 1, 10, 100} {
		measure(fmt.Sprintf("watch/changes=%d", changes), 1, "B/call", func() error {
			_, err := h.Watch(b.Context(), kinds, topo.Version(objectCount-changes), time.Millisecond)
			return err
		})
	}
	measure("list/objects=5000", objectCount, "B/object", func() error {
		for cont := ""; ; {
			p, err := h.List(b.Context(), topo.KindOrganisation, cont)
			if cont = p.Continue; err != nil || cont == "" {
				return err
			}
		}
	})
	measure("put", 1, "B/call", func() error {
		o, err := h.Get(b.Context(), topo.Ref{Kind: "organisation", Name: "organisation-00000"})
		if err == nil {
			_, err = h.Put(b.Context(), o.Ref, value, o.Version)
		}
		return err
	})
}
