// Package change writes configuration to the store for operators.
//
// A change is accepted exactly when the store has committed it. Operators make concurrent
// changes, and answers of the store can be lost. So a Commit ends in one of three ways: applied,
// not applied, or unknown. It reports unknown rather than an outcome that may be wrong.
package change

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Outcome is the result of a change.
type Outcome string

// Outcomes of a change.
const (
	// Applied is a change that the store has committed.
	Applied Outcome = "applied"
	// NotApplied is a change that was not committed and will not be.
	NotApplied Outcome = "not-applied"
	// Unknown is a change that may have been committed, or may yet be.
	Unknown Outcome = "unknown"
)

// StoredObject is an object as read from the store.
type StoredObject struct {
	Ref topo.Ref
	// Version in the store; zero if the store has no such object.
	Version  topo.Version
	Revision config.Revision
}

// Exists reports whether the object exists: the store has it and its newest
// revision is not a deletion.
func (o StoredObject) Exists() bool {
	return o.Version != 0 && !o.Revision.Deleted()
}

// Edit is a change that an operator requests.
type Edit struct {
	// Base is the object as the operator has read it. The change applies only if the
	// store still holds that version.
	Base StoredObject
	// Spec is the new content; nil deletes the object.
	Spec   json.RawMessage
	Author string
	Reason string
}

// Result is the outcome of an Edit.
type Result struct {
	Outcome Outcome
	Change  config.Change
	// Version at which an applied change was committed; zero if a later change replaced
	// it before its version could be read.
	Version topo.Version
	// Superseded reports whether an applied change has already been replaced.
	Superseded bool
	// Conflict describes the concurrent change that prevented this one; nil if there was none.
	Conflict *Conflict
	// Cause is why an outcome is unknown, or why a change was not applied if there
	// was no conflict.
	Cause error
}

// Conflict is the three sides of a conflict: the version that both operators started from,
// what this one wanted to write and what the store holds now.
type Conflict struct {
	Base   StoredObject
	Mine   config.Revision
	Theirs StoredObject // Version is zero if it could not be read
}

// Editor writes changes to a store.
type Editor struct {
	store topo.Store
	now   func() time.Time
	newID func() config.ChangeID
}

// NewEditor returns an Editor for a store.
func NewEditor(s topo.Store) *Editor {
	return &Editor{
		store: s,
		now:   time.Now,
		newID: func() config.ChangeID { return config.ChangeID(rand.Text()) },
	}
}

// Read returns an object as the store holds it. For an object that does not exist, it
// returns a StoredObject without a version and no error.
func (e *Editor) Read(ctx context.Context, ref topo.Ref) (StoredObject, error) {
	o, err := e.store.Get(ctx, ref)
	if errors.Is(err, topo.ErrNotFound) {
		return StoredObject{Ref: ref}, nil
	}
	if err != nil {
		return StoredObject{}, err
	}
	return decodeStored(o)
}

func decodeStored(o topo.Object) (StoredObject, error) {
	r, err := config.Decode(o.Value)
	if err != nil {
		return StoredObject{}, errors.Wrap(err, o.Ref.String())
	}
	return StoredObject{Ref: o.Ref, Version: o.Version, Revision: r}, nil
}

// List returns the objects of a kind that exist.
func (e *Editor) List(ctx context.Context, kind topo.Kind) ([]StoredObject, error) {
	var out []StoredObject
	cont := ""
	for {
		page, err := e.store.List(ctx, kind, cont)
		if err != nil {
			return nil, err
		}
		for _, o := range page.Objects {
			stored, err := decodeStored(o)
			if err != nil {
				return nil, err
			}
			if stored.Exists() {
				out = append(out, stored)
			}
		}
		if cont = page.Continue; cont == "" {
			return out, nil
		}
	}
}

// Commit writes a change. It returns when the outcome is certain, or with outcome Unknown
// when ctx ends first.
func (e *Editor) Commit(ctx context.Context, edit Edit) Result {
	r := config.Revision{
		Change: config.Change{
			ID:     e.newID(),
			Author: edit.Author,
			Time:   e.now().UTC(),
			Reason: edit.Reason,
			Parent: edit.Base.Revision.Change.ID,
		},
		Spec: edit.Spec,
	}
	value, err := r.Encode()
	if err != nil {
		return Result{Outcome: NotApplied, Change: r.Change, Cause: err}
	}
	// The history entry is written first, so that a change in force always has one. The
	// entry of a change that is not applied does no harm: no later change has it as an
	// ancestor.
	ancestors, err := e.writeHistory(ctx, edit.Base, r)
	if err != nil {
		return Result{Outcome: NotApplied, Change: r.Change, Cause: err}
	}
	write := commit{editor: e, base: edit.Base, mine: r, value: value}
	result := write.run(ctx)
	switch result.Outcome {
	case Applied:
		e.trimHistory(ctx, edit.Base.Ref, ancestors)
	case NotApplied:
		e.dropHistory(ctx, edit.Base.Ref, r.Change.ID)
	}
	return result
}

// Rollback commits a new revision on top of base, with the spec of an earlier revision.
func (e *Editor) Rollback(ctx context.Context, base StoredObject, to config.Revision, author, reason string) Result {
	return e.Commit(ctx, Edit{Base: base, Spec: to.Spec, Author: author, Reason: reason})
}
