package gateway

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// Guards against operators who cannot tell whose requests are refused, and against a Retry-After without a unit.
func TestRefusalLineNamesOrganisationAndDelay(t *testing.T) {
	for name, org := range map[string]*profile.Organisation{"bakery": {Name: "bakery"}, "": nil} {
		var out bytes.Buffer
		x := &platformExchange{r: httptest.NewRequest("GET", "http://a.example/b?c", nil), view: &router.View{}, org: org}
		e := verdict.New(verdict.NotRun, verdict.ReasonOverShare, "").WithRetryAfter(1250 * time.Millisecond)
		x.logRefusal(telemetry.NewRequestLog(slog.New(slog.NewJSONHandler(&out, nil))), e)
		var line map[string]any
		if err := json.Unmarshal(out.Bytes(), &line); err != nil {
			t.Fatal(err)
		}
		_, old := line["retry_after"]
		if line["msg"] != "request refused" || line["organisation"] != name || line["retry_after_ms"] != 1250.0 || line["status"] != 503.0 || old {
			t.Errorf("organisation %q: %s", name, out.String())
		}
	}
}
