package suspects

import "time"

// restartMemory is how long it is kept that an upstream may have ended. Regions that have lost each other, and with that
// the store, are back within minutes.
const restartMemory = 10 * time.Minute

// restarts holds which upstreams may have ended, or have, though the list shows them. Their answers come from their next
// incarnations then.
type restarts map[string]restart // by upstream

type restart struct {
	endedAt    time.Time // when it may have ended
	replacedAt time.Time // when its next incarnation has answered first; zero: it has not
	sameAt     time.Time // when it has said that it is the incarnation in the list; zero: it has not, or may have ended since
}

// mayHaveEnded records that nothing is left of what an upstream was connected by.
func (r restarts) mayHaveEnded(now time.Time, upstream string) {
	known := r[upstream]
	known.endedAt, known.sameAt = now, time.Time{}
	r[upstream] = known
}

// expire drops what lies too far back.
func (r restarts) expire(now time.Time) {
	for upstream, known := range r {
		if now.Sub(known.endedAt) >= restartMemory && now.Sub(known.replacedAt) >= restartMemory && now.Sub(known.sameAt) >= restartMemory {
			delete(r, upstream)
		}
	}
}

// IdleClosed records that an upstream has closed a connection on which no answer was awaited. If none is awaited on
// another one either, nothing shows that it has not ended.
func (r *Registry) IdleClosed(now time.Time, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.account.AwaitsAny(upstream) {
		r.restarts.mayHaveEnded(now, upstream)
	}
}

// Same records that an upstream has said that it is the incarnation in the list: it has not ended, whatever answers were
// lost there.
func (r *Registry) Same(now time.Time, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restarts[upstream] = restart{sameAt: now}
}

// SameAt returns when an upstream has said that it is the incarnation in the list; zero: it has not, or it may have ended
// since.
func (r *Registry) SameAt(upstream string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.restarts[upstream].sameAt
}

// Replaced records that the next incarnation of an upstream has answered, and reports whether that is new.
func (r *Registry) Replaced(now time.Time, upstream string) (isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.restarts[upstream]
	if isNew = known.replacedAt.IsZero(); isNew {
		known.replacedAt, known.sameAt = now, time.Time{}
		r.restarts[upstream] = known
	}
	return isNew
}

// MayHaveEndedAt returns when an upstream may have ended: all answers that were awaited there were lost, or it closed a
// connection while none was; zero: that did not happen lately. Answers that are awaited since then prove nothing: they
// may be those of its next incarnation. replaced is when this one has answered first; zero: it has not.
func (r *Registry) MayHaveEndedAt(upstream string) (at, replaced time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.restarts[upstream]
	return known.endedAt, known.replacedAt
}
