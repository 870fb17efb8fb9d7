// Package change writes configuration to the store for operators.
//
// A change is accepted exactly when the store has committed it. Operators race
// each other and answers get lost, so a Commit ends in one of three ways:
// applied, not applied, or unknown; it never guesses.
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

// Outcome is what became of a change.
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

// StoredObject is an object as it was read from the store.
type StoredObject struct {
	Ref topo.Ref
	// Version in the store; zero when the store has no such object.
	Version  topo.Version
	Revision config.Revision
}

// Exists reports whether the object exists: the store has it and its newest
// revision is not a deletion.
func (c StoredObject) Exists() bool {
	return c.Version != 0 && !c.Revision.Deleted()
}

// Edit is a change that an operator asks for.
type Edit struct {
	// Base is what the operator has seen. The change applies only if the store
	// still has it.
	Base StoredObject
	// Spec is the new content; nil deletes the object.
	Spec   json.RawMessage
	Author string
	Reason string
}

// Result says what became of an Edit.
type Result struct {
	Outcome Outcome
	Change  config.Change
	// Version at which an applied change was committed; zero when it was
	// replaced by a later one before its version could be read.
	Version topo.Version
	// Superseded says that an applied change has been replaced already.
	Superseded bool
	// Conflict is why a change was not applied: another operator was faster.
	Conflict *Conflict
	// Cause is why an outcome is unknown, or what kept a change from being
	// applied when it was no conflict.
	Cause error
}

// Conflict is the three sides of a race: what both operators began from, what
// this one wanted and what the store has now.
type Conflict struct {
	Base   StoredObject
	Mine   config.Revision
	Theirs StoredObject // Version is zero when it could not be read
}

// Editor makes changes in a store.
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

// Read returns an object as the store has it. An object that does not exist is
// no error.
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
			c, err := decodeStored(o)
			if err != nil {
				return nil, err
			}
			if c.Exists() {
				out = append(out, c)
			}
		}
		if cont = page.Continue; cont == "" {
			return out, nil
		}
	}
}

// Commit makes a change. It returns when the outcome is certain, or Unknown
// when ctx ends before.
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
	// The history goes first: a change that is in force always has one, and
	// that of a change that loses its race is not on the chain.
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

// Rollback makes a new revision with the spec of a former one.
func (e *Editor) Rollback(ctx context.Context, base StoredObject, to config.Revision, author, reason string) Result {
	return e.Commit(ctx, Edit{Base: base, Spec: to.Spec, Author: author, Reason: reason})
}
