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

// edit is a change to be made, with what the store has now.
type edit struct {
	base  change.StoredObject
	spec  json.RawMessage // nil deletes
	label string          // what the new content is called in a diff
}

// isUnchanged reports whether the store has that content already.
func (e edit) isUnchanged() bool {
	if e.spec == nil || !e.base.Exists() {
		return e.spec == nil && !e.base.Exists()
	}
	return equalSpecs(e.base, e.spec)
}

// equalSpecs compares after reading both, so that a field that an older release
// left to its default is no difference by itself.
func equalSpecs(base change.StoredObject, spec json.RawMessage) bool {
	stored, err := profile.Decode(base.Ref, base.Revision.Spec)
	if err != nil {
		return false
	}
	text, err := profile.Encode(stored)
	return err == nil && string(text) == string(spec)
}

// state is what became of one object of an apply.
type state string

const (
	stateCreated   state = "created"
	stateUpdated   state = "updated"
	stateDeleted   state = "deleted"
	stateUnchanged state = "unchanged"
	stateConflict  state = "conflict"
	stateFailed    state = "failed"
	stateUnknown   state = "unknown"
	stateSkipped   state = "skipped" // not tried, because one before it ended badly
)

// objectResult is what became of one object.
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

// applyResult is what became of an apply.
type applyResult struct {
	Objects []objectResult `json:"objects"`
	Key     *newKey        `json:"key,omitempty"`      // of key add
	InForce *inForceStatus `json:"in_force,omitempty"` // with --wait
}

func (r applyResult) table(w io.Writer) {
	fmt.Fprintln(w, "OBJECT\tSTATE\tVERSION\tCHANGE")
	for _, o := range r.Objects {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", o.Ref, o.State, dash(o.Version), o.Change)
	}
	if r.InForce != nil {
		r.InForce.table(w)
	}
	if r.Key != nil {
		fmt.Fprintln(w)
		r.Key.table(w)
	}
}

// dash returns n, or a dash for what is not known.
func dash[N ~int64](n N) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}

// writeOrder orders writes so that no object refers to one that is not there yet;
// deletions go the other way round.
func writeOrder(k topo.Kind) int {
	return slices.Index([]topo.Kind{topo.KindPool, topo.KindProfile, topo.KindOrganisation, topo.KindDrain, topo.KindDomainDrain}, k)
}

// applyEdits makes edits, prints what became of each and waits if asked to.
func (a *app) applyEdits(ctx context.Context, o changeOptions, edits []edit) error {
	r, failed := a.commitEdits(ctx, o, edits)
	if err := a.print(r); err != nil {
		return err
	}
	return failed
}

// commitEdits makes edits one after the other and stops at the first that ends badly.
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

// partialFailure turns the failure of one object into that of the whole when others
// have been changed already.
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

// conflictError shows what both operators did to what they had in common.
func (a *app) conflictError(c change.Conflict, mine string) error {
	ref, base := c.Base.Ref, c.Base.Revision.Spec
	theirs, err := diffSpecs(ref, base, c.Theirs.Revision.Spec, "before", "as changed by "+authorLabel(c.Theirs.Revision.Change))
	if err != nil {
		return err
	}
	own, err := diffSpecs(ref, base, c.Mine.Spec, "before", mine)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.errOut, "%s%s", theirs, own)
	return newExitError(ExitConflict,
		fmt.Sprintf("see 'parsleyctl get %s', bring both changes together and apply again", ref),
		"%s was changed by another operator at the same time; your change was not made", ref)
}

// authorLabel names who made a change.
func authorLabel(c config.Change) string {
	if c.Author == "" {
		return "change " + string(c.ID)
	}
	return fmt.Sprintf("%s in change %s", c.Author, c.ID)
}
