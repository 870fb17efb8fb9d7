package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"github.com/parsleyfront/parsleyfront/internal/loop"
)

// stuckReducer is a reducer whose Step blocks until it receives from the channel.
type stuckReducer chan struct{}

// Step implements loop.Reducer.
func (s stuckReducer) Step(struct{}) []struct{} {
	<-s
	return nil
}

// A router whose control loop hangs still accepts and serves requests, but from outdated
// state, so its liveness check must fail. A router that has no configuration yet, or is
// leaving, must only fail its readiness check, so that it is not restarted.
func TestLivenessAndReadinessAreIndependent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := make(stuckReducer)
		l := loop.New(state, func(struct{}) {}, func() {})
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go l.Run(ctx)
		isReady := false
		h := newHealth(l.Probe, func() bool { return isReady })
		var next http.HandlerFunc = func(http.ResponseWriter, *http.Request) {}
		expect := func(when string, live, ready int) {
			t.Helper()
			for path, want := range map[string]int{pathLive: live, pathReady: ready} {
				w := httptest.NewRecorder()
				h.withHealthPaths(next).ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
				if w.Code != want {
					t.Errorf("%s: %s answers %d, want %d", when, path, w.Code, want)
				}
			}
		}
		expect("at the start", http.StatusOK, http.StatusServiceUnavailable)
		isReady = true
		expect("serving", http.StatusOK, http.StatusOK)
		l.Post(struct{}{})
		synctest.Wait()
		expect("stuck", http.StatusServiceUnavailable, http.StatusOK)
		state <- struct{}{}
		expect("released", http.StatusOK, http.StatusOK)
		h.leave()
		expect("leaving", http.StatusOK, http.StatusServiceUnavailable)
		stop()
		synctest.Wait()
		expect("ended", http.StatusServiceUnavailable, http.StatusServiceUnavailable)
	})
}
