// Package loop runs a reducer: one goroutine owns a role's control state, applies events
// to it in order and executes the effects that each step returns.
package loop

import (
	"context"

	"github.com/pkg/errors"
)

const (
	// queueLength is the capacity of the event queue.
	queueLength = 1024

	// maxBatch is the number of events after which afterBatch is called although more are
	// queued. A router publishes its state in afterBatch and a sidecar sets its timer: without
	// this limit, while the queue never runs empty, traffic would be served from outdated
	// state and timers would not be set.
	maxBatch = 64
)

// Reducer is a role's control state. Step applies an event and returns its effects. It must
// not block, read a clock or do I/O: events carry the time, and effects are data.
type Reducer[E, F any] interface {
	Step(event E) []F
}

// Loop applies queued events to a Reducer and executes its effects.
type Loop[E, F any] struct {
	reducer    Reducer[E, F]
	execute    func(F)
	afterBatch func()
	events     chan E
	probes     chan struct{}
	done       chan struct{}
}

// ErrEnded is returned by Probe if the loop has ended.
var ErrEnded = errors.New("loop: ended")

// New returns a Loop that passes each effect to execute. It calls afterBatch when the queue
// is empty, and at the latest after maxBatch events. Both run on the loop's goroutine, so
// neither may block for long, and execute must not call Post there: if the queue were full,
// Post would wait forever for the loop.
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

// Post queues an event and waits while the queue is full. It returns false if the loop has
// ended, even if the queue has free capacity: otherwise a caller that waits for the result
// of the event would wait forever.
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

// Probe waits until the loop is between two events. It returns the error of ctx if ctx ends
// first, or ErrEnded if the loop has ended. Liveness checks use it to detect a loop that
// hangs in a step or an effect: its process still accepts connections but makes no
// decisions.
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
