package relay

import (
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
)

// ageFixture is a router with a parent whose state it holds, confirmed a moment ago.
func ageFixture(now time.Time) (s *State, parent Router) {
	self := Router{Name: "head", Domain: "r/1"}
	parent = Router{Name: "reader", Domain: "r/0", Capacity: 5}
	s = New(self, TimingFor(bound))
	held := config.Summary{Version: 7}
	s.Step(Registered{Now: now, Routers: []Router{parent}})
	s.Step(ProgressUpdated{Now: now, Progress: Sets[Progress]{{Summary: held, Age: -1}, {Summary: held, Age: -1}}})
	s.Step(HeartbeatReceived{Now: now, Heartbeat: Heartbeat{From: parent, Progress: Sets[Progress]{{Summary: held, Age: 100}, {Summary: held, Age: 100}}}})
	return s, parent
}

// wantAge checks the ages in the heartbeat that a router sends at a time.
func wantAge(t *testing.T, s *State, at time.Time, want time.Duration) {
	t.Helper()
	for set, p := range s.heartbeat(at).Progress {
		if p.Age != want.Milliseconds() {
			t.Errorf("set %d: age %d ms, want %v", set, p.Age, want)
		}
	}
}

// A router pulls a change from its parent, and its periodic heartbeat falls into that time. Guards
// against telling its subscribers that the age of its state is unknown, so that all of them list the
// store.
func TestAgeStaysKnownWhileAChangeIsPulled(t *testing.T) {
	now := time.Unix(1000, 0)
	s, parent := ageFixture(now)
	wantAge(t, s, now.Add(200*time.Millisecond), 300*time.Millisecond)
	newer := config.Summary{Version: 8}
	later := now.Add(300 * time.Millisecond)
	s.Step(HeartbeatReceived{Now: later, Heartbeat: Heartbeat{From: parent, Progress: Sets[Progress]{{Summary: newer, Age: 5}, {Summary: newer, Age: 5}}}})
	wantAge(t, s, later, 400*time.Millisecond) // of the state that it holds
	s.Step(ProgressUpdated{Now: later.Add(50 * time.Millisecond), Progress: Sets[Progress]{{Summary: newer, Age: -1}, {Summary: newer, Age: -1}}})
	wantAge(t, s, later.Add(50*time.Millisecond), 55*time.Millisecond)
}

// A router has lost its parent and begins to read the store. Guards against the same until the store
// has answered it, and against an age that does not grow.
func TestAgeStaysKnownAfterTheLossOfTheParent(t *testing.T) {
	now := time.Unix(1000, 0)
	s, _ := ageFixture(now)
	timing := TimingFor(bound)
	lost := now.Add(timing.HeartbeatTimeout + timing.Stagger + tickInterval)
	s.Step(Ticked{Now: lost})
	if !s.Reading() {
		t.Fatal("it does not read the store although its parent is silent")
	}
	wantAge(t, s, lost, lost.Sub(now)+100*time.Millisecond)
}

// The VM was suspended, and the clock did not run meanwhile. Guards against an age from before, also
// one of this router's own reading, which is reported again after it.
func TestAgeIsUnknownAfterASuspension(t *testing.T) {
	now := time.Unix(1000, 0)
	s, _ := ageFixture(now)
	s.Step(Resumed{Now: now.Add(time.Millisecond)})
	held := config.Summary{Version: 7}
	s.Step(ProgressUpdated{Now: now.Add(2 * time.Millisecond), Progress: Sets[Progress]{{Summary: held, Age: 300}, {Summary: held, Age: 300}}})
	for set, p := range s.heartbeat(now.Add(2 * time.Millisecond)).Progress {
		if p.Age >= 0 {
			t.Errorf("set %d: age %d ms, want unknown", set, p.Age)
		}
	}
}
