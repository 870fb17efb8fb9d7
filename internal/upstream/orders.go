package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	ordersPath = "/orders"

	// HeaderFencingToken carries the fencing token of an order. Some upstreams
	// refuse an order with an outdated token, others ignore the header.
	HeaderFencingToken = "X-Fencing-Token"

	maxOrderStatusBytes = 64 << 10 // bytes of an order status that are read
)

// OrderStatus returns the status of the upstream's latest order and what the upstream
// serves. An error is a *verdict.Error.
func (h *HTTP) OrderStatus(ctx context.Context) (wire.OrderStatus, error) {
	var status wire.OrderStatus
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+ordersPath, nil)
	if err != nil {
		return status, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "%s", err)
	}
	resp, err := h.pooled.Do(req)
	if err != nil {
		return status, verdict.New(verdict.NotRun, verdict.ReasonUpstreamDown, "%s", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return status, verdict.New(verdict.NotRun, verdict.ReasonNoOrders, "the upstream takes no orders: status %d", resp.StatusCode)
	}
	body := http.MaxBytesReader(nil, resp.Body, maxOrderStatusBytes)
	if err := json.NewDecoder(body).Decode(&status); err != nil {
		return status, verdict.New(verdict.NotRun, verdict.ReasonNoOrders, "%s", err)
	}
	return status, nil
}

// Load orders the upstream to load the model that o.Want describes. It returns once the
// upstream has accepted the order; OrderStatus returns the progress. An error is a
// *verdict.Error; without a response, its verdict is MayHaveRun, also if the upstream
// could not be reached.
func (h *HTTP) Load(ctx context.Context, o wire.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "%s", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+ordersPath, bytes.NewReader(body))
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "%s", err)
	}
	req.Header.Set(HeaderFencingToken, strconv.FormatInt(int64(o.Token), 10))
	resp, err := h.unpooled.Do(req)
	if err != nil {
		return callError(err, true)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusAccepted, http.StatusOK:
		return nil
	case http.StatusPreconditionFailed:
		return verdict.New(verdict.NotRun, verdict.ReasonFenced, "the upstream knows a newer fencing token")
	default:
		return verdict.New(verdict.NotRun, verdict.ReasonBusy, "the upstream refused the order: status %d", resp.StatusCode)
	}
}
