package condition

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const engine = "engine-7"

// An upstream asks for a rest of ten seconds and a second later for a rest of one second. Guards
// against requests sent to it before the first rest has ended.
func TestRestIsNotShortened(t *testing.T) {
	o, now := NewObservations(), time.Unix(1000, 0)
	o.RecordResting(now, engine, 10*time.Second)
	o.RecordResting(now.Add(time.Second), engine, time.Second)
	for after, want := range map[time.Duration]Set{
		0: Of(Resting), 9 * time.Second: Of(Resting), 10 * time.Second: 0, time.Hour: 0,
	} {
		if got := o.Conditions(now.Add(after), engine); got != want {
			t.Errorf("conditions after %v: %q, want %q", after, got, want)
		}
	}
}

// Guards against work sent to a leaving upstream after its entry has expired in an outage of the
// platform's store and is listed again.
func TestLeavingOutlivesTheEntry(t *testing.T) {
	o, now := NewObservations(), time.Unix(1000, 0)
	if !o.RecordLeaving(now, engine) || o.RecordLeaving(now, engine) {
		t.Error("the first announcement must be new and the second one not")
	}
	listed, gone := func(string) bool { return true }, func(string) bool { return false }
	for _, step := range []struct {
		after   time.Duration
		listed  func(string) bool
		leaving bool
	}{
		{time.Hour, listed, true},
		{time.Hour + retainUnlistedFor/2, gone, true},
		{time.Hour + retainUnlistedFor, listed, true},
		{time.Hour + 2*retainUnlistedFor, gone, false},
	} {
		at := now.Add(step.after)
		o.Prune(at, step.listed)
		if got := o.Conditions(at, engine).Has(Leaving); got != step.leaving {
			t.Errorf("after %v: leaving %v", step.after, got)
		}
	}
}

// Rejected callers are asked to retry when an upstream is available again. Guards against a delay
// that ignores a rest, extends beyond its end, or takes an upstream that leaves for available.
func TestAvailableIn(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		record func(*Observations)
		want   time.Duration
	}{
		{"nothing", func(*Observations) {}, 0},
		{"a rest", func(o *Observations) { o.RecordResting(now, engine, time.Second) }, time.Second},
		{"a rest that has ended", func(o *Observations) { o.RecordResting(now.Add(-time.Second), engine, time.Second) }, 0},
		{"no connection", func(o *Observations) { o.RecordUnreachable(now, engine) }, 0},
		{"leaving, in a rest", func(o *Observations) { o.RecordResting(now, engine, time.Second); o.RecordLeaving(now, engine) }, Forever},
	} {
		o := NewObservations()
		c.record(o)
		if got := o.AvailableIn(now, engine); got != c.want {
			t.Errorf("%s: available in %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against unbounded growth with upstreams that could not be reached once.
func TestExpiredRecordsArePruned(t *testing.T) {
	o, now := NewObservations(), time.Unix(1000, 0)
	for i := range 100 {
		id := fmt.Sprint("engine-", i)
		o.RecordUnreachable(now, id)
		o.RecordResting(now, id, time.Second)
	}
	o.RecordLeaving(now, engine)
	o.Prune(now.Add(unreachableFor), func(string) bool { return true })
	if len(o.records) != 1 || o.Empty() {
		t.Errorf("%d records are kept, want only the leaving upstream", len(o.records))
	}
}

// Guards against a status page for operators without source, start and end of a condition.
func TestStatements(t *testing.T) {
	o, now := NewObservations(), time.Unix(1000, 0)
	o.RecordLeaving(now, engine)
	o.RecordResting(now, engine, 3*time.Second)
	o.RecordResting(now.Add(time.Second), engine, 4*time.Second)
	o.RecordUnreachable(now.Add(time.Second), engine)
	want := []Statement{
		{Kind: Leaving, By: ByAnswers, Since: now},
		{Kind: Resting, By: ByAnswers, Since: now, Until: now.Add(5 * time.Second)},
		{Kind: Unreachable, By: ByConnections, Since: now.Add(time.Second), Until: now.Add(time.Second + unreachableFor)},
	}
	if got := o.Statements(now.Add(2*time.Second), engine); !slices.Equal(got, want) {
		t.Errorf("statements %+v, want %+v", got, want)
	}
	if got := o.Statements(now, "another"); got != nil {
		t.Errorf("statements of an unknown upstream: %+v", got)
	}
}
