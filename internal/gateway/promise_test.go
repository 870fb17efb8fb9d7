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

// withFleet runs f with a fleet on a clock of its own.
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

// The clip service freezes while a coach on the bench fetches a clip: it takes
// the call and never answers. Without a deadline in the router the app hangs
// until the match is over.
func TestDeadlineEndsCallToFrozenService(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for _, v := range f.vm {
			v.upstream.frozen = true
		}
		began := time.Now()
		r := f.call(0, clips, "fetch", "")
		if took := time.Since(began); took > 2*time.Second {
			t.Fatalf("took %s of 2s", took)
		}
		r.expect(t, http.StatusGatewayTimeout, "may-have-run", "deadline")
	})
}

// The sidecar's VM stops dead: connections open and nothing ever answers. The
// caller's deadline passes before anything has been sent for it, so that
// nothing ran, and it is told so.
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
			t.Fatalf("got %s, retry after %q", r.verdict, r.header.Get("Retry-After"))
		}
		time.Sleep(time.Minute)
		if runs := f.runs(); len(runs) != 0 {
			t.Fatalf("ran: %v", runs)
		}
	})
}

// Every upstream fails what it is asked. If each caller's request is tried
// again, the upstreams see a multiple of the traffic and stay down under it.
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
				for _, v := range f.vm {
					v.upstream.beforeRun = fail
				}
				for requests := 1; requests <= 200; requests++ {
					f.call(0, clips, "fetch", "")
					if attempts > requests && 10*attempts >= 11*requests {
						t.Fatalf("%d attempts for %d requests", attempts, requests)
					}
				}
				if attempts <= 200 {
					t.Fatal("nothing was tried again")
				}
			})
		})
	}
}

// A guest's app sends a booking under an idempotency key of its own. The
// store's answer to the claim is lost, the app sends again through another
// router, and the room must be booked once. With the store out, the guest
// hears at once that this request has not run, and that nothing is known of
// earlier ones.
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
			t.Fatalf("headers %v", r.header)
		}
		if took := time.Since(began); took > time.Second {
			t.Fatalf("took %s", took)
		}
		if n := f.runs()["book"]; n != 1 {
			t.Fatalf("booked %d times", n)
		}
		f.call(0, booking, "without a key", "").expect(t, http.StatusOK, "ran", "")
	})
}

// What a caller may try with keys and ids that are not its own, or not ours.
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
				t.Fatalf("answers differ: %s and %s", bodies[0], b)
			}
		}
		if runs := f.runs(); len(runs) != 0 {
			t.Fatalf("ran: %v", runs)
		}
	})
}

// A caller loses its router in mid-answer and comes back for the rest through
// another one. It is the one who holds the answer's beginning, so each byte
// must come once, and the request must not run again.
func TestResponseIsResumedThroughAnotherRouter(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		ctx, disconnect := context.WithTimeout(context.Background(), 4*tick)
		defer disconnect()
		first := f.send(ctx, 0, http.MethodPost, "/services/"+booking+"/x", "book", nil)
		id := first.header.Get(gateway.HeaderRequestID)
		a := copyResult{body: "book", first: first, answer: first.body}
		a.resume(f, 1)
		if id == "" || len(first.body) == 0 || !a.complete || string(a.answer) != string(expectedBody("book")) {
			t.Fatalf("%d bytes at first, %d in all, whole %v", len(first.body), len(a.answer), a.complete)
		}
		if n := f.runs()["book"]; n != 1 {
			t.Fatalf("booked %d times", n)
		}
	})
}

// One request crashes each upstream that runs it. Its caller's app sends it
// again at once, through whichever router answers, while other guests' calls
// run beside it. Without quarantine the whole fleet goes down, one upstream
// after the other; a careless one convicts the bystanders.
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
			t.Fatalf("%d upstreams crashed", n)
		}
	})
}

