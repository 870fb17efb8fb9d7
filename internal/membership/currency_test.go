package membership

import (
	"testing"
	"time"
)

// An upstream ends at some time around an outage of the store from 10 s to 30 s. Guards against trusting a list that
// can't show yet that it has started again, and against doubting one that would.
func TestListMayLackRestartsOfAnOutage(t *testing.T) {
	epoch := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }
	for _, c := range []struct {
		name       string
		ended, now float64
		want       bool
	}{
		{"long before", 2, 20, false},
		{"just before", 9, 20, true},
		{"before, asked before", 9, 9.5, false},
		{"in it, not noticed yet", 10.2, 10.9, false},
		{"in it", 12, 20, true},
		{"in it, asked long after", 12, 29.9, true},
		{"in it, asked just after", 12, 31, true},
		{"in it, asked when entries are back", 12, 32.5, false},
		{"after it, asked when entries may be missing", 30.5, 31, true},
		{"after it", 33, 33.5, false},
	} {
		list := Currency{MaxAge: 1400 * time.Millisecond, Grace: 2 * time.Second}
		for s := 0.0; s <= c.now; s++ {
			if s <= 10 || s >= 30 {
				list = list.Confirm(at(s))
			}
		}
		if got := list.MayLack(at(c.now), at(c.ended)); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	if !(Currency{}).MayLack(at(1), at(0)) {
		t.Error("a list that was never confirmed counts as current")
	}
}
