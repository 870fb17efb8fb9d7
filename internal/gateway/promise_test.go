package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/gateway"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// withFleet runs f with a new fleet in a synctest bubble, which has its own clock.
func withFleet(t *testing.T, f func(*testing.T, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(testVMs, testRouters, 64)
		defer fl.close()
		f(t, fl)
	})
}

func (f *fleet) call(router int, profile, body, key string) reply {
	header := http.Header{}
	if key != "" {
		header.Set(gateway.HeaderIdempotencyKey, key)
	}
	return f.send(context.Background(), router, http.MethodPost, "/services/"+profile+"/x", body, header)
}

func (r reply) expect(t *testing.T, status int, verdict, reason string) {
	t.Helper()
	if got := r.header.Get(gateway.HeaderReason); r.status != status || r.verdict != verdict || got != reason {
		t.Fatalf("got %d %s %s, want %d %s %s: %s", r.status, r.verdict, got, status, verdict, reason, r.body)
	}
}

// Every upstream accepts calls and never responds. Without a deadline in the router
// the caller would wait indefinitely.
func TestDeadlineEndsCallToFrozenService(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for _, v := range f.upstreamVMs {
			v.upstream.frozen = true
		}
		began := time.Now()
		r := f.call(0, clips, "fetch", "")
		if took := time.Since(began); took > 2*time.Second {
			t.Fatalf("the call took %s, want at most 2s", took)
		}
		r.expect(t, http.StatusGatewayTimeout, "may-have-run", "deadline")
	})
}

// Connections to the sidecars open, but stall at once, as when their VMs freeze. The
// caller's deadline passes before anything of its request has been sent, so nothing
// has run, and the verdict must be not-run.
func TestDeadlineBeforeSendIsNotRun(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.net.cut(func(*faultyConn) bool { return true })
		f.net.mu.Lock()
		for range 100 {
			f.net.faults = append(f.net.faults, fault{stalls: true})
		}
		f.net.mu.Unlock()
		r := f.call(0, clips, "fetch", "")
		if r.verdict != "not-run" || r.header.Get("Retry-After") == "" {
			t.Fatalf("got verdict %s, Retry-After %q", r.verdict, r.header.Get("Retry-After"))
		}
		time.Sleep(time.Minute)
		if runs := f.runs(); len(runs) != 0 {
			t.Fatalf("requests have run: %v", runs)
		}
	})
}

// Every upstream fails every request. If each request is retried, upstreams get a
// multiple of the traffic and can't recover, so retries must stay within the retry budget.
func TestRetriesDoNotAmplify(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun} {
		t.Run(v.String(), func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				var mu sync.Mutex
				attempts := 0
				fail := func(context.Context, string) error {
					mu.Lock()
					defer mu.Unlock()
					attempts++
					return verdict.New(v, verdict.ReasonUpstreamFailed, "")
				}
				for _, v := range f.upstreamVMs {
					v.upstream.beforeRun = fail
				}
				for requests := 1; requests <= 200; requests++ {
					f.call(0, clips, "fetch", "")
					if attempts > requests && 10*attempts >= 11*requests {
						t.Fatalf("%d attempts for %d requests", attempts, requests)
					}
				}
				if attempts <= 200 {
					t.Fatal("no request was retried")
				}
			})
		})
	}
}

// A booking is sent with an idempotency key that the caller chose. The store's
// response to the claim is lost, and a copy of the request arrives at another router;
// the room must be booked once. While the store is unavailable, the caller must get
// not-run at once, and earlier attempts must be reported as unknown.
func TestCallerChosenKeyRunsAtMostOnce(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.store.update(func(s *store) { s.lostReplies = 1 })
		var wg sync.WaitGroup
		for router := range testRouters {
			wg.Go(func() { f.call(router, booking, "book", "mine").expect(t, http.StatusOK, "ran", "") })
		}
		wg.Wait()
		if n := f.runs()["book"]; n != 1 {
			t.Fatalf("booked %d times", n)
		}
		f.store.update(func(s *store) { s.down = true })
		began := time.Now()
		r := f.call(0, booking, "book", "mine")
		r.expect(t, http.StatusServiceUnavailable, "not-run", "store-down")
		if r.header.Get(gateway.HeaderEarlierAttempts) != "unknown" || r.header.Get("Retry-After") == "" {
			t.Fatalf("response headers %v", r.header)
		}
		if took := time.Since(began); took > time.Second {
			t.Fatalf("the response took %s, want at most 1s", took)
		}
		if n := f.runs()["book"]; n != 1 {
			t.Fatalf("booked %d times", n)
		}
		f.call(0, booking, "without a key", "").expect(t, http.StatusOK, "ran", "")
	})
}

