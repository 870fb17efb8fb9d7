package gateway_test

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// store implements topo.Store in memory.
type store struct {
	mu          sync.Mutex
	version     topo.Version
	objects     map[topo.Ref]topo.Object
	changed     chan struct{} // closed and replaced on each change
	down        bool
	lostReplies int // number of writes to come that take effect, but whose response is lost
}

func newStore() *store {
	return &store{objects: make(map[topo.Ref]topo.Object), changed: make(chan struct{})}
}

func (s *store) put(kind topo.Kind, name string, v any) {
	spec, _ := json.Marshal(v)
	value, _ := config.Revision{Change: config.Change{ID: config.ChangeID(name)}, Spec: spec}.Encode()
	_, _ = s.Put(context.Background(), topo.Ref{Kind: kind, Name: name}, value, 0)
}

func (s *store) update(f func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *store) Get(_ context.Context, ref topo.Ref) (topo.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return topo.Object{}, topo.ErrRefused
	}
	o, ok := s.objects[ref]
	if !ok {
		return o, topo.ErrNotFound
	}
	return o, nil
}

func (s *store) List(_ context.Context, kind topo.Kind, _ string) (topo.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return topo.Page{}, topo.ErrRefused
	}
	p := topo.Page{Version: s.version}
	for ref, o := range s.objects {
		if ref.Kind == kind {
			p.Objects = append(p.Objects, o)
		}
	}
	return p, nil
}

func (s *store) Put(_ context.Context, ref topo.Ref, value json.RawMessage, ifVersion topo.Version) (topo.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return topo.Object{}, topo.ErrUnknown
	}
	if s.objects[ref].Version != ifVersion {
		return topo.Object{}, topo.ErrConflict
	}
	s.version++
	o := topo.Object{Ref: ref, Version: s.version, Value: value}
	s.objects[ref] = o
	close(s.changed)
	s.changed = make(chan struct{})
	if s.lostReplies > 0 {
		s.lostReplies--
		return topo.Object{}, topo.ErrUnknown
	}
	return o, nil
}

func (s *store) Delete(context.Context, topo.Ref, topo.Version) error {
	return topo.ErrRefused
}

func (s *store) Watch(ctx context.Context, kinds []topo.Kind, since topo.Version, wait time.Duration) (topo.Page, error) {
	for end := time.Now().Add(wait); ; {
		s.mu.Lock()
		p := topo.Page{Version: s.version}
		for ref, o := range s.objects {
			if o.Version > since && slices.Contains(kinds, ref.Kind) {
				p.Objects = append(p.Objects, o)
			}
		}
		down, changed := s.down, s.changed
		s.mu.Unlock()
		if down {
			return topo.Page{}, topo.ErrRefused
		}
		if len(p.Objects) > 0 || !time.Now().Before(end) {
			return p, nil
		}
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		case <-ctx.Done():
			return topo.Page{}, ctx.Err()
		}
	}
}

// vmList implements topo.VMList.
type vmList struct {
	mu  sync.Mutex
	vms topo.VMs
}

func (l *vmList) set(vm topo.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms.Entries = slices.DeleteFunc(slices.Clone(l.vms.Entries), func(o topo.VM) bool { return o.ID == vm.ID })
	l.vms.Entries = append(l.vms.Entries, vm)
	l.vms.Tag += "+"
}

func (l *vmList) VMs(_ context.Context, tag string) (topo.VMs, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vms, l.vms.Tag != tag, nil
}

// clone returns a store with the same objects that does not follow later changes.
func (s *store) clone() *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &store{version: s.version, objects: maps.Clone(s.objects), changed: make(chan struct{})}
}

// clone returns a list with the same VMs that does not follow later changes.
func (l *vmList) clone() *vmList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &vmList{vms: l.vms}
}
