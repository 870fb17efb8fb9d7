package balance

import (
	"sync"
	"time"
)

// abandonMultiple is HangTimes for an attempt that is given up before.
const abandonMultiple = HangMultiple / 2

// Watch tells how one attempt at a direct upstream goes, for the choice of upstreams
// for others: well with the first byte of its answer, badly if that does not come
// for HangTimes the objective, is a failure, or is lost.
type Watch struct {
	tracker   *Tracker
	attempt   Attempt
	objective time.Duration // zero: none

	mu        sync.Mutex
	sent      time.Time
	hangTimer *time.Timer
	recorded  bool
	waiting   bool // for its first byte
}

// NewWatch returns the Watch of an attempt with an objective for its first byte; zero: it has none.
func NewWatch(t *Tracker, a Attempt, objective time.Duration) *Watch {
	return &Watch{tracker: t, attempt: a, objective: objective}
}

// Start starts the watch, as the attempt is sent.
func (w *Watch) Start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent, w.waiting = time.Now(), true
	w.tracker.BeginWait(w.attempt)
	if w.objective > 0 {
		w.hangTimer = time.AfterFunc(scale(HangMultiple, w.objective), func() { w.RecordOutcome(false) })
	}
}

// EndWait says that the first byte is there, or will not come.
func (w *Watch) EndWait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting {
		w.waiting = false
		w.tracker.EndWait(w.attempt)
	}
}

// RecordOutcome says how the attempt went, unless that is known.
func (w *Watch) RecordOutcome(succeeded bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.recorded || w.sent.IsZero() {
		return
	}
	w.recorded = true
	w.stop()
	now := time.Now()
	w.tracker.RecordOutcome(now, w.attempt, now.Sub(w.sent), succeeded)
}

// RecordFailure says that an answer broke off that had begun well.
func (w *Watch) RecordFailure() {
	w.tracker.RecordFailure(time.Now(), w.attempt.VM)
}

// Abandon ends the watch of an attempt whose answer nobody waits for any more.
func (w *Watch) Abandon() {
	w.EndWait()
	w.mu.Lock()
	slow := w.objective > 0 && time.Since(w.sent) > scale(abandonMultiple, w.objective)
	w.stop()
	w.mu.Unlock()
	if slow {
		w.RecordOutcome(false)
	}
}

func scale(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}

func (w *Watch) stop() {
	if w.hangTimer != nil {
		w.hangTimer.Stop()
	}
}
