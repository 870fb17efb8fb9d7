package relay

import (
	"time"
)

// Step applies an event and returns the effects to perform.
func (s *State) Step(event Event) []Effect {
	switch e := event.(type) {
	case Ticked:
		return s.tick(e.Now)
	case Registered:
		return s.registered(e)
	case HeartbeatReceived:
		return s.heartbeatReceived(e)
	case SubscribeReceived:
		return s.subscribeReceived(e)
	case ProgressUpdated:
		return s.progressUpdated(e)
	case Resumed:
		return s.resumed(e.Now)
	}
	return nil
}

func (s *State) progressUpdated(e ProgressUpdated) []Effect {
	failingChanged := e.StoreFailing != s.storeFailing
	s.own, s.ownAsOf, s.storeFailing = e.Progress, e.Now, e.StoreFailing
	s.updateUnpulled(e.Now)
	return s.sendHeartbeats(e.Now, s.hasNews(e.Now) || failingChanged)
}

// HasParent reports whether this router follows another one. The state of a parent is
// fresh, or has been so until less than the grace period ago.
func (s *State) HasParent() bool {
	return s.parent != nil
}

// registered announces this router to the routers that are new to it.
func (s *State) registered(e Registered) []Effect {
	var out []Effect
	s.registerRead = true
	for _, router := range e.Routers {
		if s.peers[router.Name] == nil && s.recordPeer(e.Now, router) != nil {
			out = append(out, SendSubscribe{To: router, Subscribe: Subscribe{From: s.self}})
		}
	}
	return append(out, s.tick(e.Now)...)
}

func (s *State) subscribeReceived(e SubscribeReceived) []Effect {
	p := s.recordPeer(e.Now, e.Subscribe.From)
	if p == nil {
		return nil
	}
	p.suspectUntil = time.Time{}
	if !e.Subscribe.WantHeartbeats {
		return nil
	}
	isNew := e.Now.After(p.subscribedUntil)
	p.subscribedUntil = e.Now.Add(3 * s.timing.RenewInterval)
	if isNew { // a new subscriber gets its first heartbeat at once
		return []Effect{SendHeartbeat{To: p.router, Heartbeat: s.heartbeat(e.Now)}}
	}
	return nil
}

func (s *State) heartbeatReceived(e HeartbeatReceived) []Effect {
	p := s.recordPeer(e.Now, e.Heartbeat.From)
	if p == nil {
		return nil
	}
	p.heartbeat, p.heartbeatAt = e.Heartbeat, e.Now
	p.unansweredSince, p.suspectUntil = time.Time{}, time.Time{}
	s.updateUnpulled(e.Now)
	out := s.chooseParent(e.Now)
	if p != s.parent {
		return out
	}
	out = append(out, ParentProgress{Parent: p.router, Progress: e.Heartbeat.Progress})
	return append(out, s.sendHeartbeats(e.Now, s.hasNews(e.Now))...)
}

// updateUnpulled records since when the parent is ahead of what this router has pulled.
func (s *State) updateUnpulled(now time.Time) {
	p := s.parent
	if p == nil {
		return
	}
	for i, progress := range p.heartbeat.Progress {
		if s.own[i].Summary.CaughtUp(progress.Summary) {
			continue
		}
		if p.unpulledSince.IsZero() {
			p.unpulledSince = now
		}
		return
	}
	p.unpulledSince = time.Time{}
}

// resumed discards all known ages.
func (s *State) resumed(now time.Time) []Effect {
	for _, p := range s.peers {
		p.heartbeatAt = time.Time{}
	}
	for i := range s.own {
		s.own[i].Age = -1
	}
	return s.chooseParent(now)
}

func (s *State) tick(now time.Time) []Effect {
	s.forget(now)
	out := s.chooseParent(now)
	out = append(out, s.subscribe(now)...)
	out = append(out, s.sendReports(now)...)
	return append(out, s.sendHeartbeats(now, false)...)
}

// sendReports sends a Report to the parent, and a summary to each subscriber, once per
// ReportInterval.
func (s *State) sendReports(now time.Time) []Effect {
	if now.Before(s.nextReport) {
		return nil
	}
	s.nextReport = now.Add(s.timing.ReportInterval)
	var out []Effect
	if s.parent != nil {
		out = append(out, SendReport{To: s.parent.router, Report: Report{From: s.self.Name}})
	}
	for _, p := range s.sorted {
		if now.Before(p.subscribedUntil) {
			out = append(out, SendReport{To: p.router, Report: Report{From: s.self.Name, IsSummary: true}})
		}
	}
	return out
}