// The session's home is down for a moment, so the crashing request runs at the
// next upstream. Its caller sends it again through a router that has heard of
// nothing, and the home is back. Unless the home was told before the caller
// was answered, each of two routers goes by its own crash and a third follows.
func TestCrashIsReportedToHomeBeforeCaller(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		header := http.Header{gateway.HeaderSession: {"s"}}
		send := func(router int, body string) reply {
			return f.send(context.Background(), router, http.MethodPost, "/services/"+booking+"/x", body, header)
		}
		send(0, "who is home")
		var home *vm
		for _, v := range f.vm {
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

// An operator drains an upstream, or the list of VMs says that it leaves, while
// one router is cut off from the store and the list: it goes on sending there
// what it always sent. The upstream must get no new work all the same, and what
// it was doing must end well.
func TestLeavingUpstreamGetsNoNewWorkFromAStaleRouter(t *testing.T) {
	sources := map[string]func(*fleet, *vm){
		"drain order": func(f *fleet, v *vm) { f.store.put(topo.KindDrain, v.id, profile.Drain{Name: v.id}) },
		"list of VMs": func(f *fleet, v *vm) {
			f.vms.set(topo.VM{ID: v.id, Role: topo.RoleUpstream, Addr: v.id, Pool: "p", Leaving: true})
		},
	}
	for name, startDrain := range sources {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				stale := len(f.gateways)
				f.startRouter("stale", f.store.clone(), f.vms.clone())
				time.Sleep(3 * time.Second)
				v := f.vm[0]
				var inFlight sync.WaitGroup
				for i := range 9 {
					inFlight.Go(func() { f.call(stale, booking, fmt.Sprint("before ", i), "").expect(t, http.StatusOK, "ran", "") })
				}
				time.Sleep(tick)
				startDrain(f, v)
				inFlight.Wait()
				time.Sleep(4 * time.Second)
				for i := range 30 {
					body := fmt.Sprint("after ", i)
					f.call(stale, booking, body, "").expect(t, http.StatusOK, "ran", "")
					if v.upstream.ran(body) {
						t.Fatalf("%s ran at the upstream that leaves", body)
					}
				}
			})
		})
	}
}

// The store goes out, and the entry VMs are replaced meanwhile. A router that
// starts now has no configuration of its own; turned away by it, callers are
// out for as long as the store is, although every upstream is well.
func TestRouterStartedDuringStoreOutageServes(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		for i := range 9 { // routers and sidecars compare what they know on the way
			f.call(i%testRouters, booking, fmt.Sprint("before ", i), "").expect(t, http.StatusOK, "ran", "")
		}
		time.Sleep(10 * time.Second)
		f.store.update(func(s *store) { s.down = true })
		late := len(f.gateways)
		f.startRouter("late", f.store, f.vms)
		time.Sleep(5 * time.Second)
		f.call(late, booking, "first", "").expect(t, http.StatusOK, "ran", "")
		time.Sleep(20 * time.Minute) // longer than keys last
		f.call(late, booking, "second", f.mint(late, booking)).expect(t, http.StatusOK, "ran", "")
		f.store.update(func(s *store) { s.down = false })
		f.store.put(topo.KindOrganisation, "other", profile.Organisation{
			Name: "other", Weight: 1, Profiles: []string{booking}, Keys: []profile.APIKey{{ID: "k", SHA256: profile.HashKey("other-key")}},
		})
		time.Sleep(7 * time.Second)
		header := http.Header{"Authorization": {"Bearer other-key"}}
		f.send(f.ctx, late, http.MethodPost, "/services/"+booking+"/x", "third", header).expect(t, http.StatusOK, "ran", "")
	})
}

// A request was found to crash upstreams last night, and by the morning every
// VM of the fleet has been replaced. Its caller is still sending it. If nobody
// remembers, it takes two upstreams each morning.
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
		for _, v := range f.vm {
			f.restart(v)
		}
		late := len(f.gateways)
		f.startRouter("late", f.store, f.vms)
		time.Sleep(5 * time.Second)
		f.call(late, booking, poison, "").expect(t, http.StatusUnprocessableEntity, "not-run", "quarantined")
		if n := f.runs()[poison]; n != before || n > 2 {
			t.Fatalf("%d upstreams crashed, %d of them before", n, before)
		}
	})
}

// The one upstream of a small pool closes its idle connections, as when
// certificates change, just as a request is written. Nothing was sent and a
// fresh connection works, but the caller was refused.
func TestRequestSurvivesConnectionClosedDuringSend(t *testing.T) {
	for up := range 400 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(1, 1, 64)
			defer f.close()
			f.net.cut(func(*faultyConn) bool { return true })
			f.net.mu.Lock()
			f.net.faults = []fault{{up: up, down: -1}}
			f.net.mu.Unlock()
			r := f.call(0, booking, "book", "")
			if strings.Contains(string(r.body), `"detail":"not sent`) {
				t.Fatalf("cut after %d bytes: %s", up, r.body)
			}
		})
	}
}
