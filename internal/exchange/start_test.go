package exchange_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// reportDialect is plainDialect with upstreams that report their start as a number.
type reportDialect struct{ plainDialect }

func (reportDialect) StartPath() string { return "/start" }
func (reportDialect) ReadStart(report []byte) (int64, error) {
	return strconv.ParseInt(string(report), 10, 64)
}

// Guards against an upstream that does not say when it started, or says it without end, being taken for the same.
func TestStartOfUpstreamIsAsked(t *testing.T) {
	for name, c := range map[string]struct {
		answer http.HandlerFunc
		want   int64
	}{
		"said":       {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "7") }, 7},
		"refused":    {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, 0},
		"else":       {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "later") }, 0},
		"too much":   {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "7"+strings.Repeat(" ", 1<<20)) }, 0},
		"not at all": {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.answer)
			defer server.Close()
			client := exchange.NewClient(reportDialect{}, exchange.Dialer())
			vm := topo.VM{ID: "vm", Addr: server.Listener.Addr().(*net.TCPAddr).String()}
			for range 2 { // the second time over the connection of the first
				got, err := client.AskStart(context.Background(), vm)
				if got != c.want || (err == nil) != (c.want != 0) {
					t.Errorf("%d, %v", got, err)
				}
			}
		})
	}
}
