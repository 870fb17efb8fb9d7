package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/budget"
	"github.com/parsleyfront/parsleyfront/internal/httpserver"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// bodyServer reads the bodies of requests within a budget. The header Org names the organisation, and
// a request keeps its body until release is closed.
func bodyServer(t *testing.T, memory *budget.Memory, release <-chan struct{}) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &platformExchange{w: w, r: r, arrived: time.Now(), view: &router.View{}, profile: &profile.Profile{}, memory: requestMemory{claim: httpserver.ClaimOf(r, memory)}}
		defer x.memory.release()
		if org := r.Header.Get("Org"); org != "" {
			x.org = &profile.Organisation{}
			x.org.Name = org
		}
		x.memory.claim.SetParty(x.organisation())
		body, err := x.body()
		if err != nil {
			writePlatformProblem(w, verdict.From(err))
			return
		}
		if r.Header.Get("Keep") != "" {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			<-release
			return
		}
		_, _ = w.Write(body)
	}))
	t.Cleanup(s.Close)
	return s
}

// send sends a body of n bytes, with a length or in chunks.
func send(t *testing.T, s *httptest.Server, n int, chunked bool, header map[string]string) *http.Response {
	t.Helper()
	var body io.Reader = bytes.NewReader(make([]byte, n))
	if chunked {
		body = io.MultiReader(body)
	}
	req, err := http.NewRequest(http.MethodPost, s.URL, body)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// Upstreams are slow and callers go on sending long bodies. Guards against a router that keeps them
// all until its memory is used up: it refuses what does not fit at once, truly not run, with when to
// come back, and serves again when the others have ended.
func TestBodiesAreHeldWithinTheirBudget(t *testing.T) {
	for name, chunked := range map[string]bool{"with a length": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			memory, release := budget.NewMemory(256<<10), make(chan struct{})
			s := bodyServer(t, memory, release)
			for _, org := range []string{"a", "b"} {
				if got := send(t, s, 96<<10, chunked, map[string]string{"Org": org, "Keep": "1"}); got.StatusCode != http.StatusOK {
					t.Fatalf("status %d within the budget", got.StatusCode)
				}
			}
			refused := send(t, s, 96<<10, chunked, map[string]string{"Org": "c"})
			if refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get("Retry-After") == "" {
				t.Errorf("status %d, Retry-After %q beyond the budget", refused.StatusCode, refused.Header.Get("Retry-After"))
			}
			if got := send(t, s, 8<<10, chunked, map[string]string{"Org": "c"}); got.StatusCode != http.StatusOK {
				t.Errorf("status %d for a small body that fits", got.StatusCode)
			}
			close(release)
			for end := time.Now().Add(10 * time.Second); memory.Held() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d bytes are still held", memory.Held())
				}
			}
			if got := send(t, s, 96<<10, chunked, map[string]string{"Org": "c"}); got.StatusCode != http.StatusOK {
				t.Errorf("status %d after the others have ended", got.StatusCode)
			}
		})
	}
}

// Guards against a body that is refused although its length is within the limits.
func TestBodyOfUnknownLengthIsReadWhole(t *testing.T) {
	s := bodyServer(t, budget.NewMemory(0), nil)
	for _, n := range []int{1, minBodyPiece - 1, minBodyPiece, minBodyPiece + 1, 5*maxBodyPiece + 7} {
		got, err := io.ReadAll(send(t, s, n, true, nil).Body)
		if err != nil || len(got) != n {
			t.Errorf("%d of %d bytes, %v", len(got), n, err)
		}
	}
}
