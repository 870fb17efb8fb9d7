// Package standin holds the small stand-ins that take the place of the outside
// systems in tests and in dev mode: the platform's object API and VM list, the
// weight store, a model engine and a plain service.
//
// They are fakes at the interfaces, made to be broken: each has its faults,
// switched on by tests in-process or over HTTP.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/platform"
)

const (
	maxObject = 1 << 20
	pageSize  = 500
)

// ObjectAPI is the platform's object API.
type ObjectAPI struct {
	mu      sync.Mutex
	version platform.Version
	objects map[platform.Ref]platform.Object
	log     []platform.Object // every change, in order of version
	changed chan struct{}     // closed and replaced at each change
	calls   map[string]int
}

// NewObjectAPI returns an empty ObjectAPI.
func NewObjectAPI() *ObjectAPI {
	return &ObjectAPI{
		objects: make(map[platform.Ref]platform.Object),
		changed: make(chan struct{}),
		calls:   make(map[string]int),
	}
}

// Register adds the API's routes to mux.
func (a *ObjectAPI) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", a.get)
	mux.HandleFunc("GET /v1/objects/{kind}", a.list)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", a.put)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", a.remove)
	mux.HandleFunc("GET /v1/watch", a.watch)
}

// Calls returns how many calls were served, by HTTP method.
func (a *ObjectAPI) Calls() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]int, len(a.calls))
	for k, v := range a.calls {
		out[k] = v
	}
	return out
}

func (a *ObjectAPI) count(r *http.Request) {
	a.calls[r.Method]++
}

func ref(r *http.Request) platform.Ref {
	return platform.Ref{Kind: platform.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
}

func (a *ObjectAPI) get(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	a.count(r)
	o, ok := a.objects[ref(r)]
	a.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, o)
}

func (a *ObjectAPI) list(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count(r)
	kind := platform.Kind(r.PathValue("kind"))
	after := r.URL.Query().Get("continue")
	p := platform.Page{Version: a.version}
	for ref, o := range a.objects {
		if ref.Kind == kind && ref.Name > after {
			p.Objects = append(p.Objects, o)
		}
	}
	slices.SortFunc(p.Objects, func(x, y platform.Object) int { return strings.Compare(x.Name, y.Name) })
	if len(p.Objects) > pageSize {
		p.Objects = p.Objects[:pageSize]
		p.Continue = p.Objects[pageSize-1].Name
	}
	writeJSON(w, p)
}

func (a *ObjectAPI) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObject))
	if err != nil || !json.Valid(body) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count(r)
	id := ref(r)
	if !a.holds(id, r.Header) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	o := platform.Object{Ref: id, Value: body}
	writeJSON(w, a.commit(o))
}

func (a *ObjectAPI) remove(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count(r)
	id := ref(r)
	if _, ok := a.objects[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !a.holds(id, r.Header) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	writeJSON(w, a.commit(platform.Object{Ref: id, Deleted: true}))
}

// holds reports whether the condition in h is true of the object now.
func (a *ObjectAPI) holds(id platform.Ref, h http.Header) bool {
	o, exists := a.objects[id]
	if h.Get("If-None-Match") == "*" {
		return !exists
	}
	want := h.Get("If-Match")
	return exists && want == strconv.Quote(strconv.FormatInt(int64(o.Version), 10))
}

func (a *ObjectAPI) commit(o platform.Object) platform.Object {
	a.version++
	o.Version = a.version
	if o.Deleted {
		delete(a.objects, o.Ref)
	} else {
		a.objects[o.Ref] = o
	}
	a.log = append(a.log, o)
	close(a.changed)
	a.changed = make(chan struct{})
	return o
}

func (a *ObjectAPI) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseInt(q.Get("since"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMS)*time.Millisecond)
	defer cancel()
	a.mu.Lock()
	a.count(r)
	for {
		p := a.since(platform.Version(since), q["kind"])
		changed := a.changed
		a.mu.Unlock()
		if len(p.Objects) > 0 || ctx.Err() != nil {
			writeJSON(w, p)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
		a.mu.Lock()
	}
}

func (a *ObjectAPI) since(v platform.Version, kinds []string) platform.Page {
	p := platform.Page{Version: a.version}
	for _, o := range a.log {
		if o.Version > v && slices.Contains(kinds, string(o.Kind)) {
			p.Objects = append(p.Objects, o)
		}
	}
	return p
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
