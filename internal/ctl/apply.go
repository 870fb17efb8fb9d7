package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/config/change"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// validationResult is the result of validate.
type validationResult struct {
	Objects  []topo.Ref        `json:"objects"`
	Problems []profile.Problem `json:"problems"`
}

func (v validationResult) table(w io.Writer) {
	if len(v.Problems) == 0 {
		fmt.Fprintf(w, "%d objects are valid\n", len(v.Objects))
	}
}

// validate checks files without the store, so that every object they refer to
// must be among them.
func (a *app) validate(context.Context) error {
	docs, problems, err := readFiles(a.options.Validate.paths())
	if err != nil {
		return err
	}
	if len(problems) == 0 {
		// If a file has problems, its objects may be missing here, and those that
		// refer to them would be reported too.
		problems = profile.CheckReferences(docs, nil)
	}
	v := validationResult{Objects: profile.Refs(docs), Problems: problems}
	if err := a.print(v); err != nil {
		return err
	}
	if len(problems) > 0 {
		return problems
	}
	return nil
}

// readFiles reads files. It is an error if they contain no object: otherwise a
// file left empty by a failed command would be applied successfully.
func readFiles(paths []string) ([]profile.Document, profile.Problems, error) {
	docs, problems, err := profile.Load(paths...)
	if err == nil && len(docs)+len(problems) == 0 {
		err = newExitError(ExitInvalid, "name files, or directories with .yaml or .yml files", "there is no object in %s", strings.Join(paths, ", "))
	}
	return docs, problems, err
}

// loadEdits reads files, checks them together with the store and returns the
// edits that they require.
func (a *app) loadEdits(ctx context.Context, paths []string) ([]edit, error) {
	docs, problems, err := readFiles(paths)
	if err != nil {
		return nil, err
	}
	if len(problems) > 0 {
		return nil, problems
	}
	snap := a.newSnapshot()
	if err := snap.prefetch(ctx, docs); err != nil {
		return nil, err
	}
	if err := snap.checkReferences(ctx, docs); err != nil {
		return nil, err
	}
	edits := make([]edit, len(docs))
	for i, d := range docs {
		base, err := snap.read(ctx, d.Object.Ref())
		if err != nil {
			return nil, err
		}
		spec, err := profile.Encode(d.Object)
		if err != nil {
			return nil, err
		}
		edits[i] = edit{base: base, spec: spec, label: d.File}
		if err := a.checkBase(ctx, d, edits[i]); err != nil {
			return nil, err
		}
	}
	return edits, nil
}

// checkBase returns a conflict if a file is based on a revision that has been
// replaced since, because applying it would silently undo another operator's
// change.
func (a *app) checkBase(ctx context.Context, d profile.Document, e edit) error {
	current := e.base.Revision.Change.ID
	if d.Change == "" || config.ChangeID(d.Change) == current || e.isUnchanged() {
		return nil
	}
	c := change.Conflict{Base: change.StoredObject{Ref: e.base.Ref}, Mine: config.Revision{Spec: e.spec}, Theirs: e.base}
	history, err := a.editor.History(ctx, e.base)
	if err != nil {
		return err
	}
	for _, r := range history {
		if r.Change.ID == config.ChangeID(d.Change) {
			c.Base.Revision = r
		}
	}
	return a.conflictError(c, e.label)
}

func (a *app) apply(ctx context.Context) error {
	o := a.options.Apply
	edits, err := a.loadEdits(ctx, o.paths())
	if err != nil {
		return err
	}
	return a.applyEdits(ctx, o.changeOptions, edits)
}

// difference is what apply would change in one object.
type difference struct {
	topo.Ref
	State state  `json:"state"`
	Diff  string `json:"diff,omitempty"`
}

type differences struct {
	Objects []difference `json:"objects"`
}

func (d differences) table(w io.Writer) {
	for _, o := range d.Objects {
		fmt.Fprint(w, o.Diff)
	}
}

func (a *app) diff(ctx context.Context) error {
	edits, err := a.loadEdits(ctx, a.options.Diff.paths())
	if err != nil {
		return err
	}
	r := differences{Objects: []difference{}}
	differs := false
	for _, e := range edits {
		d := difference{Ref: e.base.Ref, State: stateUnchanged}
		if !e.isUnchanged() {
			differs = true
			d.State = appliedState(e)
			d.Diff, err = diffSpecs(e.base.Ref, e.base.Revision.Spec, e.spec, "in the store", "in "+e.label)
			if err != nil {
				return err
			}
		}
		r.Objects = append(r.Objects, d)
	}
	if err := a.print(r); err != nil {
		return err
	}
	if differs {
		return newExitError(ExitDiffers, "", "the files differ from the store")
	}
	return nil
}

// delete deletes an object. It fails if other objects refer to it.
func (a *app) delete(ctx context.Context) error {
	o := a.options.Delete
	ref := topo.Ref(o.Args.Object)
	base, err := a.readExisting(ctx, ref)
	if err != nil {
		return err
	}
	referrers, err := a.referrers(ctx, ref)
	if err != nil {
		return err
	}
	if len(referrers) > 0 {
		return newExitError(ExitInvalid, "change or delete those first", "%s is used by %s", ref, referrers)
	}
	return a.applyEdits(ctx, o.changeOptions, []edit{{base: base}})
}

// referrers returns the stored objects that refer to an object.
func (a *app) referrers(ctx context.Context, ref topo.Ref) ([]topo.Ref, error) {
	var kind topo.Kind
	switch ref.Kind {
	case topo.KindPool:
		kind = topo.KindProfile
	case topo.KindProfile:
		kind = topo.KindOrganisation
	default:
		return nil, nil
	}
	objects, err := a.editor.List(ctx, kind)
	if err != nil {
		return nil, err
	}
	var referrers []topo.Ref
	for _, c := range objects {
		if o, err := profile.Decode(c.Ref, c.Revision.Spec); err == nil && profile.RefersTo(o, ref) {
			referrers = append(referrers, c.Ref)
		}
	}
	return referrers, nil
}

// readExisting reads an object. It returns an error with ExitNotFound if the
// object does not exist.
func (a *app) readExisting(ctx context.Context, ref topo.Ref) (change.StoredObject, error) {
	current, err := a.editor.Read(ctx, ref)
	if err == nil && !current.Exists() {
		err = newExitError(ExitNotFound, fmt.Sprintf("see 'parsleyctl list %s'", ref.Kind), "%s does not exist", ref)
	}
	return current, err
}
