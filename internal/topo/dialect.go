package topo

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/vocabulary"
)

// Call is one call of the platform as it is sent.
type Call struct {
	Method string
	Path   string // with the query, if any
	Body   []byte
	Header http.Header
}

// Dialect is how a platform spells the calls of its object API. Its answers to
// one object and to a listing or watch are read by Object and Page. Versions in calls and
// answers are the revisions of the era that Era returns.
type Dialect interface {
	Get(ref Ref) Call
	List(kind Kind, cont string) Call
	Put(ref Ref, value json.RawMessage, ifVersion Version) Call
	Delete(ref Ref, ifVersion Version) Call
	Watch(kinds []Kind, since Version, wait time.Duration) Call
	Object(ref Ref, body []byte) (Object, error)
	Page(kind Kind, body []byte) (Page, error)
	// Head reads the head of an answer.
	Head(status int, header http.Header) Head
}

// Head is what the head of an answer says of the store that has given it.
type Head struct {
	Era        Era           // zero: its versions order all its changes
	RetryAfter time.Duration // for which it wants no more calls of this process; zero: it does not ask
}

// EraHeader names the era of the stand-in in its answers.
const EraHeader = "Object-Era"

// Plain is the Dialect of this project's own stand-in. Objects live at
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
	plainStatuses.Status(status, plainSource)
	plainHeaders.Headers(header, plainSource)
	return Head{Era: ParseEra(header.Get(EraHeader)), RetryAfter: ParseRest(status, header.Get(RetryAfterHeader))}
}

// RetryAfterHeader names the seconds for which the stand-in wants no more calls.
const RetryAfterHeader = "Retry-After"

// ParseRest returns for how long a store that answers with a status and a time in seconds
// wants no more calls; zero: it does not ask, or in a way that makes no sense.
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

// plainSource names an answer of the object API where words are noticed.
const plainSource = "an answer of the object API"

// Words of the object API that Plain speaks.
var (
	plainHeaders = vocabulary.New("header of the object API's answer",
		vocabulary.Word{Name: EraHeader, Reader: "topo.Plain.Head"},
		vocabulary.Word{Name: RetryAfterHeader, Reader: "topo.Plain.Head"},
		vocabulary.Word{Name: "Content-Type", Why: "answers have one form"},
		vocabulary.Word{Name: "Content-Length", Why: "net/http reads it"},
		vocabulary.Word{Name: "Transfer-Encoding", Why: "net/http reads it"},
		vocabulary.Word{Name: "Connection", Why: "net/http reads it"},
		vocabulary.Word{Name: "X-Content-Type-Options", Why: "it is for browsers"},
		vocabulary.Word{Name: "Date", Why: "clocks differ"},
	)
	plainStatuses = vocabulary.New("status of the object API's answer",
		vocabulary.Word{Name: "200", Reader: "topo.statusError"},
		vocabulary.Word{Name: "304", Reader: "topo.statusError"},
		vocabulary.Word{Name: "400", Why: "it is a refusal like any other from there on"},
		vocabulary.Word{Name: "404", Reader: "topo.statusError"},
		vocabulary.Word{Name: "409", Reader: "topo.statusError"},
		vocabulary.Word{Name: "410", Reader: "topo.statusError"},
		vocabulary.Word{Name: "412", Reader: "topo.statusError"},
		vocabulary.Word{Name: "429", Reader: "topo.ParseRest"},
		vocabulary.Word{Name: "503", Reader: "topo.statusError"},
	)
)

// PlainVocabulary returns the tables of Plain, for those who ask what is read.
func PlainVocabulary() []*vocabulary.Table {
	return []*vocabulary.Table{plainHeaders, plainStatuses}
}

// ParseEra returns the era that a header names; zero: it names none.
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

func conditionHeader(v Version) http.Header {
	h := http.Header{}
	if v == 0 {
		h.Set("If-None-Match", "*")
		return h
	}
	h.Set("If-Match", strconv.Quote(strconv.FormatInt(int64(v), 10)))
	return h
}
