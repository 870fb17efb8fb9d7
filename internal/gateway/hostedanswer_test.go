package gateway

import (
	"net/http/httptest"
	"strings"
	"testing"

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
