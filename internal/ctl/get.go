package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/config/change"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

func newObject(c change.StoredObject) object {
	return object{Kind: c.Ref.Kind, Name: c.Ref.Name, Version: c.Version, Change: &c.Revision.Change, Spec: c.Revision.Spec}
}

func (o object) table(w io.Writer) {
	text, err := document(o.Kind, o.Change.ID, o.Spec)
	if err != nil {
		text = string(o.Spec) + "\n" // not valid JSON, so not written by parsleyctl
	}
	fmt.Fprint(w, text)
}

// get prints an object. What it prints as YAML or as a table can be saved to a
// file and applied.
func (a *app) get(ctx context.Context) error {
	current, err := a.readExisting(ctx, topo.Ref(a.options.Get.Args.Object))
	if err != nil {
		return err
	}
	if a.options.Output == formatYAML {
		newObject(current).table(a.out)
		return nil
	}
	return a.print(newObject(current))
}

// listing holds the objects of a kind.
type listing struct {
	Objects []object `json:"objects"`
}

func (l listing) table(w io.Writer) {
	fmt.Fprintln(w, "NAME\tVERSION\tCHANGED\tBY")
	for _, o := range l.Objects {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", o.Name, o.Version, o.Change.Time.Format(time.RFC3339), o.Change.Author)
	}
}

func (a *app) list(ctx context.Context) error {
	objects, err := a.editor.List(ctx, topo.Kind(a.options.List.Args.Kind))
	if err != nil {
		return err
	}
	l := listing{Objects: make([]object, len(objects))}
	for i, o := range objects {
		l.Objects[i] = newObject(o)
	}
	return a.print(l)
}

// historyResult is the history of an object, newest change first.
type historyResult struct {
	topo.Ref
	Changes []historyEntry `json:"changes"`
}

// historyEntry is one revision of an object.
type historyEntry struct {
	config.Change
	Deleted bool   `json:"deleted,omitempty"`
	Diff    string `json:"diff,omitempty"` // from the previous revision
}

func (c historyResult) table(w io.Writer) {
	fmt.Fprintln(w, "CHANGE\tTIME\tBY\tREASON")
	for _, entry := range c.Changes {
		reason := entry.Reason
		if entry.Deleted {
			reason = "(deleted) " + reason
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", entry.ID, entry.Time.Format(time.RFC3339), entry.Author, reason)
	}
}

func (a *app) history(ctx context.Context) error {
	ref := topo.Ref(a.options.History.Args.Object)
	_, revisions, err := a.revisions(ctx, ref)
	if err != nil {
		return err
	}
	r := historyResult{Ref: ref}
	for i, rev := range revisions {
		entry := historyEntry{Change: rev.Change, Deleted: rev.Deleted()}
		if i+1 < len(revisions) {
			entry.Diff, err = diffSpecs(ref, revisions[i+1].Spec, rev.Spec, "before", "after")
			if err != nil {
				return err
			}
		}
		r.Changes = append(r.Changes, entry)
	}
	return a.print(r)
}

// revisions reads an object with its history. Deleted objects have a history
// too.
func (a *app) revisions(ctx context.Context, ref topo.Ref) (change.StoredObject, []config.Revision, error) {
	current, err := a.editor.Read(ctx, ref)
	if err != nil {
		return current, nil, err
	}
	if current.Version == 0 {
		return current, nil, newExitError(ExitNotFound, fmt.Sprintf("see 'parsleyctl list %s'", ref.Kind), "%s has never existed", ref)
	}
	revisions, err := a.editor.History(ctx, current)
	return current, revisions, err
}

// rollback makes a new revision with the content of an earlier one. It checks
// references like any change, because the objects referred to may have been
// deleted since.
func (a *app) rollback(ctx context.Context) error {
	o := a.options.Rollback
	ref := topo.Ref(o.Args.Object)
	current, revisions, err := a.revisions(ctx, ref)
	if err != nil {
		return err
	}
	former, err := findRevision(ref, revisions, config.ChangeID(o.To))
	if err != nil {
		return err
	}
	if o.Reason == "" {
		o.Reason = "rollback to " + string(former.Change.ID)
	}
	if err := a.checkRevision(ctx, ref, former); err != nil {
		return err
	}
	return a.applyEdits(ctx, o.changeOptions, []edit{{base: current, spec: former.Spec, label: "as in change " + string(former.Change.ID)}})
}

func (a *app) checkRevision(ctx context.Context, ref topo.Ref, former config.Revision) error {
	o, err := profile.Decode(ref, former.Spec)
	if err != nil {
		return err
	}
	return a.newSnapshot().checkReferences(ctx, []profile.Document{{Object: o}})
}

// findRevision returns the revision with an id, or, if id is empty, the last
// one before the current one that is not a deletion.
func findRevision(ref topo.Ref, revisions []config.Revision, id config.ChangeID) (config.Revision, error) {
	for i, r := range revisions {
		if r.Change.ID == id || id == "" && i > 0 && !r.Deleted() {
			if r.Deleted() {
				return r, newExitError(ExitInvalid, fmt.Sprintf("use 'parsleyctl delete %s'", ref), "change %s deleted %s", id, ref)
			}
			return r, nil
		}
	}
	return config.Revision{}, newExitError(ExitNotFound, fmt.Sprintf("see 'parsleyctl history %s'", ref), "%s has no such former revision", ref)
}
