package topo

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// Defaults of Timeouts.
	defaultCallTimeout = 5 * time.Second
	defaultWatchGrace  = time.Second
	// Backoffs are bounded because this process cannot see whether the store accepts
	// calls of others again meanwhile.
	defaultMaxRetryAfter = 2 * time.Second

	// maxValueBytes is the largest value that the platform stores in one object, in bytes.
	maxValueBytes = 1 << 20
	// maxObjectResponseBytes and maxPageResponseBytes bound the bodies of responses, in bytes.
	maxObjectResponseBytes = maxValueBytes + 64<<10
	maxPageResponseBytes   = 16 << 20
)

// HTTP is an HTTP client of the platform. It implements Store and VMList.
//
// A Dialect encodes the calls: Plain, unless WithDialect sets another. The list of VMs
// is at /v1/vms.
//
// The platform answers 429 and 503 only to calls that it has not started to process, so a
// write with one of these statuses is known to have had no effect.
//
// Revisions of different eras of the store are not comparable, since the store reuses
// them after a restore. So a watch that started in one era fails in the next, and a write
// that is conditional on a version of an earlier era fails as well.
type HTTP struct {
	base     string
	dial     DialFunc
	dialect  Dialect
	timeouts Timeouts
	clients  [clientCount]*http.Client
	eras     eraTracker
	backoffs backoffs
}

// Timeouts bounds how long a client waits for the platform.
type Timeouts struct {
	// Call bounds one call other than a watch. A slow store must not block the calling
	// goroutine for ever.
	Call time.Duration
	// WatchGrace is how much later than the end of its wait a watch may be answered. A
	// watch without a response by then fails, since a middlebox may have dropped its
	// connection silently.
	WatchGrace time.Duration
	// MaxRetryAfter bounds the backoff that the store may request.
	MaxRetryAfter time.Duration
}

// NewHTTP returns a client for the platform at base, such as http://10.0.0.2:7000.
func NewHTTP(base string) *HTTP {
	dialer := net.Dialer{Timeout: dialTimeout}
	return NewHTTPWithDialer(base, dialer.DialContext)
}

// NewHTTPWithDialer is like NewHTTP but opens connections with dial.
func NewHTTPWithDialer(base string, dial DialFunc) *HTTP {
	h := &HTTP{base: base, dial: dial, dialect: Plain{}, timeouts: Timeouts{Call: defaultCallTimeout, WatchGrace: defaultWatchGrace, MaxRetryAfter: defaultMaxRetryAfter}}
	for kind := range clientCount {
		h.clients[kind] = newClient(kind, dial, nil)
	}
	return h
}

// WithTLS makes new connections use the configuration that config returns, such as
// one that trusts the platform's own authorities. It modifies and returns h.
func (h *HTTP) WithTLS(config func() *tls.Config) *HTTP {
	for kind := range clientCount {
		h.clients[kind] = newClient(kind, h.dial, config)
	}
	return h
}

// WithDialect sets the dialect and the timeouts of h. It modifies and returns h.
func (h *HTTP) WithDialect(d Dialect, p Timeouts) *HTTP {
	h.dialect, h.timeouts = d, p
	return h
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, ref Ref) (o Object, err error) {
	r := request{name: callGet, kind: ref.Kind, Call: h.dialect.Get(ref)}
	err = h.call(ctx, r, func(era Era, body []byte) error {
		o, err = h.dialect.Object(ref, body)
		o = era.versioned(o)
		return err
	})
	return o, err
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, kind Kind, cont string) (p Page, err error) {
	r := request{name: callList, kind: kind, Call: h.dialect.List(kind, cont)}
	err = h.call(ctx, r, func(era Era, body []byte) error {
		p, err = h.dialect.Page(kind, body)
		p = era.versionedPage(p)
		if err == nil && p.Continue != "" && p.Continue == cont {
			return errors.Errorf("the page after %q continues there again", cont)
		}
		return err
	})
	return p, err
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, ref Ref, value json.RawMessage, ifVersion Version) (o Object, err error) {
	if len(value) > maxValueBytes {
		return Object{}, errors.Wrapf(ErrRefused, "%s: value of %d bytes exceeds the limit of %d", ref, len(value), maxValueBytes)
	}
	r := request{name: callPut, kind: ref.Kind, baseVersion: ifVersion, Call: h.dialect.Put(ref, value, ifVersion.Revision())}
	err = h.call(ctx, r, func(era Era, body []byte) error {
		o, err = h.dialect.Object(ref, body)
		o = era.versioned(o)
		return err
	})
	return o, err
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, ref Ref, ifVersion Version) error {
	r := request{name: callDelete, kind: ref.Kind, baseVersion: ifVersion, Call: h.dialect.Delete(ref, ifVersion.Revision())}
	return h.call(ctx, r, nil)
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, kinds []Kind, since Version, wait time.Duration) (p Page, err error) {
	kind := kinds[len(kinds)-1] // for the counters, which do not distinguish kinds that are watched together
	r := request{name: callWatch, kind: kind, wait: wait, baseVersion: since, Call: h.dialect.Watch(kinds, since.Revision(), wait)}
	err = h.call(ctx, r, func(era Era, body []byte) error {
		p, err = h.dialect.Page(kind, body)
		p = era.versionedPage(p)
		return err
	})
	return p, err
}

