package budget

import (
	"slices"
	"testing"
	"time"
)

// All connections are taken. Guards against silent and slow callers that keep sound ones out, and against closing a
// connection whose request is served.
func TestConnectionsMakeRoomInOrder(t *testing.T) {
	const patience = 100 * time.Millisecond
	inOrder := []Connection{
		{PhaseClosing, 0, true},
		{PhaseHead, 3 * time.Second, true},
		{PhaseSilent, time.Second, false},
		{PhaseSilent, patience, false},
		{PhaseBody, 5 * time.Second, false},
		{PhaseBody, patience, true},
		{PhaseIdle, 10 * time.Second, false},
		{PhaseIdle, 0, false},
		{PhaseIdle, 20 * time.Second, true},
		{PhaseIdle, 0, true},
		{PhaseWrite, writePatience * patience, false},
	}
	never := []Connection{
		{PhaseSilent, patience - 1, false}, {PhaseHead, 0, false}, {PhaseBody, patience - 1, false}, {PhaseWork, time.Hour, false}, {PhaseWrite, writePatience*patience - 1, false},
	}
	for i, c := range inOrder {
		if !c.MakesRoom(patience) {
			t.Errorf("%+v makes no room", c)
		}
		for j, other := range inOrder {
			if got := c.MakesRoomBefore(other, patience); got != (i < j) {
				t.Errorf("%+v makes room before %+v: %v", c, other, got)
			}
		}
	}
	for _, c := range never {
		if c.MakesRoom(patience) || slices.ContainsFunc(inOrder, func(o Connection) bool { return c.MakesRoomBefore(o, patience) }) {
			t.Errorf("%+v makes room", c)
		}
	}
}