// A caller uses forged keys, or keys and ids of another organisation. All must be
// rejected with the same response, so that it doesn't reveal which keys exist.
func TestForgedAndForeignKeysAreRejectedAlike(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		key := f.mint(0, booking)
		other, err := f.foreignKey()
		if err != nil {
			t.Fatal(err)
		}
		forged := key[:len(key)-2] + strings.Map(func(r rune) rune { return 'A' + (r-'A'+1)%26 }, key[len(key)-2:])
		var bodies []string
		for _, k := range []string{forged, other, "rk-", "rk-" + strings.Repeat("A", 200)} {
			r := f.call(0, booking, "book", k)
			r.expect(t, http.StatusBadRequest, "not-run", "bad-key")
			bodies = append(bodies, string(r.body))
			r = f.send(context.Background(), 0, http.MethodGet, "/v1/requests/"+k+"?offset=0", "", nil)
			r.expect(t, http.StatusNotFound, "not-run", "unknown-request")
		}
		for _, b := range bodies {
			if b != bodies[0] {
				t.Fatalf("responses differ: %s and %s", bodies[0], b)
			}
		}
		if runs := f.runs(); len(runs) != 0 {
			t.Fatalf("requests have run: %v", runs)
		}
	})
}

// A caller is disconnected in the middle of a response and fetches the rest through
// another router. Each byte must arrive once, and the request must not run again.
func TestResponseIsResumedThroughAnotherRouter(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		ctx, disconnect := context.WithTimeout(context.Background(), 4*responseInterval)
		defer disconnect()
		first := f.send(ctx, 0, http.MethodPost, "/services/"+booking+"/x", "book", nil)
		id := first.header.Get(gateway.HeaderRequestID)
		result := copyResult{body: "book", first: first, received: first.body}
		result.resume(f, 1)
		if id == "" || len(first.body) == 0 || !result.complete || string(result.received) != string(expectedBody("book")) {
			t.Fatalf("%d bytes at first, %d in total, complete: %v", len(first.body), len(result.received), result.complete)
		}
		if n := f.runs()["book"]; n != 1 {
			t.Fatalf("booked %d times", n)
		}
	})
}

// One request crashes each upstream that runs it, and its caller retries it at once
// through different routers, while other calls run at the same upstreams. Without
// quarantine all upstreams would crash one after the other. Quarantine must not
// convict the other calls that ran on an upstream that crashed.
func TestCrashingRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		var wg sync.WaitGroup
		for i := range 30 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 200 * time.Millisecond)
				body := fmt.Sprint("bystander ", i)
				if r := f.call(i%testRouters, clips, body, ""); r.header.Get(gateway.HeaderReason) == "quarantined" {
					t.Errorf("%s was convicted", body)
				}
			})
		}
		var last reply
		for i := range 40 {
			last = f.call(i%testRouters, clips, poison, "")
			time.Sleep(20 * time.Millisecond)
			if last.header.Get("Retry-After") != "" {
				time.Sleep(time.Second)
			}
		}
		wg.Wait()
		last.expect(t, http.StatusUnprocessableEntity, "not-run", "quarantined")
		if n := f.runs()[poison]; n > 2 {
			t.Fatalf("%d upstreams crashed, want at most 2", n)
		}
	})
}

// The session's home upstream is down for a moment, so the crashing request runs at
// the next one, and its caller retries through a router that has not received any
// report of the crash, when the home is up again. If the home were not informed of
// the crash before the caller gets its response, each of the two routers would know
// of its own crash only, and a third upstream would crash.
func TestCrashIsReportedToHomeBeforeCaller(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		header := http.Header{gateway.HeaderSession: {"s"}}
		send := func(router int, body string) reply {
			return f.send(context.Background(), router, http.MethodPost, "/services/"+booking+"/x", body, header)
		}
		send(0, "who is home")
		var home *vm
		for _, v := range f.upstreamVMs {
			if v.upstream.ran("who is home") {
				home = v
			}
		}
		home.upstream.mu.Lock()
		home.upstream.downUntil = time.Now().Add(2 * time.Second)
		home.upstream.mu.Unlock()
		for i := range 12 {
			send(i%testRouters, poison)
			time.Sleep(time.Second)
		}
		if n := f.runs()[poison]; n != 2 {
			t.Fatalf("%d upstreams crashed, want 2", n)
		}
	})
}

