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
}

// mayHaveEnded records that nothing is left of what an upstream was connected by.
func (r restarts) mayHaveEnded(now time.Time, upstream string) {
	known := r[upstream]
	known.endedAt = now
	r[upstream] = known
}

// expire drops what lies too far back.
func (r restarts) expire(now time.Time) {
	for upstream, known := range r {
		if now.Sub(known.endedAt) >= restartMemory && now.Sub(known.replacedAt) >= restartMemory {
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

// IsSameIncarnation records that an upstream has not ended, whatever answers were lost there.
func (r *Registry) IsSameIncarnation(upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.restarts, upstream)
}

// Replaced records that the next incarnation of an upstream has answered.
func (r *Registry) Replaced(now time.Time, upstream string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.restarts[upstream]
	if known.replacedAt.IsZero() {
		known.replacedAt = now
	}
	r.restarts[upstream] = known
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
