package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// ProbeTimeout bounds a probe.
	ProbeTimeout = time.Second

	probePath      = "/health"
	maxHealthBytes = 4 << 10 // bytes of a response that are read
)

// Probe implements Upstream. Any HTTP response means that the upstream is up, also
// from a service that does not serve the path. Connecting alone would not detect a
// frozen process, for which the kernel still accepts connections.
func (h *HTTP) Probe(ctx context.Context) Health {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	resp, err := h.get(ctx, probePath)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return Health{State: Frozen}
	case err != nil:
		return Health{State: Gone}
	}
	defer resp.Body.Close()
	var out Health
	if resp.StatusCode == http.StatusOK {
		_ = json.NewDecoder(io.LimitReader(resp.Body, maxHealthBytes)).Decode(&out)
	}
	out.Running = max(0, out.Running)
	return out
}

// get makes a GET request on a new connection.
func (h *HTTP) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+path, nil)
	if err != nil {
		return nil, err
	}
	return h.unpooled.Do(req)
}
