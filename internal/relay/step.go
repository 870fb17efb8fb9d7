package relay

import (
	"time"
)

// Step applies an event.
func (s *State) Step(event Event) []Effect {
	switch e := event.(type) {
	case Ticked:
		return s.tick(e.Now)
	case Registered:
		return s.registered(e)
	case HeartbeatReceived:
		return s.beatHeard(e)
	case SubscribeReceived:
		return s.subscribeHeard(e)
	case ProgressUpdated:
		return s.followed(e)
	case Resumed:
		return s.woke(e.Now)
	}
	return nil
}

func (s *State) followed(e ProgressUpdated) []Effect {
	news := e.StoreFailing != s.failing
	s.own, s.ownAt, s.failing = e.Progress, e.Now, e.StoreFailing
	s.compare(e.Now)
	return s.beats(e.Now, s.changed(e.Now) || news)
}

// HasParent reports whether this router relies on another one, whose knowledge is
// fresh.
func (s *State) HasParent() bool {
	return s.parent != nil
}

// registered makes this router known to those that it learns of.
func (s *State) registered(e Registered) []Effect {
	var out []Effect
	s.listed = true
	for _, n := range e.Routers {
		if s.peers[n.Name] == nil && s.learn(e.Now, n) != nil {
			out = append(out, SendSubscribe{To: n, Subscribe: Subscribe{From: s.self}})
		}
	}
	return append(out, s.tick(e.Now)...)
}

func (s *State) subscribeHeard(e SubscribeReceived) []Effect {
	p := s.learn(e.Now, e.Subscribe.From)
	if p == nil {
		return nil
	}
	p.suspect = time.Time{}
	if !e.Subscribe.WantHeartbeats {
		return nil
	}
	news := e.Now.After(p.wants)
	p.wants = e.Now.Add(3 * s.timing.RenewInterval)
	if news { // the first beat is awaited
		return []Effect{SendHeartbeat{To: p.node, Heartbeat: s.beat(e.Now)}}
	}
	return nil
}

func (s *State) beatHeard(e HeartbeatReceived) []Effect {
	p := s.learn(e.Now, e.Heartbeat.From)
	if p == nil {
		return nil
	}
	p.beat, p.beatAt = e.Heartbeat, e.Now
	p.unanswered, p.suspect = time.Time{}, time.Time{}
	s.compare(e.Now)
	out := s.choose(e.Now)
	if p != s.parent {
		return out
	}
	out = append(out, ParentProgress{Parent: p.node, Progress: e.Heartbeat.Progress})
	return append(out, s.beats(e.Now, s.changed(e.Now))...)
}

// compare notes since when the parent knows more than this router has pulled.
func (s *State) compare(now time.Time) {
	p := s.parent
	if p == nil {
		return
	}
	for i, k := range p.beat.Progress {
		if s.own[i].Summary.CaughtUp(k.Summary) {
			continue
		}
		if p.behind.IsZero() {
			p.behind = now
		}
		return
	}
	p.behind = time.Time{}
}

// woke forgets how old anything is.
func (s *State) woke(now time.Time) []Effect {
	for _, p := range s.peers {
		p.beatAt = time.Time{}
	}
	for i := range s.own {
		s.own[i].Age = -1
	}
	return s.choose(now)
}

func (s *State) tick(now time.Time) []Effect {
	s.forget(now)
	out := s.choose(now)
	out = append(out, s.subscribe(now)...)
	out = append(out, s.share(now)...)
	return append(out, s.beats(now, false)...)
}

// share tells the parent what this router has heard, and its subscribers what it knows.
func (s *State) share(now time.Time) []Effect {
	if now.Before(s.nextShare) {
		return nil
	}
	s.nextShare = now.Add(s.timing.ReportInterval)
	var out []Effect
	if s.parent != nil {
		out = append(out, SendReport{To: s.parent.node, Report: Report{From: s.self.Name}})
	}
	for _, p := range s.sorted {
		if now.Before(p.wants) {
			out = append(out, SendReport{To: p.node, Report: Report{From: s.self.Name, IsSummary: true}})
		}
	}
	return out
}
