package relay

import (
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/config"
)

// Event is something that has happened to a State.
type Event interface {
	// When returns the time of the event, on the monotonic clock.
	When() time.Time
}

// Ticked is the passing of time.
type Ticked struct{ Now time.Time }

// Registered names routers that the store knows.
type Registered struct {
	Now   time.Time
	Nodes []Node
}

// BeatHeard is a beat of another router.
type BeatHeard struct {
	Now  time.Time
	Beat Beat
}

// SubscribeHeard is a subscription of another router.
type SubscribeHeard struct {
	Now       time.Time
	Subscribe Subscribe
}

// Followed is how far this router follows the sets. The ages are those of its own
// reading of the store.
type Followed struct {
	Now       time.Time
	Knowledge Sets[Knowledge]
	Failing   bool // the store does not answer it
}

// Woke is the end of a time in which the router did not run and its clock may
// have stood still: ages that were worked out before mean nothing.
type Woke struct{ Now time.Time }

// When implements Event.
func (e Ticked) When() time.Time { return e.Now }

// When implements Event.
func (e Registered) When() time.Time { return e.Now }

// When implements Event.
func (e BeatHeard) When() time.Time { return e.Now }

// When implements Event.
func (e SubscribeHeard) When() time.Time { return e.Now }

// When implements Event.
func (e Followed) When() time.Time { return e.Now }

// When implements Event.
func (e Woke) When() time.Time { return e.Now }

// Effect is something that a State wants done.
type Effect interface{ isRelayEffect() }

// SendBeat sends a beat to a router.
type SendBeat struct {
	To   Node
	Beat Beat
}

// SendSubscribe sends a subscription to a router.
type SendSubscribe struct {
	To        Node
	Subscribe Subscribe
}

// SendShare sends a router what this one has heard beside the sets.
type SendShare struct {
	To    Node
	Share Share
}

// Read starts or ends the reading of the store.
type Read struct{ On bool }

// Rely names the router to pull from what a beat shows to be missing; an empty
// Node: none.
type Rely struct{ On Node }

// Told is what the parent knows.
type Told struct {
	Parent    Node
	Knowledge Sets[Knowledge]
}

func (SendBeat) isRelayEffect()      {}
func (SendSubscribe) isRelayEffect() {}
func (SendShare) isRelayEffect()     {}
func (Read) isRelayEffect()          {}
func (Rely) isRelayEffect()          {}
func (Told) isRelayEffect()          {}

// Step applies an event.
func (s *State) Step(event Event) []Effect {
	switch e := event.(type) {
	case Ticked:
		return s.tick(e.Now)
	case Registered:
		return s.registered(e)
	case BeatHeard:
		return s.beatHeard(e)
	case SubscribeHeard:
		return s.subscribeHeard(e)
	case Followed:
		return s.followed(e)
	case Woke:
		return s.woke(e.Now)
	}
	return nil
}

func (s *State) followed(e Followed) []Effect {
	news := e.Failing != s.failing
	s.own, s.ownAt, s.failing = e.Knowledge, e.Now, e.Failing
	s.compare(e.Now)
	return s.beats(e.Now, s.changed(e.Now) || news)
}

// Relies reports whether this router relies on another one, whose knowledge is
// fresh.
func (s *State) Relies() bool {
	return s.parent != nil
}

// registered makes this router known to those that it learns of.
func (s *State) registered(e Registered) []Effect {
	var out []Effect
	for _, n := range e.Nodes {
		if s.peers[n.Name] == nil && s.learn(e.Now, n) != nil {
			out = append(out, SendSubscribe{To: n, Subscribe: Subscribe{From: s.self}})
		}
	}
	return append(out, s.tick(e.Now)...)
}

func (s *State) subscribeHeard(e SubscribeHeard) []Effect {
	p := s.learn(e.Now, e.Subscribe.From)
	if p == nil {
		return nil
	}
	p.suspect = time.Time{}
	if !e.Subscribe.Wanted {
		return nil
	}
	news := e.Now.After(p.wants)
	p.wants = e.Now.Add(3 * s.timing.Renew)
	if news { // the first beat is awaited
		return []Effect{SendBeat{To: p.node, Beat: s.beat(e.Now)}}
	}
	return nil
}

