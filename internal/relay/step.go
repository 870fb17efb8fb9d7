package relay

import (
	"time"
)

// Step applies an event and returns the effects to perform.
func (s *State) Step(event Event) []Effect {
	if s.startedAt.IsZero() {
		s.startedAt = event.When()
	}
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
	s.updateConfirmed()
	return s.sendHeartbeats(e.Now, s.hasNews(e.Now) || failingChanged)
}

// HasParent reports whether this router follows another one. The state of a parent is
// fresh, or has been so until less than the grace period ago.
func (s *State) HasParent() bool {
	return s.parent != nil
}

// registered announces this router to those of the routers new to it that may come to
// follow it.
func (s *State) registered(e Registered) []Effect {
	var out []Effect
	s.registerRead = true
	isNew := make(map[*peer]bool)
	for _, router := range e.Routers {
		if p := s.peers[router.Name]; p != nil {
			p.lastSeen = e.Now
		} else {
			isNew[s.recordPeer(e.Now, router)] = true
		}
	}
	for _, p := range s.announcees() {
		if isNew[p] {
			out = append(out, SendSubscribe{To: p.router, Subscribe: Subscribe{From: s.self}})
		}
	}
	return append(out, s.tick(e.Now)...)
}

// announcedPerDomain is how many routers of each other failure domain a router announces
// itself to, the first in rank: the one that may follow it, and those that replace that
// one.
const announcedPerDomain = 4

// announcees returns the routers that this one announces itself to: all of a small region,
// and in a large one those of its failure domain and the first of each other one. If every
// router announced itself to every other one, a start of all would send as many messages as
// the square of the number of routers.
func (s *State) announcees() []*peer {
	if len(s.sorted) < maxFlatRouters {
		return s.sorted
	}
	var out []*peer
	fromDomain := make(map[string]int)
	for _, p := range s.sorted {
		domain := p.router.Domain
		if domain == s.self.Domain || fromDomain[domain] < announcedPerDomain {
			fromDomain[domain]++
			out = append(out, p)
		}
	}
	return out
}

func (s *State) subscribeReceived(e SubscribeReceived) []Effect {
	p := s.recordPeer(e.Now, e.Subscribe.From)
	if p == nil {
		return nil
	}
	p.suspectUntil = time.Time{}
	if !e.Subscribe.WantHeartbeats {
		// The sender has just started and does not know of earlier subscriptions to it.
		p.subscribedAt, p.unansweredSince = time.Time{}, time.Time{}
		return s.subscribe(e.Now)
	}
	isNew := e.Now.After(p.subscribedUntil) || e.Subscribe.AtOnce
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
	s.updateConfirmed()
	out = append(out, ParentProgress{Parent: p.router, Progress: e.Heartbeat.Progress})
	return append(out, s.sendHeartbeats(e.Now, s.hasNews(e.Now))...)
}

// updateConfirmed records when the store has confirmed the state held here, according to this
// router's own reading of the store and to the parent, if this router has pulled all that the
// parent has.
func (s *State) updateConfirmed() {
	for i, own := range s.own {
		s.recordConfirmed(i, confirmedAt(s.ownAsOf, own))
		if s.parent == nil {
			continue
		}
		if told := s.parent.heartbeat.Progress[i]; own.Summary.CaughtUp(told.Summary) {
			s.recordConfirmed(i, confirmedAt(s.parent.heartbeatAt, told))
		}
	}
}

// recordConfirmed records that the store confirmed the state of a set at a time, unless a later one is
// known. A time before the last suspension is not comparable with the present: the clock may have
// stood still meanwhile.
func (s *State) recordConfirmed(set int, at time.Time) {
	if at.After(s.confirmed[set]) && at.After(s.resumedAt) {
		s.confirmed[set] = at
	}
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
	s.confirmed, s.resumedAt = Sets[time.Time]{}, now
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
