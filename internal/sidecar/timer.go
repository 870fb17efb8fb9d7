package sidecar

import (
	"container/heap"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/token"
)

// timer is a time at which a request, or the whole sidecar if the nonce is zero,
// is checked. Timers are never cancelled: a check that comes early or is obsolete
// has no effect.
type timer struct {
	at    time.Time
	nonce token.Nonce
}

// timers is a min-heap by time.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}

func (t *timers) add(at time.Time, n token.Nonce) {
	heap.Push(t, timer{at: at, nonce: n})
}

// maxStaleTimers is the number of stale timers that sweepTimers always tolerates.
const maxStaleTimers = 1024

// sweepTimers removes the timers of requests that no longer exist, once there are
// many more timers than requests. A response that is to be retained for hours and
// is dropped to make room leaves its timer behind.
func (s *State) sweepTimers() {
	if len(s.timers) <= 8*len(s.requests)+maxStaleTimers {
		return
	}
	s.timers = slices.DeleteFunc(s.timers, func(t timer) bool {
		return t.nonce != token.Nonce{} && s.requests[t.nonce] == nil
	})
	heap.Init(&s.timers)
}

// popDue removes and returns a timer that is due.
func (t *timers) popDue(now time.Time) (timer, bool) {
	if len(*t) == 0 || now.Before((*t)[0].at) {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}

// Wake returns when the next Ticked is due, or the zero time for never.
func (s *State) Wake() time.Time {
	if len(s.timers) == 0 {
		return time.Time{}
	}
	return s.timers[0].at
}

// runTimers handles the timers that are due and advances probes and drains.
func (s *State) runTimers(now time.Time) []Effect {
	var effects []Effect
	for t, ok := s.timers.popDue(now); ok; t, ok = s.timers.popDue(now) {
		if r := s.requests[t.nonce]; r != nil {
			effects = append(effects, s.handleTimer(now, r)...)
		}
	}
	s.sweepTimers()
	s.settleImports(now)
	effects = append(effects, s.startDueProbe(now)...)
	effects = append(effects, s.advanceDrain(now)...)
	return append(effects, s.advanceOrderDrain(now)...)
}

func (s *State) handleTimer(now time.Time, r *request) []Effect {
	switch {
	case r.phase == ended:
		return s.dropExpired(now, r)
	case r.phase == queued && !r.expires.IsZero() && !now.Before(r.expires):
		return s.withdrawExpired(now, r)
	case !r.unreadSince.IsZero() && now.Sub(r.unreadSince) >= s.settings.DetachGrace:
		return s.handleUnread(now, r)
	}
	return nil
}

// dropExpired drops a response whose retention time has passed and that has no
// readers.
func (s *State) dropExpired(now time.Time, r *request) []Effect {
	if now.Before(r.keepUntil) {
		return nil
	}
	if r.readers > 0 {
		s.timers.add(now.Add(s.settings.DetachGrace), r.nonce())
		return nil
	}
	return s.dropRequest(r)
}

// dropRequest removes a request that has ended and its response.
func (s *State) dropRequest(r *request) []Effect {
	if s.requests[r.nonce()] != r {
		return nil
	}
	delete(s.requests, r.nonce())
	return []Effect{Drop{Nonce: r.nonce()}}
}

// trimRetained limits the number of retained responses to the maximum size of the key
// table, whatever retention time their profiles set. It drops the oldest. One that has
// readers is no longer counted and is dropped when its last reader leaves.
func (s *State) trimRetained() []Effect {
	var effects []Effect
	for len(s.retained) > s.settings.Keys {
		r := s.retained[0]
		s.retained = s.retained[1:]
		if r.readers > 0 {
			r.keepUntil = r.endedAt
			continue
		}
		effects = append(effects, s.dropRequest(r)...)
	}
	return effects
}

// handleUnread handles a request that had no readers for DetachGrace. The grace
// allows the caller to return through another router if its router failed. A
// request that is queued or idempotent is then aborted. A running request that is
// not idempotent runs to its end, because the upstream has started it and the
// caller may ask for its outcome.
func (s *State) handleUnread(now time.Time, r *request) []Effect {
	if r.phase == queued || r.submit.Policy.Idempotent {
		r.abandoned = true
		return s.abort(now, r)
	}
	if r.discarding {
		return nil
	}
	r.discarding = true
	return []Effect{DiscardOverflow{Nonce: r.nonce()}}
}

// handleReaders applies a reader count, unless a later one has been applied.
func (s *State) handleReaders(e ReadersChanged) []Effect {
	r := s.requests[e.Nonce]
	if r == nil || e.Seq <= r.readSeq {
		return nil
	}
	r.readSeq, r.readers = e.Seq, e.Count
	r.delivered = r.delivered || e.Delivered
	switch {
	case e.Count > 0:
		r.unreadSince = time.Time{}
	case r.phase == ended:
		return s.dropExpired(e.Now, r)
	case r.unreadSince.IsZero():
		r.unreadSince = e.Now
		s.timers.add(e.Now.Add(s.settings.DetachGrace), r.nonce())
	}
	return nil
}
