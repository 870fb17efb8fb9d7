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
	maxHealthBytes = 4 << 10 // bytes of an answer that are read
)

// Probe implements Upstream. Whatever answers over HTTP is up, also a service
// that knows no such path; only connecting would not tell a frozen process,
// for which the kernel still accepts connections.
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

func (h *HTTP) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+path, nil)
	if err != nil {
		return nil, err
	}
	return h.unpooled.Do(req)
}
