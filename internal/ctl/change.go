package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/config/change"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// edit is a change to be made to an object, with the stored object that it is
// based on.
type edit struct {
	base  change.StoredObject
	spec  json.RawMessage // nil deletes
	label string          // label of the new content in a diff
}

// isUnchanged reports whether the store already has the content of e.
func (e edit) isUnchanged() bool {
	if e.spec == nil || !e.base.Exists() {
		return e.spec == nil && !e.base.Exists()
	}
	return equalSpecs(e.base, e.spec)
}

// equalSpecs reports whether a stored object has the content of spec. It
// decodes and encodes the stored object first, so that a field that an older
// release left at its default is not a difference.
func equalSpecs(base change.StoredObject, spec json.RawMessage) bool {
	stored, err := profile.Decode(base.Ref, base.Revision.Spec)
	if err != nil {
		return false
	}
	text, err := profile.Encode(stored)
	return err == nil && string(text) == string(spec)
}

// state is the outcome for one object of an apply.
type state string

const (
	stateCreated   state = "created"
	stateUpdated   state = "updated"
	stateDeleted   state = "deleted"
	stateUnchanged state = "unchanged"
	stateConflict  state = "conflict"
	stateFailed    state = "failed"
	stateUnknown   state = "unknown"
	stateSkipped   state = "skipped" // not attempted, because an earlier edit failed
)

// objectResult is the result for one object of an apply.
type objectResult struct {
	topo.Ref
	State   state           `json:"state"`
	Version topo.Version    `json:"version,omitempty"`
	Change  config.ChangeID `json:"change,omitempty"`
	Error   string          `json:"error,omitempty"`
}

func (a objectResult) changed() bool {
	return a.State == stateCreated || a.State == stateUpdated || a.State == stateDeleted
}

// applyResult is the result of an apply.
type applyResult struct {
	Objects []objectResult `json:"objects"`
	Key     *newKey        `json:"key,omitempty"`      // set by key add
	InForce *inForceStatus `json:"in_force,omitempty"` // set with --wait
}

func (r applyResult) table(w io.Writer) {
	fmt.Fprintln(w, "OBJECT\tSTATE\tVERSION\tCHANGE")
	for _, o := range r.Objects {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", o.Ref, o.State, formatOrDash(o.Version), o.Change)
	}
	if r.InForce != nil {
		r.InForce.table(w)
	}
	if r.Key != nil {
		fmt.Fprintln(w)
		r.Key.table(w)
	}
}

// formatOrDash formats n, or returns a dash if n is zero: unknown, or no bound.
func formatOrDash[N ~int64](n N) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}

// writeOrder returns the position of a kind in the order of writes, in which no
// object is written before those it refers to.
func writeOrder(k topo.Kind) int {
	return slices.Index([]topo.Kind{topo.KindPool, topo.KindProfile, topo.KindOrganisation, topo.KindDrain, topo.KindDomainDrain}, k)
}

// applyEdits commits edits, prints the result for each object and, with --wait,
// waits until they are in force.
func (a *app) applyEdits(ctx context.Context, o changeOptions, edits []edit) error {
	r, failed := a.commitEdits(ctx, o, edits)
	if err := a.print(r); err != nil {
		return err
	}
	return failed
}

// commitEdits commits edits one after the other and skips the rest after the
// first failure.
func (a *app) commitEdits(ctx context.Context, o changeOptions, edits []edit) (applyResult, error) {
	slices.SortStableFunc(edits, func(x, y edit) int { return cmp.Compare(writeOrder(x.base.Ref.Kind), writeOrder(y.base.Ref.Kind)) })
	var r applyResult
	var failed error
	for _, e := range edits {
		if failed != nil {
			r.Objects = append(r.Objects, objectResult{Ref: e.base.Ref, State: stateSkipped})
			continue
		}
		var obj objectResult
		obj, failed = a.commitEdit(ctx, o, e)
		r.Objects = append(r.Objects, obj)
	}
	if failed == nil && o.Wait {
		r.InForce, failed = a.awaitInForce(ctx, o.WaitTimeout, r.Objects)
	}
	return r, partialFailure(r, failed)
}

// partialFailure returns an error with ExitPartial if one edit failed after
// others were committed. Otherwise it returns failed, also if its exit code is
// ExitUnknown or ExitNotInForce, which say more than ExitPartial.
func partialFailure(r applyResult, failed error) error {
	if failed == nil || !slices.ContainsFunc(r.Objects, objectResult.changed) {
		return failed
	}
	if code, _ := classify(failed); code == ExitUnknown || code == ExitNotInForce {
		return failed
	}
	return newExitError(ExitPartial, "what is listed as created, updated or deleted is in the store; mend the rest and apply again", "%s", failed)
}

func (a *app) commitEdit(ctx context.Context, o changeOptions, e edit) (objectResult, error) {
	obj := objectResult{Ref: e.base.Ref, Version: e.base.Version, Change: e.base.Revision.Change.ID, State: stateUnchanged}
	if e.isUnchanged() {
		return obj, nil
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, a.options.Timeout)
	defer cancel()
	result := a.editor.Commit(timeoutCtx, change.Edit{Base: e.base, Spec: e.spec, Author: a.author(), Reason: o.Reason})
	obj.Version, obj.Change = result.Version, result.Change.ID
	switch {
	case result.Outcome == change.Applied:
		obj.State = appliedState(e)
		if result.Superseded {
			a.notef("warning: %s has been changed again by another operator since", e.base.Ref)
		}
		return obj, nil
	case result.Outcome == change.Unknown:
		obj.State, obj.Error = stateUnknown, fmt.Sprint(result.Cause)
		return obj, newExitError(ExitUnknown,
			fmt.Sprintf("look for change %s in 'parsleyctl history %s'; applying the same content again is safe", obj.Change, e.base.Ref),
			"%s: it is unknown whether the change took effect: %s", e.base.Ref, obj.Error)
	case result.Conflict != nil:
		obj.State = stateConflict
		return obj, a.conflictError(*result.Conflict, e.label)
	default:
		obj.State, obj.Error = stateFailed, fmt.Sprint(result.Cause)
		code, advice := classify(result.Cause)
		return obj, newExitError(code, advice, "%s was not changed: %s", e.base.Ref, obj.Error)
	}
}

func appliedState(e edit) state {
	switch {
	case e.spec == nil:
		return stateDeleted
	case e.base.Exists():
		return stateUpdated
	default:
		return stateCreated
	}
}

// conflictError prints how both operators changed their common base and returns
// an error with ExitConflict. ownLabel is the label of this operator's content
// in the diff.
func (a *app) conflictError(c change.Conflict, ownLabel string) error {
	ref, base := c.Base.Ref, c.Base.Revision.Spec
	theirs, err := diffSpecs(ref, base, c.Theirs.Revision.Spec, "before", "as changed by "+authorLabel(c.Theirs.Revision.Change))
	if err != nil {
		return err
	}
	own, err := diffSpecs(ref, base, c.Mine.Spec, "before", ownLabel)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.errOut, "%s%s", theirs, own)
	return newExitError(ExitConflict,
		fmt.Sprintf("see 'parsleyctl get %s', bring both changes together and apply again", ref),
		"%s was changed by another operator at the same time; your change was not made", ref)
}

// authorLabel returns a label for the author of a change.
func authorLabel(c config.Change) string {
	if c.Author == "" {
		return "change " + string(c.ID)
	}
	return fmt.Sprintf("%s in change %s", c.Author, c.ID)
}
