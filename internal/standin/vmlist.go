package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// VMFaults are the faults injected into a VMList. The zero value injects none.
type VMFaults struct {
	// Down makes all reads fail.
	Down bool `json:"down,omitempty"`
	// Lag is the delay until reads return a change.
	Lag profile.Duration `json:"lag,omitempty"`
}

// VMList stands in for the platform's list of VMs. It implements topo.VMList.
type VMList struct {
	mu      sync.Mutex
	tag     int
	entries map[string]topo.VM
	pending []vmChange // not visible to reads yet, oldest first
	faults  VMFaults
}

// vmChange is a change of one entry. A nil vm removes the entry.
type vmChange struct {
	at time.Time
	id string
	vm *topo.VM
}

// NewVMList returns an empty VMList.
func NewVMList() *VMList {
	return &VMList{entries: make(map[string]topo.VM)}
}

// Register adds the list's routes to mux. Tests and dev mode change the list with PUT
// and DELETE of /v1/vms/{id}, and set its faults with PUT of /faults/vms.
func (l *VMList) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/vms", l.get)
	mux.HandleFunc("PUT /v1/vms/{id}", l.put)
	mux.HandleFunc("DELETE /v1/vms/{id}", l.remove)
	mux.HandleFunc("PUT /faults/vms", func(w http.ResponseWriter, r *http.Request) { serveFaults(w, r, l.SetFaults) })
}

// SetFaults replaces the faults.
func (l *VMList) SetFaults(f VMFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Set adds or replaces an entry.
func (l *VMList) Set(vm topo.VM) {
	l.change(vmChange{id: vm.ID, vm: &vm})
}

// Remove removes an entry.
func (l *VMList) Remove(id string) {
	l.change(vmChange{id: id})
}

func (l *VMList) change(c vmChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = time.Now()
	l.pending = append(l.pending, c)
}

// VMs implements topo.VMList.
func (l *VMList) VMs(_ context.Context, tag string) (topo.VMs, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return topo.VMs{}, false, errDown
	}
	l.applyPending(time.Now().Add(-l.faults.Lag.Std()))
	out := topo.VMs{Tag: strconv.Itoa(l.tag)}
	if out.Tag == tag {
		return topo.VMs{}, false, nil
	}
	for _, vm := range l.entries {
		out.Entries = append(out.Entries, vm)
	}
	slices.SortFunc(out.Entries, func(x, y topo.VM) int { return strings.Compare(x.ID, y.ID) })
	return out, true, nil
}

// applyPending applies the pending changes made at or before until. It needs l.mu held.
func (l *VMList) applyPending(until time.Time) {
	for len(l.pending) > 0 && !l.pending[0].at.After(until) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		l.tag++
		if c.vm == nil {
			delete(l.entries, c.id)
		} else {
			l.entries[c.id] = *c.vm
		}
	}
}

func (l *VMList) get(w http.ResponseWriter, r *http.Request) {
	vms, changed, err := l.VMs(r.Context(), strings.Trim(r.Header.Get("If-None-Match"), `"`))
	if err == nil && !changed {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeResult(w, vms, err)
}

func (l *VMList) put(w http.ResponseWriter, r *http.Request) {
	var vm topo.VM
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