// VMs implements VMList.
func (h *HTTP) VMs(ctx context.Context, tag string) (VMs, bool, error) {
	r := request{name: callVMs, Call: Call{Method: http.MethodGet, Path: "/v1/vms", Header: http.Header{}}}
	if tag != "" {
		r.Header.Set("If-None-Match", strconv.Quote(tag))
	}
	var vms VMs
	err := h.call(ctx, r, func(_ Era, body []byte) error { return json.Unmarshal(body, &vms) })
	if errors.Is(err, errNotModified) {
		return VMs{}, false, nil
	}
	return vms, err == nil, err
}

// errNotModified is the result of a conditional read whose content has not changed.
var errNotModified = errors.New("topo: not modified")

// request is a call with what is needed to execute and count it.
type request struct {
	Call
	name        callName
	kind        Kind          // of the objects, for the counters
	wait        time.Duration // of a watch
	baseVersion Version       // start of a watch, or condition of a write; zero: none
}

// eraChangedError returns the error of a call whose base version belongs to another era
// than the store.
func (r request) eraChangedError() error {
	class := ErrConflict
	if r.name == callWatch {
		class = ErrCompacted
	}
	return errors.Wrapf(class, "%s %s: the store was restored from an older copy after version %s", r.Method, r.Path, r.baseVersion)
}

func (r request) isWrite() bool {
	return r.Method != http.MethodGet
}

// tooLongError returns the error of a response that exceeds its limit. The events of a watch may: the objects in
// force, which a listing returns, take less than all their changes.
func (r request) tooLongError() error {
	if r.name == callWatch {
		return errors.Wrapf(ErrCompacted, "%s %s: the changes take more than %d bytes", r.Method, r.Path, r.responseLimit())
	}
	return malformedError(r, errors.Errorf("more than %d bytes", r.responseLimit()))
}

// callTimeoutFor returns the timeout of a call, waiting time of a watch included.
func (p Timeouts) callTimeoutFor(r request) time.Duration {
	if r.name == callWatch {
		return r.wait + p.WatchGrace
	}
	return p.Call
}

// responseLimit returns the largest accepted body of a response, in bytes.
func (r request) responseLimit() int64 {
	if r.name == callList || r.name == callWatch || r.name == callVMs {
		return maxPageResponseBytes
	}
	return maxObjectResponseBytes
}

// call executes a call and counts its outcome. It fails without a call if a newer era of the
// store than that of the base version is known, or during a backoff. A read without a
// response on a reused connection is tried once more, since the connection may have been dead
// before; writes are not safe to repeat. A watch is not repeated.
func (h *HTTP) call(ctx context.Context, r request, decode func(Era, []byte) error) error {
	if r.baseVersion != 0 && h.eras.isOver(r.baseVersion.Era()) {
		err := r.eraChangedError()
		outcomes.Inc(outcomeOf(err))
		return err
	}
	if wait := h.backoffs.remaining(r, time.Now()); wait > 0 {
		outcomes.Inc(outcomeWithheld)
		return errors.Wrapf(ErrRefused, "%s %s: the store asked for no calls for another %v", r.Method, r.Path, wait)
	}
	first, err := h.try(ctx, r, decode)
	if first.reused && first.unanswered && !r.isWrite() && r.name != callWatch && ctx.Err() == nil {
		_, err = h.try(ctx, r, decode)
	}
	outcomes.Inc(outcomeOf(err))
	return err
}

