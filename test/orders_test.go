package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/parsleyfront/parsleyfront/internal/controller"
	"github.com/parsleyfront/parsleyfront/internal/lease"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/secure"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// getJSON requests a URL and decodes the JSON response.
func getJSON[T any](url string) T {
	GinkgoHelper()
	resp, err := http.Get(url)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var v T
	Expect(json.NewDecoder(resp.Body).Decode(&v)).To(Succeed())
	return v
}

// leaseHolder returns the VM of the router that holds the controller's lease, and its fencing
// token; zero values: nobody holds it.
func (f *fleet) leaseHolder() (string, wire.FencingToken) {
	o, err := f.store.Get(context.Background(), topo.Ref{Kind: topo.KindLease, Name: controller.LeaseName})
	if err != nil {
		return "", 0
	}
	var r lease.Record
	Expect(json.Unmarshal(o.Value, &r)).To(Succeed())
	vm, _, _ := strings.Cut(r.Holder, "/")
	return vm, lease.TokenOf(r, o.Version)
}

// sendOrder sends an order to a sidecar as a router would.
func (f *fleet) sendOrder(vm *upstreamVM, o wire.Order) wire.OrderStatus {
	GinkgoHelper()
	id := secure.Identity{Role: secure.RoleRouter, VM: "entry-9"}
	client, err := secure.NewMutualTLS(id, trustDomain, f.trust.issue(id))
	Expect(err).NotTo(HaveOccurred())
	peer := wire.NewPeer(wire.PeerConfig{Dial: func(ctx context.Context) (net.Conn, error) {
		return client.Dial(ctx, vm.id, vm.sidecar.addr)
	}})
	defer peer.Close()
	var status wire.OrderStatus
	Expect(peer.Call(context.Background(), wire.MethodOrder, o, &status)).To(Succeed())
	return status
}

var _ = Describe("orders", func() {
	// A new model version is being rolled out when the router that gives the orders freezes.
	// Another router takes the lease and continues. The first one then wakes up and still assumes
	// that it holds the lease. If its orders were accepted, engines would load twice or go back to
	// the old version, and the weight store would be used beyond its rate limit. Two of the four
	// engines ignore fencing tokens.
	It("are accepted only from the holder of the lease", func() {
		weightsAddr := freeAddr()
		start(standinPath, weightsAddr, "--kind", "weights", "--listen", weightsAddr, "--load-every", "900ms")
		f := newFleet()
		for i := range 4 {
			settings := []string{"--weights", "http://" + weightsAddr}
			if i%2 == 0 {
				settings = append(settings, "--fences")
			}
			f.addUpstream("engine", "notes", settings...)
		}
		for i := range 3 {
			r := f.addRouter("--lease-ttl", "2s", "--weight-load-interval", "1s")
			f.registerVM(topo.VM{ID: fmt.Sprintf("entry-%d", i), Role: topo.RoleRouter, Addr: r.addr})
		}
		Eventually(func() string { vm, _ := f.leaseHolder(); return vm }, waitTimeout, 50*time.Millisecond).ShouldNot(BeEmpty())
		f.put(topo.Ref{Kind: topo.KindPool, Name: "notes"},
			profile.Pool{Name: "notes", Model: model, Version: "2", Role: profile.EngineMixed, MaxUnavailable: 0.25})

		ordersTaken := func() int {
			n := 0
			for _, vm := range f.upstreams {
				n += len(getJSON[[]wire.Order]("http://" + vm.upstream.addr + "/debug/orders"))
			}
			return n
		}
		Eventually(ordersTaken, waitTimeout, 20*time.Millisecond).Should(BeNumerically(">=", 1))
		frozenVM, oldToken := f.leaseHolder()
		var frozen *process
		for i, r := range f.routers {
			if fmt.Sprintf("entry-%d", i) == frozenVM {
				frozen = r
			}
		}
		frozen.session.Signal(syscall.SIGSTOP)
		Eventually(func() wire.FencingToken { _, t := f.leaseHolder(); return t }, waitTimeout, 50*time.Millisecond).Should(BeNumerically(">", oldToken))
		Eventually(ordersTaken, waitTimeout, 50*time.Millisecond).Should(Equal(len(f.upstreams)))
		frozen.session.Signal(syscall.SIGCONT)

		for i, vm := range f.upstreams {
			old := wire.Order{ID: "old", Token: oldToken, Action: wire.OrderPrepare, Want: wire.ModelSpec{Model: model, Version: "1"}}
			status := f.sendOrder(vm, old)
			Expect(status.Error).NotTo(BeNil(), "engine %d accepted an order with an old token", i)
			Expect(status.Error.Reason).To(Equal(verdict.ReasonFenced))
		}
		Eventually(func() []string {
			var versions []string
			for _, vm := range f.upstreams {
				versions = append(versions, getJSON[wire.OrderStatus]("http://"+vm.upstream.addr+"/orders").Loaded.Version)
			}
			return versions
		}, waitTimeout, 50*time.Millisecond).Should(HaveEach("2"))
		for _, vm := range f.upstreams {
			Expect(getJSON[[]wire.Order]("http://" + vm.upstream.addr + "/debug/orders")).To(HaveLen(1))
		}
		report := getJSON[standin.WeightReport]("http://" + weightsAddr + "/debug/weights")
		Expect(report.Loads).To(Equal(len(f.upstreams)))
		Expect(report.Violations).To(BeZero())
	})
})
