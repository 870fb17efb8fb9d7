package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// callTimeout bounds one call to the platform. A store that is merely slow
	// must not hold the goroutine that asks it for ever.
	callTimeout = 5 * time.Second

	// maxResponse is the most that one answer of the platform may hold in bytes.
	maxResponse = 64 << 20
)

// HTTP is the platform over HTTP. It implements Store and VMList.
//
// Objects live at /v1/objects/{kind}/{name}; conditional writes use If-Match
// with the version and If-None-Match: *; a watch is a GET of /v1/watch that
// the server holds until something has changed. VMs are at /v1/vms.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns a client for the platform at base, such as http://10.0.0.2:7000.
func NewHTTP(base string) *HTTP {
	return &HTTP{base: base, client: &http.Client{}}
}

// Via makes calls go through t, such as one that trusts the platform's own
// authorities, and returns h.
func (h *HTTP) Via(t http.RoundTripper) *HTTP {
	h.client = &http.Client{Transport: t}
	return h
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, ref Ref) (Object, error) {
	var o Object
	err := h.call(ctx, callTimeout, request{method: http.MethodGet, path: objectPath(ref)}, &o)
	return o, err
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, kind Kind, cont string) (Page, error) {
	q := url.Values{}
	if cont != "" {
		q.Set("continue", cont)
	}
	var p Page
	path := "/v1/objects/" + url.PathEscape(string(kind)) + "?" + q.Encode()
	err := h.call(ctx, callTimeout, request{method: http.MethodGet, path: path}, &p)
	return p, err
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, ref Ref, value json.RawMessage, ifVersion Version) (Object, error) {
	var o Object
	r := request{method: http.MethodPut, path: objectPath(ref), body: value, header: condition(ifVersion)}
	err := h.call(ctx, callTimeout, r, &o)
	return o, err
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, ref Ref, ifVersion Version) error {
	r := request{method: http.MethodDelete, path: objectPath(ref), header: condition(ifVersion)}
	return h.call(ctx, callTimeout, r, nil)
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, kinds []Kind, since Version, wait time.Duration) (Page, error) {
	q := url.Values{}
	for _, k := range kinds {
		q.Add("kind", string(k))
	}
	q.Set("since", strconv.FormatInt(int64(since), 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var p Page
	err := h.call(ctx, wait+callTimeout, request{method: http.MethodGet, path: "/v1/watch?" + q.Encode()}, &p)
	return p, err
}

// VMs implements VMList.
func (h *HTTP) VMs(ctx context.Context, tag string) (VMs, bool, error) {
	r := request{method: http.MethodGet, path: "/v1/vms", header: http.Header{}}
	if tag != "" {
		r.header.Set("If-None-Match", strconv.Quote(tag))
	}
	var vms VMs
	err := h.call(ctx, callTimeout, r, &vms)
	if errors.Is(err, errNotModified) {
		return VMs{}, false, nil
	}
	return vms, err == nil, err
}

// errNotModified is a conditional read that found nothing new.
var errNotModified = errors.New("platform: not modified")

type request struct {
	method string
	path   string
	body   []byte
	header http.Header
}

func (r request) writes() bool {
	return r.method != http.MethodGet
}

func objectPath(ref Ref) string {
	return "/v1/objects/" + url.PathEscape(string(ref.Kind)) + "/" + url.PathEscape(ref.Name)
}

func condition(v Version) http.Header {
	h := http.Header{}
	if v == 0 {
		h.Set("If-None-Match", "*")
		return h
	}
	h.Set("If-Match", strconv.Quote(strconv.FormatInt(int64(v), 10)))
	return h
}

func (h *HTTP) call(ctx context.Context, timeout time.Duration, r request, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, h.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return errors.WithStack(err)
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	// net/http resends a request on a fresh connection when a kept one turns
	// out to be closed, unless it has a body that it can't rewind. A write that
	// took effect and lost its answer would then be made twice.
	if r.writes() {
		req.GetBody = nil
		req.Close = true
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return lost(r, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return lost(r, err)
	}
	if err := statusError(r, resp.StatusCode); err != nil {
		return err
	}
	if out == nil || len(body) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(body, out), "platform: malformed answer")
}

// lost classifies a call without an answer: a read changed nothing, while a
// write may have taken effect before its answer was lost.
func lost(r request, err error) error {
	if r.writes() {
		return errors.Wrapf(ErrUnknown, "%s %s: %s", r.method, r.path, err)
	}
	return errors.Wrapf(ErrRefused, "%s %s: %s", r.method, r.path, err)
}

func statusError(r request, status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotModified:
		return errNotModified
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict, status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusGone:
		return ErrCompacted
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return errors.Wrapf(ErrRefused, "%s %s: status %d", r.method, r.path, status)
	case r.writes():
		return errors.Wrapf(ErrUnknown, "%s %s: status %d", r.method, r.path, status)
	default:
		return errors.Wrapf(ErrRefused, "%s %s: status %d", r.method, r.path, status)
	}
}
