package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/eventstream"
)

const (
	// Paths of a model engine's key-value (KV) cache.
	exportPath = "/kv/export?session="
	importPath = "/kv/import?session="

	// MaxExportBytes bounds the exported prefix of one session, so that it fits into one
	// message between sidecars.
	MaxExportBytes = 4 << 20
)

// ErrNotCached reports that the upstream has no cached prefix of a session.
var ErrNotCached = errors.New("upstream: no cached prefix for the session")

// Export implements Upstream.
func (h *HTTP) Export(ctx context.Context, session uint64) ([]byte, error) {
	resp, err := h.get(ctx, exportPath+SessionID(session))
	if err != nil {
		return nil, errors.Wrap(err, "upstream: export")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, ErrNotCached
	}
	if !eventstream.IsFramed(resp) { // a part of a prefix would look like the whole
		return nil, errors.New("upstream: the export has neither a length nor chunks")
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, MaxExportBytes+1))
	if err != nil || len(b) > MaxExportBytes {
		return nil, errors.Errorf("upstream: export exceeds %d bytes or is incomplete", MaxExportBytes)
	}
	return b, nil
}

// Import implements Upstream.
func (h *HTTP) Import(ctx context.Context, session uint64, cached []byte) error {
	url := h.base + importPath + SessionID(session)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(cached))
	if err != nil {
		return errors.Wrap(err, "upstream: import")
	}
	resp, err := h.unpooled.Do(req)
	if err != nil {
		return errors.Wrap(err, "upstream: import")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("upstream: import failed with status %d", resp.StatusCode)
	}
	return nil
}
