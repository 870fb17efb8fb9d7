package balance

import (
	"sync"
	"time"
)

// abandonMultiple times its objective is how long an attempt may take without an outcome before
// it is abandoned. A longer one counts as a failure of its upstream, even if it ended before
// HangMultiple times the objective.
const abandonMultiple = HangMultiple / 2

// Watch observes one attempt at a direct upstream and records its outcome in a Tracker. The
// attempt succeeds with the first byte of its answer. It fails if that does not arrive within
// HangMultiple times the objective, or if the answer is an error or is lost.
type Watch struct {
	tracker   *Tracker
	attempt   Attempt
	objective time.Duration // zero: none

	mu        sync.Mutex
	sent      time.Time
	hangTimer *time.Timer
	recorded  bool
	waiting   bool // for the first byte
}

// NewWatch returns the Watch of an attempt with an objective for its first byte; zero: no
// objective.
func NewWatch(t *Tracker, a Attempt, objective time.Duration) *Watch {
	return &Watch{tracker: t, attempt: a, objective: objective}
}

// Start begins the observation when the attempt is sent.
func (w *Watch) Start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent, w.waiting = time.Now(), true
	w.tracker.BeginWait(w.attempt)
	if w.objective > 0 {
		w.hangTimer = time.AfterFunc(scale(HangMultiple, w.objective), func() { w.RecordOutcome(false) })
	}
}

// EndWait records that the first byte has arrived or will not arrive.
func (w *Watch) EndWait() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting {
		w.waiting = false
		w.tracker.EndWait(w.attempt)
	}
}

// RecordOutcome records whether the attempt succeeded. Only the first call after Start counts.
func (w *Watch) RecordOutcome(succeeded bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.recorded || w.sent.IsZero() {
		return
	}
	w.recorded = true
	w.stopHangTimer()
	now := time.Now()
	w.tracker.RecordOutcome(now, w.attempt, now.Sub(w.sent), succeeded)
}

// RecordFailure records a failure in addition to the outcome, such as an answer that broke off
// after it had begun well.
func (w *Watch) RecordFailure() {
	w.tracker.RecordFailure(time.Now(), w.attempt.VM)
}

// Abandon ends the observation of an attempt whose answer is no longer needed. The attempt
// counts as failed if it has no outcome yet and took longer than abandonMultiple times the
// objective.
func (w *Watch) Abandon() {
	w.EndWait()
	w.mu.Lock()
	slow := w.objective > 0 && time.Since(w.sent) > scale(abandonMultiple, w.objective)
	w.stopHangTimer()
	w.mu.Unlock()
	if slow {
		w.RecordOutcome(false)
	}
}

// scale returns factor times d.
func scale(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}

// stopHangTimer stops the timer for a missing first byte, if there is one.
func (w *Watch) stopHangTimer() {
	if w.hangTimer != nil {
		w.hangTimer.Stop()
	}
}
