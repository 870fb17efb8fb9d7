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
	if s.reading && s.lagging(now) {
		candidates = s.sorted
	}
	var out []Effect
	for _, p := range candidates {
		if !p.unanswered.IsZero() && now.Sub(p.unanswered) > s.timing.HeartbeatTimeout {
			p.suspect, p.unanswered = now.Add(s.timing.SuspectTime), time.Time{}
		}
		if now.Before(p.suspect) {
			continue
		}
		if p.asked.IsZero() || now.Sub(p.asked) >= s.timing.RenewInterval {
			p.asked = now
			if p.unanswered.IsZero() && now.Sub(p.beatAt) > s.timing.HeartbeatTimeout {
				p.unanswered = now
			}
			out = append(out, SendSubscribe{To: p.node, Subscribe: Subscribe{From: s.self, WantHeartbeats: true}})
		}
		relied := p == s.parent && s.fresh(now, p, 0) && !p.beat.StoreFailing
		if relied || !p.unanswered.IsZero() {
			break
		}
	}
	return out
}

// changed reports whether its subscribers should hear of what this router knows at
// once: there is something new, or what they were told has meanwhile grown old.
func (s *State) changed(now time.Time) bool {
	for i, k := range s.beat(now).Progress {
		if k.Summary != s.told[i] || k.Age >= 0 && trueAt(now, k).Sub(s.toldAt[i]) > s.timing.MaxAge {
			return true
		}
	}
	return false
}

// trueAt returns when knowledge was known to be the newest; zero: it was not.
func trueAt(now time.Time, k Progress) time.Time {
	if k.Age < 0 {
		return time.Time{}
	}
	return now.Add(-milliseconds(k.Age))
}

// beats sends a beat to each subscriber when one is due or there is news.
func (s *State) beats(now time.Time, news bool) []Effect {
	if !news && now.Before(s.nextBeat) {
		return nil
	}
	var out []Effect
	b := s.beat(now)
	for _, p := range s.sorted {
		if now.Before(p.wants) {
			out = append(out, SendHeartbeat{To: p.node, Heartbeat: b})
		}
	}
	s.nextBeat = now.Add(s.timing.HeartbeatInterval)
	for i, k := range b.Progress {
		s.told[i], s.toldAt[i] = k.Summary, trueAt(now, k)
	}
	return out
}

// beat returns what this router knows at now. Its marks are what it has itself;
// the ages are those of whom it relies on.
func (s *State) beat(now time.Time) Heartbeat {
	b := Heartbeat{From: s.self, Progress: s.own, StoreFailing: s.reading && s.failing}
	source, at := s.own, s.ownAt
	if s.parent != nil {
		b.StoreFailing = s.reading && s.parent.beat.StoreFailing
		b.Path = append(slices.Clone(s.parent.beat.Path), s.parent.node.Name)
		source, at = s.parent.beat.Progress, s.parent.beatAt
	}
	passed := now.Sub(at).Milliseconds()
	for i := range b.Progress {
		b.Progress[i].Age = older(source[i].Age, passed)
		b.Progress[i].SinceRecovery = older(source[i].SinceRecovery, passed)
		if s.parent != nil && !b.Progress[i].Summary.CaughtUp(source[i].Summary) {
			b.Progress[i].Age = -1 // it has not pulled yet what its parent knows
		}
	}
	return b
}

func older(ms, passed int64) int64 {
	if ms < 0 {
		return ms
	}
	return ms + passed
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
