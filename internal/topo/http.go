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
	// callTimeout bounds one call to the platform. A store that is merely slow
	// must not hold the goroutine that asks it for ever.
	callTimeout = 5 * time.Second
	// watchGrace is how much later than its wait a watch may be answered. A
	// connection that something in between has forgotten is noticed by it.
	watchGrace = time.Second
	// maxRetryAfter bounds for how long a store is left alone at its word: what it takes from others
	// meanwhile is not known here.
	maxRetryAfter = 2 * time.Second

	// maxValue is the most that the platform holds in one object, in bytes.
	maxValue = 1 << 20
	// maxObjectAnswer and maxPageAnswer bound answers, in bytes.
	maxObjectAnswer = maxValue + 64<<10
	maxPageAnswer   = 64 << 20
)

// HTTP is the platform over HTTP. It implements Store and VMList.
//
// How calls are spelt is for a Dialect to say: Plain, unless Speaking names
// another. VMs are at /v1/vms.
//
// The platform answers 429 and 503 only to calls that it has not begun.
//
// Revisions of different eras of the store say nothing of each other. A watch from one era
// is never taken to go on in the next, nor a write to depend on what an object was in
// another: its revision may have been given out again.
type HTTP struct {
	base     string
	dialect  Dialect
	timeouts Timeouts
	clients  [clientCount]*http.Client
	eras     eraTracker
	backoffs backoffs
}

// Timeouts is how long a client waits for the platform.
type Timeouts struct {
	Call          time.Duration // for one call. A store that is merely slow must not hold its caller for ever
	WatchGrace    time.Duration // beyond the wait of a watch: a connection that has gone silent shows by it
	MaxRetryAfter time.Duration // for which a store that wants no calls is left alone at most
}

// NewHTTP returns a client for the platform at base, such as http://10.0.0.2:7000.
func NewHTTP(base string) *HTTP {
	dialer := net.Dialer{Timeout: dialTimeout}
	return NewHTTPWithDialer(base, dialer.DialContext)
}

// NewHTTPWithDialer is NewHTTP with connections that dial opens.
func NewHTTPWithDialer(base string, dial DialFunc) *HTTP {
	h := &HTTP{base: base, dialect: Plain{}, timeouts: Timeouts{Call: callTimeout, WatchGrace: watchGrace, MaxRetryAfter: maxRetryAfter}}
	for kind := range clientCount {
		h.clients[kind] = newClient(kind, dial)
	}
	return h
}

// WithTLS makes new connections use the configuration that config returns, such as
// one that trusts the platform's own authorities, and returns h.
func (h *HTTP) WithTLS(config func() *tls.Config) *HTTP {
	for _, client := range h.clients {
		t := client.Transport.(*http.Transport)
		t.DialTLSContext = dialTLS(t.DialContext, config)
	}
	return h
}

