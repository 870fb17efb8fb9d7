package relay

import (
	"slices"
	"time"
)

// subscribe subscribes to the candidates in order of rank. It stops after the first that
// is a usable parent or that has yet to answer, and without a fresh parent after
// candidatesAtOnce that have yet to answer: in a start of all, the first in rank may be gone,
// and routers that asked one after the other would list the store before they come to one
// that is alive. A candidate that does not answer is skipped for SuspectTime. For a router
// that reads the store and lags, all peers are candidates.
func (s *State) subscribe(now time.Time) []Effect {
	candidates := s.candidates(now)
	if s.reading && s.isLagging(now) {
		candidates = s.sorted
	}
	unanswered := 1
	if !s.reading && (s.parent == nil || !s.isFresh(now, s.parent, 0)) {
		unanswered = candidatesAtOnce
	}
	var out []Effect
	for _, p := range candidates {
		if !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) > s.timing.HeartbeatTimeout {
			p.suspectUntil, p.unansweredSince = now.Add(s.timing.SuspectTime), time.Time{}
		}
		if now.Before(p.suspectUntil) {
			continue
		}
		if p.subscribedAt.IsZero() || now.Sub(p.subscribedAt) >= s.timing.RenewInterval {
			p.subscribedAt = now
			if p.unansweredSince.IsZero() && now.Sub(p.heartbeatAt) > s.timing.HeartbeatTimeout {
				p.unansweredSince = now
			}
			out = append(out, SendSubscribe{To: p.router, Subscribe: Subscribe{From: s.self, WantHeartbeats: true, AtOnce: p.heartbeatAt.IsZero()}})
		}
		isUsableParent := p == s.parent && s.isFresh(now, p, 0) && !p.heartbeat.StoreFailing
		if !p.unansweredSince.IsZero() {
			unanswered--
		}
		if isUsableParent || unanswered == 0 {
			break
		}
	}
	return out
}

// hasNews reports whether subscribers need a heartbeat at once: a summary has changed,
// or the last confirmation by the store is more than MaxAge later than the published
// one.
func (s *State) hasNews(now time.Time) bool {
	for i, progress := range s.heartbeat(now).Progress {
		if progress.Summary != s.published[i] || progress.Age >= 0 && confirmedAt(now, progress).Sub(s.publishedAt[i]) > s.timing.MaxAge {
			return true
		}
	}
	return false
}

// confirmedAt returns when the store confirmed that k was the newest state; zero if it
// is not known.
func confirmedAt(now time.Time, progress Progress) time.Time {
	if progress.Age < 0 {
		return time.Time{}
	}
	return now.Add(-milliseconds(progress.Age))
}

// sendHeartbeats sends a heartbeat to each subscriber, immediately or when one is due.
func (s *State) sendHeartbeats(now time.Time, immediately bool) []Effect {
	if !immediately && now.Before(s.nextHeartbeat) {
		return nil
	}
	var out []Effect
	h := s.heartbeat(now)
	for _, p := range s.sorted {
		if now.Before(p.subscribedUntil) {
			out = append(out, SendHeartbeat{To: p.router, Heartbeat: h})
		}
	}
	s.nextHeartbeat = now.Add(s.timing.HeartbeatInterval)
	for i, progress := range h.Progress {
		s.published[i], s.publishedAt[i] = progress.Summary, confirmedAt(now, progress)
	}
	return out
}

// heartbeat returns the heartbeat to send at now, with the state of this router and its age.
func (s *State) heartbeat(now time.Time) Heartbeat {
	h := Heartbeat{From: s.self, Progress: s.own, StoreFailing: s.reading && s.storeFailing}
	source, at := s.own, s.ownAsOf
	if s.parent != nil {
		h.StoreFailing = s.reading && s.parent.heartbeat.StoreFailing
		h.Path = append(slices.Clone(s.parent.heartbeat.Path), s.parent.router.Name)
		source, at = s.parent.heartbeat.Progress, s.parent.heartbeatAt
	}
	elapsed := now.Sub(at).Milliseconds()
	for i := range h.Progress {
		h.Progress[i].Age = s.age(now, i)
		h.Progress[i].SinceRecovery = addElapsed(source[i].SinceRecovery, elapsed)
	}
	return h
}

// age returns the time since the store has confirmed the state held here of a set, in milliseconds;
// negative: unknown. It stays known while a newer state of the parent is being pulled, and while a
// router that has lost its parent begins to read the store. If it were unknown then, the subscribers
// of a router that sends a heartbeat in that time would all list the store at once.
func (s *State) age(now time.Time, set int) int64 {
	if s.confirmed[set].IsZero() {
		return -1
	}
	return now.Sub(s.confirmed[set]).Milliseconds()
}

// ConfirmedAt returns when the store has confirmed that the state held here of a set was the newest, as this router or
// its parent has been told; zero: never, or not since the process was suspended.
func (s *State) ConfirmedAt(set Set) time.Time { return s.confirmed[set] }

// addElapsed adds the elapsed time to an age, both in milliseconds. A negative age
// means unknown and stays.
func addElapsed(ms, elapsed int64) int64 {
	if ms < 0 {
		return ms
	}
	return ms + elapsed
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
