package relay

import (
	"slices"
	"time"
)

// subscribe asks the candidates for beats, in order, up to the one that this
// router may rely on or that has yet to answer. One that does not answer is left
// alone for a while. A router whose own reading lags asks all.
func (s *State) subscribe(now time.Time) []Effect {
	candidates := s.candidates(now)
	if s.reading && s.isLagging(now) {
		candidates = s.sorted
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
			out = append(out, SendSubscribe{To: p.router, Subscribe: Subscribe{From: s.self, WantHeartbeats: true}})
		}
		isUsableParent := p == s.parent && s.isFresh(now, p, 0) && !p.heartbeat.StoreFailing
		if isUsableParent || !p.unansweredSince.IsZero() {
			break
		}
	}
	return out
}

// hasNews reports whether its subscribers should hear of what this router knows at
// once: there is something new, or what they were told has meanwhile grown old.
func (s *State) hasNews(now time.Time) bool {
	for i, k := range s.heartbeat(now).Progress {
		if k.Summary != s.published[i] || k.Age >= 0 && confirmedAt(now, k).Sub(s.publishedAt[i]) > s.timing.MaxAge {
			return true
		}
	}
	return false
}

// confirmedAt returns when knowledge was known to be the newest; zero: it was not.
func confirmedAt(now time.Time, k Progress) time.Time {
	if k.Age < 0 {
		return time.Time{}
	}
	return now.Add(-milliseconds(k.Age))
}

// sendHeartbeats sends a beat to each subscriber when one is due or there is news.
func (s *State) sendHeartbeats(now time.Time, immediately bool) []Effect {
	if !immediately && now.Before(s.nextHeartbeat) {
		return nil
	}
	var out []Effect
	b := s.heartbeat(now)
	for _, p := range s.sorted {
		if now.Before(p.subscribedUntil) {
			out = append(out, SendHeartbeat{To: p.router, Heartbeat: b})
		}
	}
	s.nextHeartbeat = now.Add(s.timing.HeartbeatInterval)
	for i, k := range b.Progress {
		s.published[i], s.publishedAt[i] = k.Summary, confirmedAt(now, k)
	}
	return out
}

// heartbeat returns what this router knows at now. Its marks are what it has itself;
// the ages are those of whom it relies on.
func (s *State) heartbeat(now time.Time) Heartbeat {
	b := Heartbeat{From: s.self, Progress: s.own, StoreFailing: s.reading && s.storeFailing}
	source, at := s.own, s.ownAsOf
	if s.parent != nil {
		b.StoreFailing = s.reading && s.parent.heartbeat.StoreFailing
		b.Path = append(slices.Clone(s.parent.heartbeat.Path), s.parent.router.Name)
		source, at = s.parent.heartbeat.Progress, s.parent.heartbeatAt
	}
	elapsed := now.Sub(at).Milliseconds()
	for i := range b.Progress {
		b.Progress[i].Age = addElapsed(source[i].Age, elapsed)
		b.Progress[i].SinceRecovery = addElapsed(source[i].SinceRecovery, elapsed)
		if s.parent != nil && !b.Progress[i].Summary.CaughtUp(source[i].Summary) {
			b.Progress[i].Age = -1 // it has not pulled yet what its parent knows
		}
	}
	return b
}

func addElapsed(ms, elapsed int64) int64 {
	if ms < 0 {
		return ms
	}
	return ms + elapsed
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
