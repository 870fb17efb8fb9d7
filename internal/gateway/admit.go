package gateway

import (
	"net/http"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/httpserver"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// connectionRetryAfter is when a caller may return whose organisation's requests take most connections.
const connectionRetryAfter = time.Second

var shareRefusals = telemetry.NewCounter("gateway_connection_share_refusals_total",
	"Requests that were refused because those of their organisation take as many connections of the router as they may.", telemetry.Alert)

// admit admits a request of an organisation, or refuses it if the organisation's requests take as many connections as they
// may. The connection of one that is refused is closed: it is needed for others.
func admit(w http.ResponseWriter, r *http.Request, organisation string) error {
	if httpserver.Admit(r, organisation) == nil {
		return nil
	}
	shareRefusals.Inc()
	w.Header().Set("Connection", "close")
	return verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "the organisation's requests take too many connections of this router").
		WithRetryAfter(connectionRetryAfter)
}
