package standin

import (
	"net/http"
	"sync/atomic"

	"github.com/parsleyfront/parsleyfront/internal/token"
)

// health is the state that a stand-in reports to its sidecar's health check.
type health struct {
	instance string
	running  *atomic.Int64
}

func newHealth() health {
	return health{instance: token.NewNonce().String(), running: new(atomic.Int64)}
}

// begin counts a request as running until the returned function is called.
func (h health) begin() func() {
	h.running.Add(1)
	return func() { h.running.Add(-1) }
}

func (h health) serve(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, healthReport{Instance: h.instance, Running: h.running.Load()})
}

type healthReport struct {
	Instance string `json:"instance"`
	Running  int64  `json:"running"`
}
