package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// startTimeout bounds the question when an upstream started. It needs no slot there.
	startTimeout = 200 * time.Millisecond
	// maxReportBytes bounds the body of the answer.
	maxReportBytes = 64 << 10
)

// StartReader is a Dialect whose upstreams say when they started.
type StartReader interface {
	// StartPath is the path of what an upstream reports of itself.
	StartPath() string
	// ReadStart returns the start of the process that has sent a report, in Unix milliseconds, or an error if the
	// report does not say it.
	ReadStart(report []byte) (int64, error)
}

// AskStart asks an upstream when its process started, in Unix milliseconds. It fails if the upstream does not say it
// within startTimeout.
func (c *Client) AskStart(ctx context.Context, vm topo.VM) (int64, error) {
	d, ok := c.dialect.(StartReader)
	if !ok {
		return 0, errors.New("exchange: upstreams do not say when they started")
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ep := endpoint{instance: vm.ID, addr: vm.Addr}
	conn, err := c.getConn(ctx, vm, ep)
	if err != nil {
		return 0, err
	}
	report, keep, err := conn.get(ctx, vm.Addr, d.StartPath())
	if err != nil || keep <= 0 {
		_ = conn.Close()
	} else {
		conn.expires = time.Now().Add(keep)
		c.putIdle(ep, conn)
	}
	if err != nil {
		return 0, err
	}
	return d.ReadStart(report)
}

// get requests a path and returns the body of the response, and for how long the connection may stay idle then.
func (c *conn) get(ctx context.Context, host, path string) (body []byte, keep time.Duration, err error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n"); err != nil {
		return nil, 0, errors.WithStack(err)
	}
	resp, err := c.readHead(http.MethodGet)
	if err != nil {
		return nil, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, errors.Errorf("exchange: %s: status %d", path, resp.StatusCode)
	}
	body, err = io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxReportBytes))
	if err != nil {
		return nil, 0, errors.WithStack(err)
	}
	if resp.Close || c.r.Buffered() > 0 || !stop() {
		return body, 0, nil
	}
	return body, keepFor(resp.Header), nil
}
