package loop

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
)

// echoReducer is a Reducer that returns each event as its only effect.
type echoReducer struct{}

func (echoReducer) Step(n int) []int { return []int{n} }

// A router receives events faster than it applies them, for minutes. The state that it
// serves from must still be updated meanwhile, not only once the queue is empty. After the
// loop has ended, Post must return false even though the queue has free capacity: otherwise
// a caller would wait forever for the result of its event.
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
			t.Errorf("afterBatch was called %d times before the end of the backlog", earlyBatches)
		}
		cancel()
		synctest.Wait()
		for range 20 {
			if l.Post(0) {
				t.Fatal("an ended loop accepted an event")
			}
		}
	})
}
