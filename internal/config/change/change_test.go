package change_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/config/change"
	"github.com/parsleyfront/parsleyfront/internal/standin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// A profile is changed 30 times. After some of the changes, another operator tries to change the
// version that has just been replaced, and gets a conflict. The history shows who changed what:
// it must contain the changes that were in force and no others, and must not grow without bound.
// A rollback must be a change on top of the newest one, or the later changes would be missing
// from the history.
func TestHistoryListsChangesThatWereInForce(t *testing.T) {
	ctx, store := context.Background(), standin.NewObjectAPI()
	e := change.NewEditor(store)
	ref := topo.Ref{Kind: topo.KindProfile, Name: "chat"}
	read := func() change.StoredObject {
		current, err := e.Read(ctx, ref)
		if err != nil {
			t.Fatal(err)
		}
		return current
	}
	var inForce []config.ChangeID
	for i := range 30 {
		base := read()
		r := e.Commit(ctx, change.Edit{Base: base, Spec: json.RawMessage(fmt.Sprint(i))})
		if r.Outcome != change.Applied {
			t.Fatalf("the outcome of a change is %s, cause %v; want applied", r.Outcome, r.Cause)
		}
		inForce = append([]config.ChangeID{r.Change.ID}, inForce...)
		if i%10 != 5 {
			continue
		}
		late := e.Commit(ctx, change.Edit{Base: base, Spec: json.RawMessage(`"late"`)})
		if late.Conflict == nil || late.Conflict.Theirs.Revision.Change.ID != r.Change.ID || string(late.Conflict.Mine.Spec) != `"late"` {
			t.Fatalf("the result of the conflicting change is %+v", late)
		}
	}
	history, err := e.History(ctx, read())
	if err != nil {
		t.Fatal(err)
	}
	ids := func(revisions []config.Revision) (out []config.ChangeID) {
		for _, r := range revisions {
			out = append(out, r.Change.ID)
		}
		return out
	}
	if got, want := ids(history), inForce[:change.MaxHistory+1]; !slices.Equal(got, want) {
		t.Errorf("history is %v, want %v", got, want)
	}
	if page, _ := store.List(ctx, topo.KindHistory, ""); len(page.Objects) > change.MaxHistory+1 {
		t.Errorf("%d history entries are stored", len(page.Objects))
	}
	back := e.Rollback(ctx, read(), history[4], "a", "undo")
	current := read()
	if back.Outcome != change.Applied || string(current.Revision.Spec) != "25" || current.Revision.Change.Parent != inForce[0] {
		t.Errorf("after the rollback: result %+v, object %+v", back, current)
	}
}
