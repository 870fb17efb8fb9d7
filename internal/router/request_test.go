package router

import (
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/profile"
)

// Guards against an objective for the first byte of a stream that continues at another upstream,
// after a failure or because its caller came back for the rest: the stream would be deferred
// behind other requests, and pause until its caller gives up.
func TestOnlyNewStreamsHaveAnObjective(t *testing.T) {
	const objective = 400 * time.Millisecond
	p := &profile.Profile{Objective: profile.Duration(objective)}
	for _, c := range []struct {
		begun bool
		last  string
		want  time.Duration
	}{{false, "", objective}, {true, "", 0}, {false, "17", 0}} {
		r := Request{Profile: p, LastEventID: c.last}
		if got := r.objective(c.begun); got != c.want {
			t.Errorf("begun %v, last event %q: %v, want %v", c.begun, c.last, got, c.want)
		}
	}
}
