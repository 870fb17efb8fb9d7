package condition

import (
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

const engine = load.VM(7)

// Guards against a rest that is cut short by a shorter wish that comes after it.
func TestEachWishForRestHoldsToItsEnd(t *testing.T) {
	b, now := NewBook(), time.Unix(1000, 0)
	if !b.Rests(now, engine, 10*time.Second) {
		t.Error("the first wish is no news")
	}
	if b.Rests(now.Add(time.Second), engine, time.Second) {
		t.Error("a second wish in the time of the first is news")
	}
	if !b.Of(engine).Rests(now.Add(9 * time.Second)) {
		t.Error("the first wish does not hold to its end")
	}
	if b.Of(engine).Rests(now.Add(10 * time.Second)) {
		t.Error("the rest does not end")
	}
}

// Guards against work for an upstream that leaves, after its entry has lapsed and come back.
func TestWordOutlivesTheEntry(t *testing.T) {
	b, now := NewBook(), time.Unix(1000, 0)
	if !b.Leaves(now, engine) || b.Leaves(now, engine) {
		t.Error("only the first word is news")
	}
	listed := map[load.VM]bool{engine: true}
	for _, step := range []struct {
		after   time.Duration
		listed  map[load.VM]bool
		leaving bool
	}{
		{time.Hour, listed, true},
		{time.Hour + forgetAfter/2, nil, true},
		{time.Hour + forgetAfter, listed, true},
		{time.Hour + 2*forgetAfter, nil, false},
	} {
		b.Keep(now.Add(step.after), step.listed)
		if got := b.Of(engine).Leaving; got != step.leaving {
			t.Errorf("after %v: leaving %v", step.after, got)
		}
	}
}

// Guards against callers that are told a wrong time to come back.
func TestEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		Condition
		want time.Duration
	}{
		{"nothing", Condition{}, 0},
		{"a rest", Condition{RestUntil: now.Add(time.Second)}, time.Second},
		{"a rest that is over", Condition{RestUntil: now}, 0},
		{"leaving, in a rest", Condition{Leaving: true, RestUntil: now.Add(time.Second)}, Never},
	} {
		if got := c.Ends(now); got != c.want {
			t.Errorf("%s: ends in %v, want %v", c.name, got, c.want)
		}
	}
}
