package test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// serviceFleet starts a fleet with a plain service that h serves, at the given number of upstreams.
func serviceFleet(upstreams int, p profile.Profile, h http.HandlerFunc) *fleet {
	GinkgoHelper()
	f := newFleet()
	p.Name, p.Pool, p.Service = "search", "search", "search"
	f.put(topo.Ref{Kind: topo.KindProfile, Name: p.Name}, p)
	f.put(topo.Ref{Kind: topo.KindOrganisation, Name: "hostel"},
		profile.Organisation{Name: "hostel", Profiles: []string{p.Name}, Keys: []profile.APIKey{{ID: "k", SHA256: profile.HashKey("hostel-key")}}})
	for i := range upstreams {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"instance":"%d","running":0}`, i)
		})
		mux.HandleFunc("/", h)
		server := httptest.NewServer(mux)
		DeferCleanup(server.CloseClientConnections)
		f.addSidecar(&upstreamVM{id: fmt.Sprintf("vm-%d", i)}, p.Pool, server.URL)
	}
	return f
}

var _ = Describe("a service that fails", func() {
	// Every upstream of a service aborts each call, and callers continue to send. Unlimited retries
	// at one upstream after the other would keep the service overloaded and prevent its recovery.
	It("gets at most a tenth more calls by retries", func() {
		const callers, callsPerCaller = 10, 30
		var attempts atomic.Int64
		f := serviceFleet(3, profile.Profile{Idempotent: true, RetryBudget: 0.1, Deadline: profile.Duration(10 * time.Second)},
			func(http.ResponseWriter, *http.Request) {
				attempts.Add(1)
				panic(http.ErrAbortHandler)
			})
		routers := []*process{f.addRouter(), f.addRouter()}
		var wg sync.WaitGroup
		for c := range callers {
			wg.Go(func() {
				defer GinkgoRecover()
				for i := range callsPerCaller {
					url := fmt.Sprintf("http://%s/services/search/rooms/%d-%d", routers[i%2].addr, c, i)
					got := send(http.MethodGet, url, "hostel-key", nil, nil)
					Expect(got.status).To(BeNumerically(">=", http.StatusInternalServerError))
				}
			})
		}
		wg.Wait()
		Expect(attempts.Load()).To(BeNumerically("<=", callers*callsPerCaller*11/10))
		Expect(attempts.Load()).To(BeNumerically(">", 0))
	})

	// A service accepts calls and never responds. The caller must get a response at the deadline,
	// with the verdict may-have-run, and the call must be cancelled at the service.
	It("holds no call beyond its deadline when it hangs", func() {
		released := make(chan struct{}, 10)
		f := serviceFleet(2, profile.Profile{Idempotent: true, RetryBudget: 0.1, Deadline: profile.Duration(time.Second)},
			func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after that
				<-r.Context().Done()
				released <- struct{}{}
			})
		r := f.addRouter()
		got := send(http.MethodGet, "http://"+r.addr+"/services/search/login", "hostel-key", nil, nil)
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(got.header.Get("Parsley-Verdict")).To(Equal(verdict.MayHaveRun.String()))
		Eventually(released, 5*time.Second).Should(Receive())
	})
})
