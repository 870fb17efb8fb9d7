package loop

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
)

// log is a Reducer whose effects are its events.
type log struct{}

func (log) Step(n int) []int { return []int{n} }

// A router gets events faster than it takes them in, for minutes on end. The
// picture by which it serves must follow all the same, not only once the storm
// is over.
func TestSettlesUnderABacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var done []int
		early := 0
		l := New(log{}, func(n int) { done = append(done, n) }, func() {
			if len(done) < queueLength {
				early++
			}
		})
		var want []int
		for n := range queueLength {
			want = append(want, n)
			l.Post(n)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		synctest.Wait()
		if !slices.Equal(done, want) {
			t.Errorf("events were applied as %v", done)
		}
		if early < queueLength/settleEvery-1 {
			t.Errorf("settled %d times before the end of the backlog", early)
		}
		cancel()
		synctest.Wait()
		for range 20 {
			if l.Post(0) {
				t.Fatal("an ended loop took an event")
			}
		}
	})
}
