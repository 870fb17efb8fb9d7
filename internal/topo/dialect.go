package topo

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/vocabulary"
)

// Call is an HTTP request to the platform.
type Call struct {
	Method string
	Path   string // with the query, if any
	Body   []byte
	Header http.Header
}

// Dialect encodes the calls of a platform's object API and decodes its responses.
// Object decodes the response of Get and Put, Page that of List and Watch. The kind
// passed to Page is that of the List, or the last one of the Watch. Where a Dialect has
// a Version, it is a revision without an era: HTTP adds the era that Head returns.
type Dialect interface {
	Get(ref Ref) Call
	List(kind Kind, cont string) Call
	Put(ref Ref, value json.RawMessage, ifVersion Version) Call
	Delete(ref Ref, ifVersion Version) Call
	Watch(kinds []Kind, since Version, wait time.Duration) Call
	Object(ref Ref, body []byte) (Object, error)
	Page(kind Kind, body []byte) (Page, error)
	// Head decodes the status and header of a response.
	Head(status int, header http.Header) Head
}

// Head is what the status and header of a response say about the store.
type Head struct {
	Era        Era           // zero: not reported
	RetryAfter time.Duration // the backoff that the store requests of this process; zero: none
}

// EraHeader is the response header with the era of the stand-in store.
const EraHeader = "Object-Era"

// Plain is the Dialect of this project's own stand-in store. Objects are at
// /v1/objects/{kind}/{name}; conditional writes use If-Match with the version
// and If-None-Match: *; a watch is a GET of /v1/watch that the server holds
// until something has changed.
type Plain struct{}

// Get implements Dialect.
func (Plain) Get(ref Ref) Call {
	return Call{Method: http.MethodGet, Path: objectPath(ref)}
}

// List implements Dialect.
func (Plain) List(kind Kind, cont string) Call {
	q := url.Values{}
	if cont != "" {
		q.Set("continue", cont)
	}
	return Call{Method: http.MethodGet, Path: "/v1/objects/" + url.PathEscape(string(kind)) + "?" + q.Encode()}
}

// Put implements Dialect.
func (Plain) Put(ref Ref, value json.RawMessage, ifVersion Version) Call {
	return Call{Method: http.MethodPut, Path: objectPath(ref), Body: value, Header: conditionHeader(ifVersion)}
}

// Delete implements Dialect.
func (Plain) Delete(ref Ref, ifVersion Version) Call {
	return Call{Method: http.MethodDelete, Path: objectPath(ref), Header: conditionHeader(ifVersion)}
}

// Watch implements Dialect.
func (Plain) Watch(kinds []Kind, since Version, wait time.Duration) Call {
	q := url.Values{}
	for _, k := range kinds {
		q.Add("kind", string(k))
	}
	q.Set("since", strconv.FormatInt(int64(since), 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return Call{Method: http.MethodGet, Path: "/v1/watch?" + q.Encode()}
}

// Object implements Dialect.
func (Plain) Object(_ Ref, body []byte) (o Object, err error) {
	err = json.Unmarshal(body, &o)
	return o, err
}

// Page implements Dialect.
func (Plain) Page(_ Kind, body []byte) (p Page, err error) {
	err = json.Unmarshal(body, &p)
	return p, err
}

// Head implements Dialect.
func (Plain) Head(status int, header http.Header) Head {
	plainStatuses.CheckStatus(status, plainSource)
	plainHeaders.CheckHeaders(header, plainSource)
	return Head{Era: ParseEra(header.Get(EraHeader)), RetryAfter: ParseRest(status, header.Get(RetryAfterHeader))}
}

// RetryAfterHeader is the response header with the backoff that the stand-in store
// requests, in seconds.
const RetryAfterHeader = "Retry-After"

// ParseRest returns the backoff that a store requests by a response of status 429 or 503
// with the given seconds, possibly fractional, in its Retry-After header. It returns at most
// an hour, and zero if the status is another one or the seconds are invalid.
func ParseRest(status int, seconds string) time.Duration {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0
	}
	n, err := strconv.ParseFloat(seconds, 64)
	if err != nil || !(n > 0) {
		return 0
	}
	return time.Duration(min(n, time.Hour.Seconds()) * float64(time.Second))
}

// plainSource is the source under which the vocabulary reports unknown words of responses.
const plainSource = "an answer of the object API"

// Headers and statuses that Plain reads or ignores on purpose.
var (
	plainHeaders = vocabulary.New("header of the object API's answer",
		vocabulary.Word{Name: EraHeader, Reader: "topo.Plain.Head"},
		vocabulary.Word{Name: RetryAfterHeader, Reader: "topo.Plain.Head"},
		vocabulary.Word{Name: "Content-Type", IgnoreReason: "answers have one form"},
		vocabulary.Word{Name: "Content-Length", IgnoreReason: "net/http reads it"},
		vocabulary.Word{Name: "Transfer-Encoding", IgnoreReason: "net/http reads it"},
		vocabulary.Word{Name: "Connection", IgnoreReason: "net/http reads it"},
		vocabulary.Word{Name: "X-Content-Type-Options", IgnoreReason: "it is for browsers"},
		vocabulary.Word{Name: "Date", IgnoreReason: "clocks differ"},
	)
	plainStatuses = vocabulary.New("status of the object API's answer",
		vocabulary.Word{Name: "200", Reader: "topo.statusError"},
		vocabulary.Word{Name: "304", Reader: "topo.statusError"},
		vocabulary.Word{Name: "400", IgnoreReason: "handled like any other refusal"},
		vocabulary.Word{Name: "404", Reader: "topo.statusError"},
		vocabulary.Word{Name: "409", Reader: "topo.statusError"},
		vocabulary.Word{Name: "410", Reader: "topo.statusError"},
		vocabulary.Word{Name: "412", Reader: "topo.statusError"},
		vocabulary.Word{Name: "429", Reader: "topo.ParseRest"},
		vocabulary.Word{Name: "503", Reader: "topo.statusError"},
	)
)

// PlainVocabulary returns the tables of the headers and statuses of Plain.
func PlainVocabulary() []*vocabulary.Table {
	return []*vocabulary.Table{plainHeaders, plainStatuses}
}

// ParseEra returns the era that a header value holds, or zero if it holds none.
func ParseEra(value string) Era {
	era, err := strconv.ParseInt(value, 10, 64)
	if err != nil || era < 0 {
		return 0
	}
	return Era(era)
}

func objectPath(ref Ref) string {
	return "/v1/objects/" + url.PathEscape(string(ref.Kind)) + "/" + url.PathEscape(ref.Name)
}

// conditionHeader returns the header that makes a write conditional on version v, or on
// the absence of the object if v is zero.
func conditionHeader(v Version) http.Header {
	h := http.Header{}
	if v == 0 {
		h.Set("If-None-Match", "*")
		return h
	}
	h.Set("If-Match", strconv.Quote(strconv.FormatInt(int64(v), 10)))
	return h
}
