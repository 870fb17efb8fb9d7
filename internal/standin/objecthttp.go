package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Register adds the API's routes to mux. GET and PUT of /faults/objects read
// and set the faults, POST of /faults/objects/compact discards the change log,
// and GET of /debug/objects returns the call counts.
func (a *ObjectAPI) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", a.serveGet)
	mux.HandleFunc("GET /v1/objects/{kind}", a.serveList)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", a.servePut)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", a.serveDelete)
	mux.HandleFunc("GET /v1/watch", a.serveWatch)
	mux.HandleFunc("GET /debug/objects", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.Counts()) })
	mux.HandleFunc("GET /faults/objects", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.Faults()) })
	mux.HandleFunc("PUT /faults/objects", func(w http.ResponseWriter, r *http.Request) { serveFaults(w, r, a.SetFaults) })
	mux.HandleFunc("POST /faults/objects/compact", func(http.ResponseWriter, *http.Request) { a.Compact(0) })
}

// serveFaults decodes faults from the request body and passes them to set. Unknown
// fields are rejected.
func serveFaults[F any](w http.ResponseWriter, r *http.Request, set func(F)) {
	var f F
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	set(f)
}

func objectRef(r *http.Request) topo.Ref {
	return topo.Ref{Kind: topo.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
}

// writeObject writes an object, or the status code of err. On the wire, versions are
// revisions, and the era is sent in a header.
func (a *ObjectAPI) writeObject(w http.ResponseWriter, o topo.Object, err error) {
	a.setEraHeader(w, o.Version, err)
	o.Version = o.Version.Revision()
	writeResult(w, o, err)
}

// writePage writes a page, or the status code of err, in the same form as writeObject.
func (a *ObjectAPI) writePage(w http.ResponseWriter, p topo.Page, err error) {
	a.setEraHeader(w, p.Version, err)
	p.Version = p.Version.Revision()
	for i := range p.Objects {
		p.Objects[i].Version = p.Objects[i].Version.Revision()
	}
	writeResult(w, p, err)
}

// setEraHeader sets the era header of a response: the era of v, or the store's current
// era if err is not nil.
func (a *ObjectAPI) setEraHeader(w http.ResponseWriter, v topo.Version, err error) {
	era := v.Era()
	if err != nil {
		era = a.Era()
	}
	w.Header().Set(topo.EraHeader, strconv.FormatInt(int64(era), 10))
}

// versionAt returns the version for a revision sent by a caller, in the current era.
// Revision zero is version zero.
func (a *ObjectAPI) versionAt(revision topo.Version) topo.Version {
	if revision == 0 {
		return 0
	}
	return topo.VersionAt(a.Era(), revision)
}

func (a *ObjectAPI) serveGet(w http.ResponseWriter, r *http.Request) {
	o, err := a.Get(r.Context(), objectRef(r))
	a.writeObject(w, o, err)
}

func (a *ObjectAPI) serveList(w http.ResponseWriter, r *http.Request) {
	p, err := a.List(r.Context(), topo.Kind(r.PathValue("kind")), r.URL.Query().Get("continue"))
	a.writePage(w, p, err)
}

func (a *ObjectAPI) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	v, ok := parsePrecondition(r.Header)
	if err != nil || !ok || !json.Valid(body) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o, err := a.Put(r.Context(), objectRef(r), body, a.versionAt(v))
	a.writeObject(w, o, err)
}

func (a *ObjectAPI) serveDelete(w http.ResponseWriter, r *http.Request) {
	v, ok := parsePrecondition(r.Header)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	err := a.Delete(r.Context(), objectRef(r), a.versionAt(v))
	a.setEraHeader(w, topo.VersionAt(a.Era(), 0), err)
	writeResult(w, struct{}{}, err)
}

func (a *ObjectAPI) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseInt(q.Get("since"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	var kinds []topo.Kind
	for _, k := range q["kind"] {
		kinds = append(kinds, topo.Kind(k))
	}
	p, err := a.Watch(r.Context(), kinds, a.versionAt(topo.Version(since)), time.Duration(waitMS)*time.Millisecond)
	a.writePage(w, p, err)
}

// parsePrecondition returns the version that a write requires, and whether the headers
// contain a valid one. Version zero means that the object must not exist.
func parsePrecondition(h http.Header) (topo.Version, bool) {
	if h.Get("If-None-Match") == "*" {
		return 0, true
	}
	v, err := strconv.ParseInt(strings.Trim(h.Get("If-Match"), `"`), 10, 64)
	return topo.Version(v), err == nil
}

// writeResult writes v as JSON, or the status code of err. It closes the connection
// without a response for errors that have no status code.
func writeResult(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		writeJSON(w, v)
	case errors.Is(err, topo.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, topo.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, topo.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, errRateLimited):
		w.WriteHeader(http.StatusTooManyRequests)
	case errors.Is(err, errDown):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
