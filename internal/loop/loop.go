// Package loop runs a reducer: one goroutine owns a role's control state,
// applies events to it in order and carries out the effects that come back.
package loop

import (
	"context"

	"github.com/pkg/errors"
)

const (
	// queueLength is how many events may wait for the loop.
	queueLength = 1024

	// maxBatch is after how many events settled is called though more wait.
	// Under a load that never lets the queue run empty, traffic would otherwise
	// go by an old picture, and timers would not be set, for as long as it lasts.
	maxBatch = 64
)

// Reducer is a role's control state. Step must not block, read a clock or do
// I/O: time comes inside the event and effects go out as data.
type Reducer[E, F any] interface {
	Step(event E) []F
}

// Loop feeds events to a Reducer.
type Loop[E, F any] struct {
	reducer    Reducer[E, F]
	execute    func(F)
	afterBatch func()
	events     chan E
	probes     chan struct{}
	done       chan struct{}
}

// ErrEnded is a loop that runs no more.
var ErrEnded = errors.New("loop: ended")

// New returns a Loop that hands each effect to act, and calls settled each
// time it has run out of events, or after a number of them. Both run on the
// loop's goroutine: act must not post to the loop from there, and neither may
// block for long.
func New[E, F any](r Reducer[E, F], execute func(F), afterBatch func()) *Loop[E, F] {
	return &Loop[E, F]{
		reducer:    r,
		execute:    execute,
		afterBatch: afterBatch,
		events:     make(chan E, queueLength),
		probes:     make(chan struct{}),
		done:       make(chan struct{}),
	}
}

// Post queues an event. It reports false when the loop has ended, also while
// there is room in the queue: who waits for what an event brings about would
// else wait for good.
func (l *Loop[E, F]) Post(event E) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.events <- event:
		return true
	case <-l.done:
		return false
	}
}

// Probe waits until the loop takes a turn. A loop that is stuck in a step or an
// effect takes none: its process answers on the network and decides nothing.
func (l *Loop[E, F]) Probe(ctx context.Context) error {
	select {
	case l.probes <- struct{}{}:
		return nil
	case <-l.done:
		return ErrEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run applies events until ctx ends.
func (l *Loop[E, F]) Run(ctx context.Context) {
	defer close(l.done)
	batchSize := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.probes:
			continue
		case event := <-l.events:
			l.apply(event)
			batchSize++
		}
		if len(l.events) == 0 || batchSize >= maxBatch {
			batchSize = 0
			l.afterBatch()
		}
	}
}

func (l *Loop[E, F]) apply(event E) {
	for _, effect := range l.reducer.Step(event) {
		l.execute(effect)
	}
}
