package ctl

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/admin"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// upToDateNode is a router at which every change is in force at once.
type upToDateNode struct{ vms func() []topo.VM }

func (upToDateNode) Status(bool) admin.Status                             { return admin.Status{} }
func (upToDateNode) Changed() <-chan struct{}                             { return nil }
func (upToDateNode) Complete() topo.Version                               { return 1 << 60 }
func (upToDateNode) Rejected() []topo.Ref                                 { return nil }
func (upToDateNode) Refresh()                                             {}
func (n upToDateNode) VMs() []topo.VM                                     { return n.vms() }
func (upToDateNode) InForce(topo.Ref) admin.InForce                       { return admin.InForce{Version: 1 << 60} }
func (upToDateNode) Explain(admin.Query) (e admin.Explanation, err error) { return e, err }

// counts holds the number of calls of a handler and the bytes of their bodies.
type counts struct{ calls, bytes atomic.Int64 }

type countingWriter struct {
	http.ResponseWriter
	counts *counts
}

func (w countingWriter) Write(b []byte) (int, error) {
	w.counts.bytes.Add(int64(len(b)))
	return w.ResponseWriter.Write(b)
}

func (c *counts) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.calls.Add(1)
		c.bytes.Add(max(r.ContentLength, 0))
		h.ServeHTTP(countingWriter{w, c}, r)
	})
}

// BenchmarkApplyWait measures parsleyctl apply --wait with one profile: the
// calls to the store and to the routers, and the bytes of their bodies. It
// names the router to call, because all routers share this process's limit of
// open files; without --router the command reads the list of VMs once more.
func BenchmarkApplyWait(b *testing.B) {
	for _, n := range []int{10, 100, 330} {
		b.Run(fmt.Sprintf("routers=%d", n), func(b *testing.B) {
			var store, routers counts
			url, router := startPlatform(b, n, &store, &routers)
			dir := b.TempDir()
			run := func(deadline int) {
				file := filepath.Join(dir, "objects.yaml")
				text := fmt.Sprintf("{kind: pool, name: p, model: m, version: '1'}\n---\n{kind: profile, name: chat, pool: p, model: m, deadline: %ds}\n", deadline)
				if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
					b.Fatal(err)
				}
				var errOut bytes.Buffer
				args := []string{"--platform", url, "--router", router, "apply", "--wait", file}
				if code := Run(context.Background(), args, io.Discard, &errOut); code != ExitOK {
					b.Fatal(code, errOut.String())
				}
			}
			for i := range historyFillCount {
				run(100 + i) // fill the object's history
			}
			store, routers = counts{}, counts{}
			for i := 0; b.Loop(); i++ {
				run(1000 + i)
			}
			per := func(c *atomic.Int64) float64 { return float64(c.Load()) / float64(b.N) }
			b.ReportMetric(per(&store.calls), "store-calls/op")
			b.ReportMetric(per(&store.bytes), "store-B/op")
			b.ReportMetric(per(&routers.calls), "router-calls/op")
			b.ReportMetric(per(&routers.bytes), "router-B/op")
		})
	}
}

// historyFillCount is the number of changes that fill an object's history. It is
// larger than the number that the history keeps.
const historyFillCount = 25

// startPlatform starts a platform with n listed routers. It returns its URL and
// the address of one router.
func startPlatform(b *testing.B, n int, store, routers *counts) (url, router string) {
	mux := http.NewServeMux()
	list := standin.NewVMList()
	standin.NewObjectAPI().Register(mux)
	list.Register(mux)
	var vms []topo.VM
	node := upToDateNode{vms: func() []topo.VM { return vms }}
	for i := range n {
		vm := topo.VM{ID: fmt.Sprintf("entry-%d", i), Role: topo.RoleRouter}
		server := httptest.NewServer(routers.wrap(admin.NewServer(admin.Config{VM: vm.ID, Node: node})))
		b.Cleanup(server.Close)
		vm.AdminAddr = strings.TrimPrefix(server.URL, "http://")
		vms = append(vms, vm)
		list.Set(vm)
	}
	server := httptest.NewServer(store.wrap(mux))
	b.Cleanup(server.Close)
	return server.URL, vms[0].AdminAddr
}
