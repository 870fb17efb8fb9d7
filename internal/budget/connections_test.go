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
		{PhaseClosing, 0},
		{PhaseHead, 3 * time.Second},
		{PhaseSilent, time.Second},
		{PhaseSilent, patience},
		{PhaseBody, 5 * time.Second},
		{PhaseBody, patience},
		{PhaseIdle, 10 * time.Second},
		{PhaseIdle, 0},
		{PhaseWrite, writePatience * patience},
	}
	never := []Connection{
		{PhaseSilent, patience - 1}, {PhaseHead, 0}, {PhaseBody, patience - 1}, {PhaseWork, time.Hour}, {PhaseWrite, writePatience*patience - 1},
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
