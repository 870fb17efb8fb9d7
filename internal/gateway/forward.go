package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/eventstream"
	"github.com/parsleyfront/parsleyfront/internal/httpserver"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// stalledWriteTimeout is how long a write of the response may block. Without it, a
// caller that vanished without closing its connection would keep it open indefinitely.
const stalledWriteTimeout = time.Minute

// forward dispatches the request and copies the response to the caller.
func (g *Gateway) forward(x *exchange, req router.Request) error {
	key, err := g.requestKey(x, req.Profile, req.Session)
	if err != nil {
		return err
	}
	if err := admit(x.w, x.r, req.Org.Name); err != nil {
		return err
	}
	req.Key = key
	req.Ticket = x.r.Header.Get(HeaderTicket)
	span := telemetry.Start(telemetry.HopCaller, telemetry.ParseTraceparent(x.r.Header.Get(telemetry.HeaderTraceparent)))
	defer span.End()
	span.Set(telemetry.AttrOrganisation, req.Org.Name)
	span.Set(telemetry.AttrProfile, req.Profile.Name)
	req.Trace = string(span.Traceparent())
	x.dispatched = true
	response, err := g.router.Dispatch(x.r.Context(), req)
	if err != nil {
		span.Fail(string(verdict.From(err).Reason))
		return err
	}
	h := x.w.Header()
	h.Set(HeaderNextKey, response.NextKey())
	if ticket := response.Ticket(); ticket != "" {
		h.Set(HeaderTicket, ticket)
	}
	if err := x.copyResponse(response, 0); err != nil {
		span.Fail(string(err.Reason))
	}
	return nil
}

// copier writes one response to its caller.
type copier struct {
	w         http.ResponseWriter
	r         *http.Request
	ctl       *http.ResponseController
	id        string
	events    bool   // the response is a stream of server-sent events
	offset    int64  // of the next byte of the response
	lastBytes []byte // last bytes sent, which show whether an event is complete
}

// copyResponse copies a response to the caller, from the given offset on, and closes it.
// If the response breaks off, it panics as abort does. If a write to the caller fails, it
// returns an error, for which no problem document can be written any more.
func (x *exchange) copyResponse(response *router.Response, offset int64) *verdict.Error {
	defer response.Close()
	c := &copier{w: x.w, r: x.r, ctl: http.NewResponseController(x.w), id: response.ID(), offset: offset}
	x.w.Header().Set(HeaderRequestID, c.id)
	for {
		piece, err := response.Next()
		if err != nil {
			return c.abort(verdict.From(err))
		}
		if piece.End != nil {
			// The connection may serve another request much later.
			_ = c.ctl.SetWriteDeadline(time.Time{})
			return nil
		}
		if c.write(piece) != nil {
			resetUnframed(x.r)
			return verdict.New(verdict.Ran, verdict.ReasonConnection, "the caller is gone")
		}
	}
}

func (c *copier) write(p wire.Piece) error {
	if p.Head != nil {
		c.writeHead(p.Head)
		return nil
	}
	_ = c.ctl.SetWriteDeadline(time.Now().Add(stalledWriteTimeout))
	if _, err := c.w.Write(p.Bytes); err != nil {
		return err
	}
	c.offset += int64(len(p.Bytes))
	c.lastBytes = append(c.lastBytes[:0], p.Bytes[max(0, len(p.Bytes)-len(eventEnd)):]...)
	return c.ctl.Flush()
}

func (c *copier) writeHead(head *wire.Head) {
	h := c.w.Header()
	for name, values := range withoutHeaders(head.Header, replacedHeaders) {
		h[name] = values
	}
	if c.offset > 0 {
		h.Del("Content-Length") // it counts the whole response
	}
	c.events = eventstream.IsStream(h)
	h.Set(HeaderVerdict, verdict.Ran.String())
	c.w.WriteHeader(head.Status)
}

var eventEnd = []byte("\n\n")

// abort ends an incomplete response. Part of the body has been sent, so the status
// can't change any more. If the response is a stream of events, abort appends an event
// that chat clients read as an error. It then breaks the connection by a panic with
// http.ErrAbortHandler. After a regular end, the caller would take the incomplete
// response for a complete one.
func (c *copier) abort(e *verdict.Error) *verdict.Error {
	if c.events {
		if !bytes.HasSuffix(c.lastBytes, eventEnd) {
			_, _ = c.w.Write(eventEnd)
		}
		body, _ := json.Marshal(struct { // has no value that fails to encode
			Error chatError `json:"error"`
		}{chatError{Message: e.Error(), Type: e.Reason, Code: e.Reason, Verdict: e.Verdict, RequestID: c.id, Offset: &c.offset}})
		_, _ = fmt.Fprintf(c.w, "data: %s\n\n", body)
		_ = c.ctl.Flush()
	}
	resetUnframed(c.r)
	panic(http.ErrAbortHandler)
}

// resetUnframed resets the connection of an incomplete response to a caller that knows no chunks. The regular end of the
// connection would be that of the response.
func resetUnframed(r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		httpserver.Reset(r)
	}
}
