package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/parsleyfront/parsleyfront/internal/platform"
)

// VMList is the platform's list of VMs.
type VMList struct {
	mu      sync.Mutex
	tag     int
	entries map[string]platform.VM
}

// NewVMList returns an empty VMList.
func NewVMList() *VMList {
	return &VMList{entries: make(map[string]platform.VM)}
}

// Register adds the list's routes to mux. PUT and DELETE of /v1/vms/{id} are
// how tests and dev mode change the list.
func (l *VMList) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/vms", l.get)
	mux.HandleFunc("PUT /v1/vms/{id}", l.put)
	mux.HandleFunc("DELETE /v1/vms/{id}", l.remove)
}

// Set adds or replaces an entry.
func (l *VMList) Set(vm platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[vm.ID] = vm
	l.tag++
}

// Remove takes an entry out.
func (l *VMList) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, id)
	l.tag++
}

func (l *VMList) read() platform.VMs {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := platform.VMs{Tag: strconv.Itoa(l.tag)}
	for _, vm := range l.entries {
		out.Entries = append(out.Entries, vm)
	}
	slices.SortFunc(out.Entries, func(x, y platform.VM) int { return strings.Compare(x.ID, y.ID) })
	return out
}

func (l *VMList) get(w http.ResponseWriter, r *http.Request) {
	vms := l.read()
	if r.Header.Get("If-None-Match") == strconv.Quote(vms.Tag) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, vms)
}

func (l *VMList) put(w http.ResponseWriter, r *http.Request) {
	var vm platform.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.ID = r.PathValue("id")
	l.Set(vm)
}

func (l *VMList) remove(_ http.ResponseWriter, r *http.Request) {
	l.Remove(r.PathValue("id"))
}