// An upstream is drained by an order, or the list of VMs marks it as leaving, while
// one router has a stale store and list and still dispatches requests to it. The
// upstream must run no new requests, and those in flight must end successfully.
func TestLeavingUpstreamGetsNoNewWorkFromAStaleRouter(t *testing.T) {
	sources := map[string]func(*fleet, *vm){
		"drain order": func(f *fleet, v *vm) { f.store.put(topo.KindDrain, v.id, profile.Drain{Name: v.id}) },
		"list of VMs": func(f *fleet, v *vm) {
			f.vmList.set(topo.VM{ID: v.id, Role: topo.RoleUpstream, Addr: v.id, Pool: "p", Leaving: true})
		},
	}
	for name, startDrain := range sources {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				staleRouter := len(f.gateways)
				f.startRouter("stale", f.store.clone(), f.vmList.clone())
				time.Sleep(3 * time.Second)
				v := f.upstreamVMs[0]
				var inFlight sync.WaitGroup
				for i := range 9 {
					inFlight.Go(func() { f.call(staleRouter, booking, fmt.Sprint("before ", i), "").expect(t, http.StatusOK, "ran", "") })
				}
				time.Sleep(responseInterval)
				startDrain(f, v)
				inFlight.Wait()
				time.Sleep(4 * time.Second)
				for i := range 30 {
					body := fmt.Sprint("after ", i)
					f.call(staleRouter, booking, body, "").expect(t, http.StatusOK, "ran", "")
					if v.upstream.ran(body) {
						t.Fatalf("%s ran at the upstream that is leaving", body)
					}
				}
			})
		})
	}
}

// Routers are replaced while the store is unavailable. A router that starts then
// can't read the configuration from the store. If it rejected its callers, they would
// get no service during the whole outage although every upstream is healthy.
func TestRouterStartedDuringStoreOutageServes(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for i := range 9 { // makes routers and sidecars exchange configuration
			f.call(i%testRouters, booking, fmt.Sprint("before ", i), "").expect(t, http.StatusOK, "ran", "")
		}
		time.Sleep(10 * time.Second)
		f.store.update(func(s *store) { s.down = true })
		lateRouter := len(f.gateways)
		f.startRouter("late", f.store, f.vmList)
		time.Sleep(5 * time.Second)
		f.call(lateRouter, booking, "first", "").expect(t, http.StatusOK, "ran", "")
		time.Sleep(20 * time.Minute) // longer than request keys are valid
		f.call(lateRouter, booking, "second", f.mint(lateRouter, booking)).expect(t, http.StatusOK, "ran", "")
		f.store.update(func(s *store) { s.down = false })
		f.store.put(topo.KindOrganisation, "other", profile.Organisation{
			Name: "other", Weight: 1, Profiles: []string{booking}, Keys: []profile.APIKey{{ID: "k", SHA256: profile.HashKey("other-key")}},
		})
		time.Sleep(7 * time.Second)
		header := http.Header{"Authorization": {"Bearer other-key"}}
		f.send(f.ctx, lateRouter, http.MethodPost, "/services/"+booking+"/x", "third", header).expect(t, http.StatusOK, "ran", "")
	})
}

// A request was convicted of crashing upstreams, and later every VM of the fleet is
// replaced while its caller still retries it. If the conviction were lost with the
// VMs, two more upstreams would crash after each replacement.
func TestConvictionSurvivesReplacementOfEveryVM(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for i := range 10 {
			f.call(i%testRouters, booking, poison, "")
			time.Sleep(time.Second)
		}
		before := f.runs()[poison]
		for _, stop := range f.stopRouters {
			stop()
		}
		for _, v := range f.upstreamVMs {
			f.restart(v)
		}
		lateRouter := len(f.gateways)
		f.startRouter("late", f.store, f.vmList)
		time.Sleep(5 * time.Second)
		f.call(lateRouter, booking, poison, "").expect(t, http.StatusUnprocessableEntity, "not-run", "quarantined")
		if n := f.runs()[poison]; n != before || n > 2 {
			t.Fatalf("%d upstreams crashed, %d of them before", n, before)
		}
	})
}

// The only upstream of a pool closes its idle connections, as it does when certificates
// change, while a request is being written to one of them. If nothing of the request has
// been sent, the router must use a new connection, which works, instead of returning an
// error to the caller.
func TestRequestSurvivesConnectionClosedDuringSend(t *testing.T) {
	for sentBytes := range 400 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(1, 1, 64)
			defer f.close()
			f.net.cut(func(*faultyConn) bool { return true })
			f.net.mu.Lock()
			f.net.faults = []fault{{toSidecar: sentBytes, toRouter: -1}}
			f.net.mu.Unlock()
			r := f.call(0, booking, "book", "")
			if strings.Contains(string(r.body), `"detail":"not sent`) {
				t.Fatalf("cut after %d bytes: %s", sentBytes, r.body)
			}
		})
	}
}