// attempt describes one try of a call.
type attempt struct {
	connected  bool // there was a connection, so the request may have been sent
	reused     bool // the connection had served another call before
	unanswered bool
}

func (h *HTTP) try(ctx context.Context, r request, decode func(Era, []byte) error) (attempt, error) {
	calls.Inc(r.name)
	ctx, cancel := context.WithTimeout(ctx, h.timeouts.callTimeoutFor(r))
	defer cancel()
	var a attempt
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.connected, a.reused = true, info.Reused
		setConnUse(info.Conn, r)
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, h.base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return a, errors.Wrapf(ErrRefused, "%s", err)
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	client := h.clients[r.name.client()]
	resp, err := client.Do(req)
	if err != nil {
		return h.classifyUnanswered(client, r, a, err)
	}
	defer resp.Body.Close()
	head := h.dialect.Head(resp.StatusCode, resp.Header)
	era, newest := h.eras.observe(head.Era)
	h.backoffs.extend(r, time.Now(), min(head.RetryAfter, h.timeouts.MaxRetryAfter))
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.responseLimit()+1))
	if err != nil {
		return h.classifyUnanswered(client, r, a, err)
	}
	if int64(len(body)) > r.responseLimit() {
		return a, r.tooLongError()
	}
	if err := statusError(r, resp.StatusCode); err != nil {
		return a, err
	}
	if err := r.checkEra(era, newest); err != nil || decode == nil {
		return a, err
	}
	if err := decode(era, body); err != nil {
		return a, malformedError(r, err)
	}
	return a, nil
}

// checkEra returns why a response from an era cannot be used, or nil if it can.
func (r request) checkEra(era, newest Era) error {
	eraChanged := r.baseVersion != 0 && r.baseVersion.Era() != era
	switch {
	case r.isWrite() && (eraChanged || era < newest):
		// The write was made, either over another writer's object of the same
		// revision, or in a store that has since lost it.
		return errors.Wrapf(ErrUnknown, "%s %s: written in era %d of the store", r.Method, r.Path, era)
	case era < newest:
		return errors.Wrapf(ErrRefused, "%s %s: answered in era %d of the store, which is over", r.Method, r.Path, era)
	case eraChanged:
		return r.eraChangedError()
	}
	return nil
}

// classifyUnanswered classifies a call without a response. A read changed nothing. A write
// that had no connection was not sent; any other write may have taken effect before its
// response was lost. Idle connections are closed, since they may be dead too.
func (h *HTTP) classifyUnanswered(client *http.Client, r request, a attempt, err error) (attempt, error) {
	a.unanswered = true
	client.CloseIdleConnections()
	class := ErrRefused
	if r.isWrite() && a.connected {
		class = ErrUnknown
	}
	return a, errors.Wrapf(class, "%s %s: %s", r.Method, r.Path, err)
}

// malformedError returns the error of a call whose response cannot be decoded. A write
// was probably made, but something other than the store may have answered.
func malformedError(r request, err error) error {
	class := ErrRefused
	if r.isWrite() {
		class = ErrUnknown
	}
	return errors.Wrapf(class, "%s %s: malformed answer: %s", r.Method, r.Path, err)
}

// statusError returns the error that a status stands for, or nil for 2xx. A write with a
// status of 500 and above, except 503, may have taken effect. All other statuses that have
// no case of their own, 408 and 429 included, mean that nothing was written.
func statusError(r request, status int) error {
	class := ErrRefused
	switch {
	case status == http.StatusNotModified:
		return errNotModified
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict, status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusGone:
		return ErrCompacted
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusServiceUnavailable, status == http.StatusRequestTimeout:
	case status >= http.StatusInternalServerError && r.isWrite():
		class = ErrUnknown
	}
	return errors.Wrapf(class, "%s %s: status %d", r.Method, r.Path, status)
}
