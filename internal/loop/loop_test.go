package loop

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
)

// echoReducer is a Reducer whose effects are its events.
type echoReducer struct{}

func (echoReducer) Step(n int) []int { return []int{n} }

// A router gets events faster than it takes them in, for minutes on end. The
// picture by which it serves must follow all the same, not only once the storm
// is over.
func TestBatchesAreBoundedUnderABacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var applied []int
		earlyBatches := 0
		l := New(echoReducer{}, func(n int) { applied = append(applied, n) }, func() {
			if len(applied) < queueLength {
				earlyBatches++
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
		if !slices.Equal(applied, want) {
			t.Errorf("events were applied as %v", applied)
		}
		if earlyBatches < queueLength/maxBatch-1 {
			t.Errorf("settled %d times before the end of the backlog", earlyBatches)
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
