package sidecar

import (
	"container/heap"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/token"
)

// timer is a time at which a request, or with a zero nonce the sidecar as a
// whole, is to be looked at. Timers are not taken back: what is looked at too
// early or in vain is left as it is.
type timer struct {
	at    time.Time
	nonce token.Nonce
}

// timers is a heap, the earliest on top.
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

// maxStaleTimers is how many timers may be stale before they are looked through.
const maxStaleTimers = 1024

// sweepTimers forgets the timers of requests that are no longer known, once they
// outweigh the others: an answer that is to be kept for hours and is dropped
// to make room leaves its timer behind.
func (s *State) sweepTimers() {
	if len(s.timers) <= 8*len(s.requests)+maxStaleTimers {
		return
	}
	s.timers = slices.DeleteFunc(s.timers, func(t timer) bool {
		return t.nonce != token.Nonce{} && s.requests[t.nonce] == nil
	})
	heap.Init(&s.timers)
}

// popDue takes a timer that has come popDue.
func (t *timers) popDue(now time.Time) (timer, bool) {
	if len(*t) == 0 || now.Before((*t)[0].at) {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}

// Wake is when Ticked is due; zero: never.
func (s *State) Wake() time.Time {
	if len(s.timers) == 0 {
		return time.Time{}
	}
	return s.timers[0].at
}

// runTimers looks at what has come due.
func (s *State) runTimers(now time.Time) []Effect {
	var effects []Effect
	for t, ok := s.timers.popDue(now); ok; t, ok = s.timers.popDue(now) {
		if r := s.requests[t.nonce]; r != nil {
			effects = append(effects, s.handleTimer(now, r)...)
		}
	}
	s.sweepTimers()
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

// dropExpired drops an answer that has been kept for its time.
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

// dropRequest forgets an answer that has ended.
func (s *State) dropRequest(r *request) []Effect {
	if s.requests[r.nonce()] != r {
		return nil
	}
	delete(s.requests, r.nonce())
	return []Effect{Drop{Nonce: r.nonce()}}
}

// trimRetained bounds the answers that are kept by the size of the key table, whatever
// time their profiles ask for. Those that are read stay until they are not.
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

// handleUnread ends a request that nobody has read for the grace. Its router
// may have died and its caller may come back through another one, so it is
// given time. What is not idempotent goes on to its end, for the upstream has
// begun it and the caller will want to know what became of it.
func (s *State) handleUnread(now time.Time, r *request) []Effect {
	if r.phase == queued || r.submit.Treatment.Idempotent {
		return s.abort(now, r)
	}
	if r.discarding {
		return nil
	}
	r.discarding = true
	return []Effect{DiscardOverflow{Nonce: r.nonce()}}
}

// handleReaders takes a count of an answer's readers, unless a later one is known.
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