// WithDialect makes calls in a dialect, with a patience, and returns h.
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
		return err
	})
	return p, err
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, ref Ref, value json.RawMessage, ifVersion Version) (o Object, err error) {
	if len(value) > maxValue {
		return Object{}, errors.Wrapf(ErrRefused, "%s: %d bytes, at most %d fit", ref, len(value), maxValue)
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
	kind := kinds[len(kinds)-1]
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

// errNotModified is a conditional read that found nothing new.
var errNotModified = errors.New("topo: not modified")

// request is one call of the platform.
type request struct {
	Call
	name        callName
	kind        Kind          // of the objects, for the counters
	wait        time.Duration // of a watch
	baseVersion Version       // from which it watches, or on which it depends; zero: none
}

// eraChangedError returns how a call ends that depends on a version of another era than the one
// in which it is answered, or would be.
func (r request) eraChangedError() error {
	class := ErrConflict
	if r.name == callWatch {
		class = ErrCompacted
	}
	return errors.Wrapf(class, "%s %s: the store has come back from an older copy since %s", r.Method, r.Path, r.baseVersion)
}

func (r request) isWrite() bool {
	return r.Method != http.MethodGet
}

func (p Timeouts) callTimeoutFor(r request) time.Duration {
	if r.name == callWatch {
		return r.wait + p.WatchGrace
	}
	return p.Call
}

func (r request) answerLimit() int64 {
	if r.name == callList || r.name == callWatch || r.name == callVMs {
		return maxPageAnswer
	}
	return maxObjectAnswer
}

// call makes a call and counts it. A read that got no answer on a kept
// connection is made once more: the connection may have gone silent long ago,
// and only a read can be repeated without harm.
func (h *HTTP) call(ctx context.Context, r request, read func(Era, []byte) error) error {
	if r.baseVersion != 0 && h.eras.isOver(r.baseVersion.Era()) {
		err := r.eraChangedError()
		outcomes.Inc(outcomeOf(err))
		return err
	}
	if wait := h.backoffs.remaining(r, time.Now()); wait > 0 {
		outcomes.Inc(outcomeWithheld)
		return errors.Wrapf(ErrRefused, "%s %s: the store wants no calls for another %v", r.Method, r.Path, wait)
	}
	first, err := h.try(ctx, r, read)
	if first.reused && first.unanswered && !r.isWrite() && r.name != callWatch && ctx.Err() == nil {
		_, err = h.try(ctx, r, read)
	}
	outcomes.Inc(outcomeOf(err))
	return err
}

// attempt is what is known of one try of a call.
type attempt struct {
	connected  bool // there was a connection, so something may have been sent
	reused     bool // the connection had served another call before
	unanswered bool
}

func (h *HTTP) try(ctx context.Context, r request, read func(Era, []byte) error) (attempt, error) {
	calls.Inc(r.name)
	ctx, cancel := context.WithTimeout(ctx, h.timeouts.callTimeoutFor(r))
	defer cancel()
	var a attempt
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		a.connected, a.reused = true, info.Reused
		attribute(info.Conn, r)
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
		return h.unansweredError(client, r, a, err)
	}
	defer resp.Body.Close()
	head := h.dialect.Head(resp.StatusCode, resp.Header)
	era, newest := h.eras.observe(head.Era)
	h.backoffs.extend(r, time.Now(), min(head.RetryAfter, h.timeouts.MaxRetryAfter))
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.answerLimit()+1))
	if err != nil {
		return h.unansweredError(client, r, a, err)
	}
	if int64(len(body)) > r.answerLimit() {
		return a, malformedError(r, errors.Errorf("more than %d bytes", r.answerLimit()))
	}
	if err := statusError(r, resp.StatusCode); err != nil {
		return a, err
	}
	if err := r.checkEra(era, newest); err != nil || read == nil {
		return a, err
	}
	if err := read(era, body); err != nil {
		return a, malformedError(r, err)
	}
	return a, nil
}

// checkEra returns why an answer from an era is of no use; nil: it is.
func (r request) checkEra(era, newest Era) error {
	eraChanged := r.baseVersion != 0 && r.baseVersion.Era() != era
	switch {
	case r.isWrite() && (eraChanged || era < newest):
		// It was made, on top of what another wrote, or in a store that has lost it.
		return errors.Wrapf(ErrUnknown, "%s %s: written in era %d of the store", r.Method, r.Path, era)
	case era < newest:
		return errors.Wrapf(ErrRefused, "%s %s: answered in era %d of the store, which is over", r.Method, r.Path, era)
	case eraChanged:
		return r.eraChangedError()
	}
	return nil
}

// unansweredError classifies a call without an answer. A read changed nothing. A write
// that had no connection was not sent; any other may have taken effect before
// its answer was unansweredError. The kept connections may be as dead as this one was.
func (h *HTTP) unansweredError(client *http.Client, r request, a attempt, err error) (attempt, error) {
	a.unanswered = true
	client.CloseIdleConnections()
	class := ErrRefused
	if r.isWrite() && a.connected {
		class = ErrUnknown
	}
	return a, errors.Wrapf(class, "%s %s: %s", r.Method, r.Path, err)
}

// malformedError is an answer that makes no sense. A write was probably made, but
// who knows by whom it was answered.
func malformedError(r request, err error) error {
	class := ErrRefused
	if r.isWrite() {
		class = ErrUnknown
	}
	return errors.Wrapf(class, "%s %s: malformed answer: %s", r.Method, r.Path, err)
}

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
