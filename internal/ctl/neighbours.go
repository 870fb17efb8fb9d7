package ctl

import (
	"context"

	"github.com/parsleyfront/parsleyfront/internal/config/change"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// listThreshold is the highest number of objects of a kind that are read one by
// one. For more, a listing with some hundred objects a page takes fewer calls.
// It is also the highest number of objects that --wait names to routers one by
// one.
const listThreshold = 20

// snapshot holds objects of the store, each read once.
type snapshot struct {
	app     *app
	objects map[topo.Ref]change.StoredObject
	listed  map[topo.Kind]bool
}

func (a *app) newSnapshot() *snapshot {
	return &snapshot{app: a, objects: make(map[topo.Ref]change.StoredObject), listed: make(map[topo.Kind]bool)}
}

// prefetch lists the kinds of which docs contain more than listThreshold
// objects.
func (s *snapshot) prefetch(ctx context.Context, docs []profile.Document) error {
	count := make(map[topo.Kind]int)
	for _, d := range docs {
		kind := d.Object.Ref().Kind
		if count[kind]++; count[kind] == listThreshold+1 {
			if err := s.list(ctx, kind); err != nil {
				return err
			}
		}
	}
	return nil
}

// read returns an object, from the store if it was not read before. For one that
// does not exist it returns no error, and Exists reports false.
func (s *snapshot) read(ctx context.Context, ref topo.Ref) (change.StoredObject, error) {
	if current, ok := s.objects[ref]; ok {
		return current, nil
	}
	// A listing omits deleted objects, whose versions are needed too.
	current, err := s.app.editor.Read(ctx, ref)
	if err == nil {
		s.objects[ref] = current
	}
	return current, err
}

// list reads all objects of a kind. Objects read before are kept as they are.
func (s *snapshot) list(ctx context.Context, kind topo.Kind) error {
	if s.listed[kind] {
		return nil
	}
	all, err := s.app.editor.List(ctx, kind)
	if err != nil {
		return err
	}
	s.listed[kind] = true
	for _, o := range all {
		if _, known := s.objects[o.Ref]; !known {
			s.objects[o.Ref] = o
		}
	}
	return nil
}

// readRelated reads the stored objects that a check of docs requires: those
// that docs refer to, and those that docs could make invalid. It does not read
// all objects, because a store holds very many organisations and most changes
// concern few.
func (s *snapshot) readRelated(ctx context.Context, docs []profile.Document) error {
	for _, d := range docs {
		var err error
		switch o := d.Object.(type) {
		case *profile.Profile:
			_, err = s.read(ctx, topo.Ref{Kind: topo.KindPool, Name: o.Pool})
		case *profile.Pool:
			err = s.list(ctx, topo.KindProfile)
		case *profile.Organisation:
			err = s.readRelatedToOrganisation(ctx, o)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *snapshot) readRelatedToOrganisation(ctx context.Context, o *profile.Organisation) error {
	for _, name := range o.Profiles {
		if _, err := s.read(ctx, topo.Ref{Kind: topo.KindProfile, Name: name}); err != nil {
			return err
		}
	}
	current, err := s.read(ctx, o.Ref())
	if err != nil || !hasNewKey(o, current) {
		return err
	}
	// Only a new key can be in use by another organisation.
	return s.list(ctx, topo.KindOrganisation)
}

// hasNewKey reports whether o has a key that the stored object does not have.
func hasNewKey(o *profile.Organisation, current change.StoredObject) bool {
	known := make(map[string]bool)
	if stored, err := profile.Decode(current.Ref, current.Revision.Spec); err == nil {
		for _, k := range stored.(*profile.Organisation).Keys {
			known[k.SHA256] = true
		}
	}
	for _, k := range o.Keys {
		if !known[k.SHA256] {
			return true
		}
	}
	return false
}

// validObjects returns the objects that exist and are valid. Routers reject
// invalid ones.
func (s *snapshot) validObjects() profile.Set {
	set := make(profile.Set, len(s.objects))
	for ref, current := range s.objects {
		if !current.Exists() {
			continue
		}
		o, err := profile.Decode(ref, current.Revision.Spec)
		if err != nil {
			s.app.notef("warning: the stored %s is invalid: %s", ref, err)
			continue
		}
		set[ref] = o
	}
	return set
}

// checkReferences checks the references between docs and the objects in the
// store.
func (s *snapshot) checkReferences(ctx context.Context, docs []profile.Document) error {
	if err := s.readRelated(ctx, docs); err != nil {
		return err
	}
	if problems := profile.CheckReferences(docs, s.validObjects()); len(problems) > 0 {
		return problems
	}
	return nil
}
