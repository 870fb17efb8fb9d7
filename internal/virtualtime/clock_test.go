package virtualtime

import (
	"slices"
	"testing"
	"time"
)

// Guards against models that differ from run to run: events run by time, and those of one time in the
// order in which they were scheduled.
func TestEventsRunInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	c := NewClock(start)
	var got []string
	note := func(name string) func() { return func() { got = append(got, name) } }
	c.After(2*time.Second, note("d"))
	c.After(time.Second, note("b"))
	c.After(time.Second, note("c"))
	c.After(-time.Second, note("a"))
	c.After(time.Minute, note("later"))
	c.Run(start.Add(10 * time.Second))
	if want := []string{"a", "b", "c", "d"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
	if at := c.Now().Sub(start); at != 2*time.Second {
		t.Errorf("the clock shows %v, want the time of the last event", at)
	}
}

func TestRunForEndsWhenDone(t *testing.T) {
	c := NewClock(time.Unix(1000, 0))
	n := 0
	c.Every(100*time.Millisecond, func() { n++ })
	if took := c.RunFor(10*time.Second, time.Millisecond, func() bool { return n == 3 }); took != 300*time.Millisecond {
		t.Errorf("done after %v, want 300ms", took)
	}
	if took := c.RunFor(time.Second, time.Millisecond, nil); took != time.Second || n != 13 {
		t.Errorf("%v with %d events, want 1s and 13", took, n)
	}
}
