package change

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// retryPause is the mean pause between attempts of a call that failed.
const retryPause = 300 * time.Millisecond

// commit writes one change and determines its outcome.
type commit struct {
	editor *Editor
	base   StoredObject
	mine   config.Revision
	value  json.RawMessage
	// answerLost is set once the answer to a write was lost: that write may have taken
	// effect, or may still do so.
	answerLost bool
}

// run writes until the outcome is certain or ctx ends.
//
// When an answer is lost, reading the old version back proves nothing: the write may still
// be on its way, in a proxy or a queue. So run repeats the same write. All copies have the
// same condition, so at most one of them takes effect, and none can once any write on top
// of the base has been committed.
func (c *commit) run(ctx context.Context) Result {
	for {
		o, err := c.editor.store.Put(ctx, c.base.Ref, c.value, c.base.Version)
		switch {
		case err == nil:
			return c.applied(o.Version, false)
		case errors.Is(err, topo.ErrConflict), errors.Is(err, topo.ErrNotFound):
			return c.resolveConflict(ctx, err)
		case errors.Is(err, topo.ErrRefused):
			if !c.answerLost {
				return c.notApplied(nil, err)
			}
		default:
			c.answerLost = true
		}
		if !pause(ctx) {
			return c.unknown(err)
		}
	}
}

// resolveConflict determines the outcome after the store has refused a write because the base
// has been removed or replaced: by this change, through a copy of the write whose answer was
// lost, or by another one. It looks for this change also when no answer was lost, since a proxy between
// here and the store may have sent the write twice. cause goes with an unknown outcome.
func (c *commit) resolveConflict(ctx context.Context, cause error) Result {
	for {
		latest, err := c.editor.Read(ctx, c.base.Ref)
		switch {
		case err != nil:
			cause = err
		case latest.Version == 0 && c.base.Version != 0:
			return c.objectRemoved()
		case latest.Version <= c.base.Version:
			// The answer is from a lagging replica: the conflict proves that there is a newer version.
		case latest.Revision.Change.ID == c.mine.Change.ID:
			return c.applied(latest.Version, false)
		default:
			result, known := c.fromHistory(ctx, latest)
			if known {
				return result
			}
		}
		if !pause(ctx) {
			if !c.answerLost {
				// All writes were answered, the last one with a conflict.
				return c.notApplied(&Conflict{Base: c.base, Mine: c.mine}, nil)
			}
			return c.unknown(cause)
		}
	}
}

// objectRemoved returns the result for an object that the store no longer has, although a
// change would have left a revision. Nothing shows whether this change was in force before: if
// an answer was lost, it may have been.
func (c *commit) objectRemoved() Result {
	if !c.answerLost {
		return c.notApplied(&Conflict{Base: c.base, Mine: c.mine, Theirs: StoredObject{Ref: c.base.Ref}}, nil)
	}
	return c.unknown(errors.Errorf("change: %s has been removed from the store", c.base.Ref))
}

// fromHistory determines the outcome from the ancestors of the latest revision, which is not
// this change. It returns false if they do not show it.
//
// Each revision was written on condition that its parent was in force, so exactly one of them
// replaced the base. If this change is among the ancestors, it was applied and has been
// superseded. If they reach back to the base, or to the first change of an object that did not
// exist, and this change is not among them, another one replaced the base.
func (c *commit) fromHistory(ctx context.Context, latest StoredObject) (Result, bool) {
	conflict := &Conflict{Base: c.base, Mine: c.mine, Theirs: latest}
	if latest.Revision.Change.Parent == c.base.Revision.Change.ID {
		return c.notApplied(conflict, nil), true
	}
	entry, err := c.editor.readHistory(ctx, c.base.Ref, latest.Revision.Change.ID)
	if err != nil {
		return Result{}, false
	}
	if slices.Contains(entry.Ancestors, c.mine.Change.ID) {
		return c.applied(0, true), true
	}
	if c.base.Version != 0 && slices.Contains(entry.Ancestors, c.base.Revision.Change.ID) {
		return c.notApplied(conflict, nil), true
	}
	if c.base.Version == 0 && entry.Complete {
		return c.notApplied(conflict, nil), true
	}
	return Result{}, false
}

func (c *commit) applied(v topo.Version, superseded bool) Result {
	return Result{Outcome: Applied, Change: c.mine.Change, Version: v, Superseded: superseded}
}

func (c *commit) notApplied(conflict *Conflict, cause error) Result {
	return Result{Outcome: NotApplied, Change: c.mine.Change, Conflict: conflict, Cause: cause}
}

func (c *commit) unknown(cause error) Result {
	return Result{Outcome: Unknown, Change: c.mine.Change, Cause: cause}
}

// pause waits between attempts. It returns false if ctx has ended.
func pause(ctx context.Context) bool {
	t := time.NewTimer(retryPause/2 + rand.N(retryPause))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
