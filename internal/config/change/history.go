package change

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// MaxHistory is how many previous revisions of an object are kept.
const MaxHistory = 20

// HistoryEntry is a revision in the history of an object.
type HistoryEntry struct {
	config.Revision
	// Ancestors are the changes before this one, newest first, at most MaxHistory.
	Ancestors []config.ChangeID `json:"ancestors,omitempty"`
	// Complete reports whether the ancestors reach back to the object's first change.
	Complete bool `json:"whole,omitempty"`
}

// History returns the revisions of an object, newest first. It follows the links from the
// revision in force, so changes that were not applied do not appear.
func (e *Editor) History(ctx context.Context, current StoredObject) ([]config.Revision, error) {
	if current.Version == 0 {
		return nil, nil
	}
	entry, err := e.readHistory(ctx, current.Ref, current.Revision.Change.ID)
	if err != nil {
		return nil, err
	}
	out := []config.Revision{current.Revision}
	for _, id := range entry.Ancestors {
		previous, err := e.readHistory(ctx, current.Ref, id)
		if errors.Is(err, topo.ErrNotFound) {
			break // trimmed
		}
		if err != nil {
			return nil, err
		}
		out = append(out, previous.Revision)
	}
	return out, nil
}

func historyRef(ref topo.Ref, id config.ChangeID) topo.Ref {
	return topo.Ref{Kind: topo.KindHistory, Name: fmt.Sprintf("%s.%s.%s", ref.Kind, ref.Name, id)}
}

func (e *Editor) readHistory(ctx context.Context, ref topo.Ref, id config.ChangeID) (HistoryEntry, error) {
	o, err := e.store.Get(ctx, historyRef(ref, id))
	if err != nil {
		return HistoryEntry{}, err
	}
	var entry HistoryEntry
	err = json.Unmarshal(o.Value, &entry)
	return entry, errors.Wrap(err, "change: malformed history")
}

// writeHistory writes the entry of a change that is about to be committed. It returns the
// ancestors, with the one beyond MaxHistory, if any, that the entry does not list.
func (e *Editor) writeHistory(ctx context.Context, base StoredObject, r config.Revision) ([]config.ChangeID, error) {
	entry := HistoryEntry{Revision: r, Complete: base.Version == 0}
	if base.Version != 0 {
		parent, err := e.readHistory(ctx, base.Ref, base.Revision.Change.ID)
		if err != nil && !errors.Is(err, topo.ErrNotFound) {
			return nil, err
		}
		entry.Ancestors = append([]config.ChangeID{base.Revision.Change.ID}, parent.Ancestors...)
		entry.Complete = parent.Complete
	}
	ancestors := entry.Ancestors
	if len(ancestors) > MaxHistory {
		entry.Ancestors = ancestors[:MaxHistory]
		entry.Complete = false
	}
	value, err := json.Marshal(entry)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for {
		_, err = e.store.Put(ctx, historyRef(base.Ref, r.Change.ID), value, 0)
		if err == nil || errors.Is(err, topo.ErrConflict) {
			// The name contains the random ID of the change, so an existing entry was
			// written by an earlier attempt whose answer was lost.
			return ancestors, nil
		}
		if !errors.Is(err, topo.ErrUnknown) || !pause(ctx) {
			return nil, err
		}
	}
}

// trimHistory removes the history entries of all but the newest MaxHistory ancestors.
func (e *Editor) trimHistory(ctx context.Context, ref topo.Ref, ancestors []config.ChangeID) {
	for _, id := range ancestors[min(len(ancestors), MaxHistory):] {
		e.dropHistory(ctx, ref, id)
	}
}

// dropHistory removes the history entry of a change. If that fails, the entry stays in the
// store, but no chain of ancestors refers to it.
func (e *Editor) dropHistory(ctx context.Context, ref topo.Ref, id config.ChangeID) {
	o, err := e.store.Get(ctx, historyRef(ref, id))
	if err == nil {
		_ = e.store.Delete(ctx, o.Ref, o.Version)
	}
}
