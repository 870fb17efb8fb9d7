package exchange_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// statusDialect is plainDialect with rejections by status.
type statusDialect struct{ plainDialect }

func (statusDialect) Read(status int, h http.Header) exchange.Signal {
	misdirected := status == http.StatusMisdirectedRequest
	return exchange.Signal{ID: h.Get("Id"), NotRun: misdirected || status == http.StatusServiceUnavailable, Misdirected: misdirected}
}

// Another upstream has the address of one that is gone, and rejects calls for it. Guards against taking that
// for a word of the one that was called.
func TestRejectionsOnNewConnectionsProveNothing(t *testing.T) {
	for _, c := range []struct {
		name     string
		statuses []int // of the answers to the calls on one connection
		want     []bool
	}{
		{"rejected on a new connection", []int{503}, []bool{false}},
		{"misdirected", []int{421}, []bool{false}},
		{"answered", []int{200}, []bool{true}},
		{"an error of its own", []int{500}, []bool{true}},
		{"rejected on a connection on which it has answered", []int{200, 503}, []bool{true, true}},
		{"rejected twice", []int{503, 503}, []bool{false, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			next := 0
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				w.WriteHeader(c.statuses[next])
				next++
			})}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = server.Close() })
			go func() { _ = server.Serve(l) }()
			client := exchange.NewClient(statusDialect{}, exchange.Dialer())
			for i, want := range c.want {
				call := exchange.Call{Call: wire.Call{Method: http.MethodPost, Path: "/"}, ID: strconv.Itoa(i)}
				s, err := client.Do(context.Background(), topo.VM{ID: "vm", Addr: l.Addr().String()}, call, func(time.Time) bool { return true })
				if err != nil {
					t.Fatal(err)
				}
				s.Drain()
				if s.Signal.Proven != want {
					t.Errorf("call %d, status %d: proven %v", i, s.Status(), s.Signal.Proven)
				}
			}
		})
	}
}
