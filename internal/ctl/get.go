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

func view(c change.StoredObject) object {
	return object{Kind: c.Ref.Kind, Name: c.Ref.Name, Version: c.Version, Change: &c.Revision.Change, Spec: c.Revision.Spec}
}

func (o object) table(w io.Writer) {
	text, err := document(o.Kind, o.Change.ID, o.Spec)
	if err != nil {
		text = string(o.Spec) + "\n" // not written by this command
	}
	fmt.Fprint(w, text)
}

// get prints an object; as YAML and as a table it is a file for apply.
func (a *app) get(ctx context.Context) error {
	now, err := a.existing(ctx, topo.Ref(a.options.Get.Args.Object))
	if err != nil {
		return err
	}
	if a.options.Output == formatYAML {
		view(now).table(a.out)
		return nil
	}
	return a.print(view(now))
}

// listing is the objects of a kind.
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
		l.Objects[i] = view(o)
	}
	return a.print(l)
}

// changes is the history of an object, the newest first.
type changes struct {
	topo.Ref
	Changes []changeLine `json:"changes"`
}

// changeLine is one revision of an object.
type changeLine struct {
	config.Change
	Deleted bool   `json:"deleted,omitempty"`
	Diff    string `json:"diff,omitempty"` // from the one before
}

func (c changes) table(w io.Writer) {
	fmt.Fprintln(w, "CHANGE\tTIME\tBY\tREASON")
	for _, line := range c.Changes {
		reason := line.Reason
		if line.Deleted {
			reason = "(deleted) " + reason
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", line.ID, line.Time.Format(time.RFC3339), line.Author, reason)
	}
}

func (a *app) history(ctx context.Context) error {
	ref := topo.Ref(a.options.History.Args.Object)
	_, revisions, err := a.revisions(ctx, ref)
	if err != nil {
		return err
	}
	r := changes{Ref: ref}
	for i, rev := range revisions {
		line := changeLine{Change: rev.Change, Deleted: rev.Deleted()}
		if i+1 < len(revisions) {
			line.Diff, err = diffSpecs(ref, revisions[i+1].Spec, rev.Spec, "before", "after")
			if err != nil {
				return err
			}
		}
		r.Changes = append(r.Changes, line)
	}
	return a.print(r)
}

// revisions reads an object with its history. A deleted object has one too.
func (a *app) revisions(ctx context.Context, ref topo.Ref) (change.StoredObject, []config.Revision, error) {
	now, err := a.editor.Read(ctx, ref)
	if err != nil {
		return now, nil, err
	}
	if now.Version == 0 {
		return now, nil, fail(ExitNotFound, fmt.Sprintf("see 'parsleyctl list %s'", ref.Kind), "%s has never existed", ref)
	}
	revisions, err := a.editor.History(ctx, now)
	return now, revisions, err
}

// rollback makes a new revision with the content of a former one. It is checked
// like any change: what it refers to may be gone by now.
func (a *app) rollback(ctx context.Context) error {
	o := a.options.Rollback
	ref := topo.Ref(o.Args.Object)
	now, revisions, err := a.revisions(ctx, ref)
	if err != nil {
		return err
	}
	former, err := pick(ref, revisions, config.ChangeID(o.To))
	if err != nil {
		return err
	}
	if o.Reason == "" {
		o.Reason = "rollback to " + string(former.Change.ID)
	}
	if err := a.checkFormer(ctx, ref, former); err != nil {
		return err
	}
	return a.make(ctx, o.changeOptions, []edit{{base: now, spec: former.Spec, to: "as in change " + string(former.Change.ID)}})
}

func (a *app) checkFormer(ctx context.Context, ref topo.Ref, former config.Revision) error {
	o, err := profile.Decode(ref, former.Spec)
	if err != nil {
		return err
	}
	return a.newSnapshot().checkReferences(ctx, []profile.Document{{Object: o}})
}

// pick returns the revision with an id, or the last one before the present one
// that is not a deletion.
func pick(ref topo.Ref, revisions []config.Revision, id config.ChangeID) (config.Revision, error) {
	for i, r := range revisions {
		if r.Change.ID == id || id == "" && i > 0 && !r.Deleted() {
			if r.Deleted() {
				return r, fail(ExitInvalid, fmt.Sprintf("use 'parsleyctl delete %s'", ref), "change %s deleted %s", id, ref)
			}
			return r, nil
		}
	}
	return config.Revision{}, fail(ExitNotFound, fmt.Sprintf("see 'parsleyctl history %s'", ref), "%s has no such former revision", ref)
}
