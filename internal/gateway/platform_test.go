package gateway_test

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/platform"
)

// store implements platform.Store in memory.
type store struct {
	mu      sync.Mutex
	version platform.Version
	objects map[platform.Ref]platform.Object
	changed chan struct{} // closed at each change, and replaced
	down    bool
	lose    int // answers to writes that are lost after they took effect
}

func newStore() *store {
	return &store{objects: make(map[platform.Ref]platform.Object), changed: make(chan struct{})}
}

func (s *store) put(kind platform.Kind, name string, v any) {
	spec, _ := json.Marshal(v)
	value, _ := config.Revision{Change: config.Change{ID: config.ChangeID(name)}, Spec: spec}.Encode()
	_, _ = s.Put(context.Background(), platform.Ref{Kind: kind, Name: name}, value, 0)
}

func (s *store) set(f func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *store) Get(_ context.Context, ref platform.Ref) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Object{}, platform.ErrRefused
	}
	o, ok := s.objects[ref]
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

func (s *store) List(_ context.Context, kind platform.Kind, _ string) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Page{}, platform.ErrRefused
	}
	p := platform.Page{Version: s.version}
	for ref, o := range s.objects {
		if ref.Kind == kind {
			p.Objects = append(p.Objects, o)
		}
	}
	return p, nil
}

func (s *store) Put(_ context.Context, ref platform.Ref, value json.RawMessage, ifVersion platform.Version) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Object{}, platform.ErrUnknown
	}
	if s.objects[ref].Version != ifVersion {
		return platform.Object{}, platform.ErrConflict
	}
	s.version++
	o := platform.Object{Ref: ref, Version: s.version, Value: value}
	s.objects[ref] = o
	close(s.changed)
	s.changed = make(chan struct{})
	if s.lose > 0 {
		s.lose--
		return platform.Object{}, platform.ErrUnknown
	}
	return o, nil
}

func (s *store) Delete(context.Context, platform.Ref, platform.Version) error {
	return platform.ErrRefused
}

func (s *store) Watch(ctx context.Context, kinds []platform.Kind, since platform.Version, wait time.Duration) (platform.Page, error) {
	for end := time.Now().Add(wait); ; {
		s.mu.Lock()
		p := platform.Page{Version: s.version}
		for ref, o := range s.objects {
			if o.Version > since && slices.Contains(kinds, ref.Kind) {
				p.Objects = append(p.Objects, o)
			}
		}
		down, changed := s.down, s.changed
		s.mu.Unlock()
		if down {
			return platform.Page{}, platform.ErrRefused
		}
		if len(p.Objects) > 0 || !time.Now().Before(end) {
			return p, nil
		}
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		}
	}
}

// vmList implements platform.VMList.
type vmList struct {
	mu  sync.Mutex
	vms platform.VMs
}

func (l *vmList) set(vm platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms.Entries = slices.DeleteFunc(slices.Clone(l.vms.Entries), func(o platform.VM) bool { return o.ID == vm.ID })
	l.vms.Entries = append(l.vms.Entries, vm)
	l.vms.Tag += "+"
}

func (l *vmList) VMs(_ context.Context, tag string) (platform.VMs, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vms, l.vms.Tag != tag, nil
}

// clone returns a store that stays as this one is now.
func (s *store) clone() *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &store{version: s.version, objects: maps.Clone(s.objects), changed: make(chan struct{})}
}

// clone returns a list that stays as this one is now.
func (l *vmList) clone() *vmList {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &vmList{vms: l.vms}
}
