// Package loop runs a reducer: one goroutine owns a role's control state,
// applies events to it in order and carries out the effects that come back.
package loop

import "context"

// queueLength is how many events may wait for the loop.
const queueLength = 1024

// Reducer is a role's control state. Step must not block, read a clock or do
// I/O: time comes inside the event and effects go out as data.
type Reducer[E, F any] interface {
	Step(event E) []F
}

// Loop feeds events to a Reducer.
type Loop[E, F any] struct {
	reducer Reducer[E, F]
	act     func(F)
	settled func()
	events  chan E
	done    chan struct{}
}

// New returns a Loop that hands each effect to act, and calls settled each
// time it has run out of events. Both run on the loop's goroutine: act must not
// post to the loop from there, and neither may block for long.
func New[E, F any](r Reducer[E, F], act func(F), settled func()) *Loop[E, F] {
	return &Loop[E, F]{
		reducer: r,
		act:     act,
		settled: settled,
		events:  make(chan E, queueLength),
		done:    make(chan struct{}),
	}
}

// Post queues an event. It reports false when the loop has ended.
func (l *Loop[E, F]) Post(event E) bool {
	select {
	case l.events <- event:
		return true
	case <-l.done:
		return false
	}
}

// Run applies events until ctx ends.
func (l *Loop[E, F]) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			l.apply(event)
		}
		if len(l.events) == 0 {
			l.settled()
		}
	}
}

func (l *Loop[E, F]) apply(event E) {
	for _, effect := range l.reducer.Step(event) {
		l.act(effect)
	}
}
