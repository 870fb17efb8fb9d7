package standin

import (
	"maps"
	"slices"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// objects is the content of a store, or of a replica of it, at a version.
type objects struct {
	version topo.Version
	byRef   map[topo.Ref]topo.Object
	names   map[topo.Kind][]string // sorted; only for kinds that have been listed
}

func newObjects() *objects {
	return &objects{
		byRef: make(map[topo.Ref]topo.Object),
		names: make(map[topo.Kind][]string),
	}
}

// clone returns a copy without the index of names.
func (s *objects) clone() *objects {
	return &objects{version: s.version, byRef: maps.Clone(s.byRef), names: make(map[topo.Kind][]string)}
}

// apply makes the change that o describes, and sets the version to that of o.
func (s *objects) apply(o topo.Object) {
	_, existed := s.byRef[o.Ref]
	s.version = o.Version
	if o.Deleted {
		delete(s.byRef, o.Ref)
	} else {
		s.byRef[o.Ref] = o
	}
	if names, listed := s.names[o.Kind]; listed && existed == o.Deleted {
		i, _ := slices.BinarySearch(names, o.Name)
		if o.Deleted {
			s.names[o.Kind] = slices.Delete(names, i, i+1)
		} else {
			s.names[o.Kind] = slices.Insert(names, i, o.Name)
		}
	}
}

// applyNewer applies a logged change if it is newer than the current version.
func (s *objects) applyNewer(o topo.Object) {
	if o.Version > s.version {
		s.apply(o)
	}
}

// page returns up to pageSize objects of a kind, in order of name, whose names are
// greater than cont.
func (s *objects) page(kind topo.Kind, cont string) topo.Page {
	names, listed := s.names[kind]
	if !listed {
		names = s.indexNames(kind)
	}
	i, found := slices.BinarySearch(names, cont)
	if found {
		i++
	}
	end := min(i+pageSize, len(names))
	p := topo.Page{Version: s.version}
	for _, name := range names[i:end] {
		p.Objects = append(p.Objects, s.byRef[topo.Ref{Kind: kind, Name: name}])
	}
	if end < len(names) {
		p.Continue = names[end-1]
	}
	return p
}

// indexNames builds, stores and returns the sorted names of a kind.
func (s *objects) indexNames(kind topo.Kind) []string {
	names := []string{}
	for ref := range s.byRef {
		if ref.Kind == kind {
			names = append(names, ref.Name)
		}
	}
	slices.Sort(names)
	s.names[kind] = names
	return names
}