func (s *State) beatHeard(e BeatHeard) []Effect {
	p := s.learn(e.Now, e.Beat.From)
	if p == nil {
		return nil
	}
	p.beat, p.beatAt = e.Beat, e.Now
	p.unanswered, p.suspect = time.Time{}, time.Time{}
	s.compare(e.Now)
	out := s.choose(e.Now)
	if p != s.parent {
		return out
	}
	out = append(out, Told{Parent: p.node, Knowledge: e.Beat.Knowledge})
	return append(out, s.beats(e.Now, s.changed(e.Now))...)
}

// compare notes since when the parent knows more than this router has pulled.
func (s *State) compare(now time.Time) {
	p := s.parent
	if p == nil {
		return
	}
	for i, k := range p.beat.Knowledge {
		if caughtUp(s.own[i].Mark, k.Mark) {
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

// share tells the parent what this router has heard, as often as it beats.
func (s *State) share(now time.Time) []Effect {
	if s.parent == nil || now.Before(s.nextShare) {
		return nil
	}
	s.nextShare = now.Add(s.timing.Beat)
	return []Effect{SendShare{To: s.parent.node, Share: Share{From: s.self.Name}}}
}

// fresh reports whether what p told last may still be relied on, with some patience
// more than usual.
func (s *State) fresh(now time.Time, p *peer, patience time.Duration) bool {
	since := now.Sub(p.beatAt)
	if p.beatAt.IsZero() || since > s.timing.Silence+patience {
		return false
	}
	if !p.behind.IsZero() && now.Sub(p.behind) > s.timing.Pull+patience {
		return false // its messages arrive, and what is pulled from it does not
	}
	for _, k := range p.beat.Knowledge {
		if k.Age < 0 || milliseconds(k.Age)+since > s.timing.Fresh+patience {
			return false
		}
	}
	return true
}

// patience returns how much longer than the next in order this router relies on a
// parent. Those that rely on one of their failure domain wait for that one to find
// another, and of all others only the first takes the reader's place at once.
func (s *State) patience(now time.Time, candidates []*peer) time.Duration {
	classes, ahead := 0, 0
	for _, p := range candidates {
		if !now.Before(p.suspect) {
			ahead++
		}
	}
	if ahead > 1 {
		classes++
	}
	if len(s.sorted) >= flatMost && ahead > 0 && candidates[0].node.Domain == s.self.Domain {
		classes += 2
	}
	return time.Duration(classes) * s.timing.Stagger
}

// lagging reports whether this router's own reading of the store fails or has brought
// nothing for too long.
func (s *State) lagging(now time.Time) bool {
	if s.failing {
		return true
	}
	for _, k := range s.own {
		if k.Age < 0 || milliseconds(k.Age)+now.Sub(s.ownAt) > s.timing.Fresh {
			return true
		}
	}
	return false
}

// choose settles whom this router relies on, and whether it reads the store: it
// does unless it relies on one that is to read before it. A reader that the store does
// not answer is followed by those next in order, and by none whose own reading works.
// While its own reading lags, as when it alone is cut off from the store, a router
// relies on any that is fresh, and goes on trying.
func (s *State) choose(now time.Time) []Effect {
	candidates := s.candidates(now)
	parent, reading := s.firstFresh(now, candidates), false
	if parent == nil && slices.Contains(candidates, s.parent) && s.fresh(now, s.parent, s.patience(now, candidates)) {
		parent = s.parent
	}
	if parent != nil && parent.beat.Failing && (s.eager(now, candidates) || !s.lagging(now)) {
		parent = nil
	}
	if parent == nil {
		reading = true
		if s.lagging(now) {
			parent = s.firstFresh(now, s.sorted)
		}
	}
	var out []Effect
	if parent != s.parent {
		s.parent = parent
		rely := Rely{}
		if parent != nil {
			rely.On = parent.node
		}
		out = append(out, rely)
	}
	if reading != s.reading {
		s.reading = reading
		out = append(out, Read{On: reading})
	}
	return out
}

// firstFresh returns the first of candidates that this router may rely on. One that
// the store does not answer comes after all others.
func (s *State) firstFresh(now time.Time, candidates []*peer) *peer {
	var failing *peer
	for _, p := range candidates {
		switch {
		case !s.fresh(now, p, 0) || slices.Contains(p.beat.Path, s.self.Name):
		case !p.beat.Failing:
			return p
		case failing == nil:
			failing = p
		}
	}
	return failing
}

// eager reports whether this router is among those that are to read next.
func (s *State) eager(now time.Time, candidates []*peer) bool {
	ahead := 0
	for _, p := range candidates {
		if !now.Before(p.suspect) && !(p.beat.Failing && s.fresh(now, p, 0)) {
			ahead++
		}
	}
	return ahead < eager
}

// candidates returns the routers that are to read before this one, in order. In a
// large region it is the first of its failure domain that relies on those of
// others.
func (s *State) candidates(now time.Time) []*peer {
	if len(s.sorted) < flatMost {
		return s.before(s.sorted)
	}
	var own, first []*peer
	seen := make(map[string]bool)
	for _, p := range s.sorted {
		if now.Before(p.suspect) {
			continue
		}
		if p.node.Domain == s.self.Domain {
			own = append(own, p)
		}
		if !seen[p.node.Domain] {
			seen[p.node.Domain] = true
			first = append(first, p)
		}
	}
	if before := s.before(own); len(before) > 0 {
		return before
	}
	return s.before(first)
}

// before returns those of sorted that are to read before this router.
func (s *State) before(sorted []*peer) []*peer {
	for i, p := range sorted {
		if s.order.compare(p.order) < 0 {
			return sorted[:i]
		}
	}
	return sorted
}

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
		if !p.unanswered.IsZero() && now.Sub(p.unanswered) > s.timing.Silence {
			p.suspect, p.unanswered = now.Add(s.timing.Suspect), time.Time{}
		}
		if now.Before(p.suspect) {
			continue
		}
		if p.asked.IsZero() || now.Sub(p.asked) >= s.timing.Renew {
			p.asked = now
			if p.unanswered.IsZero() && now.Sub(p.beatAt) > s.timing.Silence {
				p.unanswered = now
			}
			out = append(out, SendSubscribe{To: p.node, Subscribe: Subscribe{From: s.self, Wanted: true}})
		}
		relied := p == s.parent && s.fresh(now, p, 0) && !p.beat.Failing
		if relied || !p.unanswered.IsZero() {
			break
		}
	}
	return out
}

// changed reports whether its subscribers should hear of what this router knows at
// once: there is something new, or what they were told has meanwhile grown old.
func (s *State) changed(now time.Time) bool {
	for i, k := range s.beat(now).Knowledge {
		if k.Mark != s.told[i] || k.Age >= 0 && trueAt(now, k).Sub(s.toldAt[i]) > s.timing.Fresh {
			return true
		}
	}
	return false
}

// trueAt returns when knowledge was known to be the newest; zero: it was not.
func trueAt(now time.Time, k Knowledge) time.Time {
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
			out = append(out, SendBeat{To: p.node, Beat: b})
		}
	}
	s.nextBeat = now.Add(s.timing.Beat)
	for i, k := range b.Knowledge {
		s.told[i], s.toldAt[i] = k.Mark, trueAt(now, k)
	}
	return out
}

// beat returns what this router knows at now. Its marks are what it has itself;
// the ages are those of whom it relies on.
func (s *State) beat(now time.Time) Beat {
	b := Beat{From: s.self, Knowledge: s.own, Failing: s.reading && s.failing}
	source, at := s.own, s.ownAt
	if s.parent != nil {
		b.Failing = s.reading && s.parent.beat.Failing
		b.Path = append(slices.Clone(s.parent.beat.Path), s.parent.node.Name)
		source, at = s.parent.beat.Knowledge, s.parent.beatAt
	}
	passed := now.Sub(at).Milliseconds()
	for i := range b.Knowledge {
		b.Knowledge[i].Age = older(source[i].Age, passed)
		b.Knowledge[i].Back = older(source[i].Back, passed)
		if s.parent != nil && !caughtUp(b.Knowledge[i].Mark, source[i].Mark) {
			b.Knowledge[i].Age = -1 // it has not pulled yet what its parent knows
		}
	}
	return b
}

// caughtUp reports whether a mark is as far as another.
func caughtUp(m, other config.Mark) bool {
	return m.Version >= other.Version
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
