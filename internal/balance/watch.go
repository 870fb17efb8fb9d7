package balance

import (
	"sync"
	"time"
)

// givenUpTimes is HangTimes for an attempt that is given up before.
const givenUpTimes = HangTimes / 2

// Watch tells how one attempt at a direct upstream goes, for the choice of upstreams
// for others: well with the first byte of its answer, badly if that does not come
// for HangTimes the objective, is a failure, or is lost.
type Watch struct {
	tracker   *Tracker
	attempt   Attempt
	objective time.Duration // zero: none

	mu     sync.Mutex
	sent   time.Time
	late   *time.Timer
	judged bool
	waits  bool // for its first byte
}

// NewWatch returns the Watch of an attempt with an objective for its first byte; zero: it has none.
func NewWatch(t *Tracker, a Attempt, objective time.Duration) *Watch {
	return &Watch{tracker: t, attempt: a, objective: objective}
}

// Begin starts the watch, as the attempt is sent.
func (w *Watch) Begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent, w.waits = time.Now(), true
	w.tracker.Sent(w.attempt)
	if w.objective > 0 {
		w.late = time.AfterFunc(times(HangTimes, w.objective), func() { w.Judge(false) })
	}
}

// Begun says that the first byte is there, or will not come.
func (w *Watch) Begun() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waits {
		w.waits = false
		w.tracker.Begun(w.attempt)
	}
}

// Judge says how the attempt went, unless that is known.
func (w *Watch) Judge(well bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.judged || w.sent.IsZero() {
		return
	}
	w.judged = true
	w.stop()
	now := time.Now()
	w.tracker.Went(now, w.attempt, now.Sub(w.sent), well)
}

// Broke says that an answer broke off that had begun well.
func (w *Watch) Broke() {
	w.tracker.Failed(time.Now(), w.attempt.VM)
}

// GiveUp ends the watch of an attempt whose answer nobody waits for any more.
func (w *Watch) GiveUp() {
	w.Begun()
	w.mu.Lock()
	slow := w.objective > 0 && time.Since(w.sent) > times(givenUpTimes, w.objective)
	w.stop()
	w.mu.Unlock()
	if slow {
		w.Judge(false)
	}
}

func times(x float64, d time.Duration) time.Duration {
	return time.Duration(x * float64(d))
}

func (w *Watch) stop() {
	if w.late != nil {
		w.late.Stop()
	}
}
