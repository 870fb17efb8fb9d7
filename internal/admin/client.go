package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

const (
	// maxResponseBytes limits the body of a response.
	maxResponseBytes = 64 << 20
)

// fleetTimeout bounds calls that query every router, in addition to their wait.
const fleetTimeout = 10 * time.Second

// errNoAddress is returned for a router that has no admin_addr in the list of
// VMs.
var errNoAddress = errors.New("the list of VMs gives no admin_addr")

// Client calls the API of one router.
type Client struct {
	base      string
	token     string
	http      *http.Client
	noAddress bool // the router's address is unknown
}

// NewClient returns a Client of the router whose API listens at addr, as
// host:port.
func NewClient(addr, token string) *Client {
	return &Client{base: "http://" + addr, token: token, http: &http.Client{Transport: newTransport(nil)}}
}

// CloseIdle closes the idle connection to the router.
func (c *Client) CloseIdle() {
	c.http.CloseIdleConnections()
}

// Status returns the router's own state, with its upstreams.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.get(ctx, PathStatus, nil, &s)
	return s, err
}

// Fleet returns the state of every router that the called router has in its
// list of VMs.
func (c *Client) Fleet(ctx context.Context) (FleetStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	var s FleetStatus
	err := c.get(ctx, PathFleet, nil, &s)
	return s, err
}

// FleetWait queries every router that the called router has in its list of VMs,
// and returns when the objects in r are in force at all of them or r.WaitMillis
// have passed.
func (c *Client) FleetWait(ctx context.Context, r WaitRequest) (FleetWait, error) {
	ctx, cancel := context.WithTimeout(ctx, waitTime(r)+fleetTimeout)
	defer cancel()
	var w FleetWait
	err := c.post(ctx, PathFleetWait, r, &w)
	return w, err
}

// Explain returns where a request would go and why.
func (c *Client) Explain(ctx context.Context, q Query) (Explanation, error) {
	var e Explanation
	err := c.post(ctx, PathExplain, q, &e)
	return e, err
}

func (c *Client) get(ctx context.Context, path string, q url.Values, out any) error {
	return c.call(ctx, http.MethodGet, path+"?"+q.Encode(), nil, out)
}

func (c *Client) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.WithStack(err)
	}
	return c.call(ctx, http.MethodPost, path, body, out)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	if c.noAddress {
		return errNoAddress
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.WithStack(err)
	}
	telemetry.ControlBytes.Add(telemetry.ControlStatus, int64(len(body)+len(text)))
	if resp.StatusCode != http.StatusOK {
		var p problem
		_ = json.Unmarshal(text, &p)
		return errors.Errorf("status %d: %s", resp.StatusCode, p.Detail)
	}
	return errors.Wrap(json.Unmarshal(text, out), "malformed answer")
}
