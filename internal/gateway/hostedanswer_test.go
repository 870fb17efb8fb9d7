package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// Guards against callers who are not told why their request is refused for good, and against callers who are
// told addresses of upstreams.
func TestPlatformProblemHasDetailsOnlyOfTheRequest(t *testing.T) {
	for reason, want := range map[verdict.Reason]bool{verdict.ReasonQuarantined: true, verdict.ReasonUpstreamDown: false} {
		w := httptest.NewRecorder()
		writePlatformProblem(w, verdict.New(verdict.NotRun, reason, `part "a" crashes upstreams`))
		if got := strings.Contains(w.Body.String(), `part \"a\" crashes upstreams`); got != want {
			t.Errorf("%s: %s", reason, w.Body.String())
		}
	}
}

// Guards against callers who cannot tell that a request refused in a short pool has not run, or who come back at once.
func TestRefusalsOfShortPoolsSayWhenToRetry(t *testing.T) {
	for _, reason := range []verdict.Reason{verdict.ReasonOverShare, verdict.ReasonPoolShort} {
		e := verdict.New(verdict.NotRun, reason, "the share of organisation a is used up").WithRetryAfter(1250 * time.Millisecond)
		w := httptest.NewRecorder()
		writePlatformProblem(w, e)
		var p platformProblem
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
			t.Fatal(err)
		}
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "1.25" || p != (platformProblem{Title: reason, Verdict: verdict.NotRun}) {
			t.Errorf("%s on a platform: status %d, Retry-After %q, %+v", reason, w.Code, w.Header().Get("Retry-After"), p)
		}
		w = httptest.NewRecorder()
		writeProblem(w, e)
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "2" || w.Header().Get(HeaderVerdict) != "not-run" {
			t.Errorf("%s: status %d, headers %v", reason, w.Code, w.Header())
		}
	}
}
