// Package pace estimates how many requests an engine may hold so that its answers still end before
// their deadlines.
//
// It addresses a pool of engines that is offered more requests than it can answer in time. Engines
// serve streams in batches: the interval between two events of a stream grows approximately linearly
// with the number of requests that the engine holds. When all places are taken, the first event still
// arrives in time, so nothing is rejected, but long answers end after their deadline. The package fits
// the interval as a function of the held requests while load is moderate, and from the fit computes
// the load at which the longest common answers end just in time.
//
// Package router uses it, with one Model for each pool. A Model covers what one router observes.
package pace

import (
	"maps"
	"time"
)

const (
	// limitLifetime is the time for which a computed limit is reused. The limit is read for every
	// request, and the fit changes little within a hundredth of its time constant.
	limitLifetime = 100 * time.Millisecond
	// minPlacesFraction is the lowest limit, as a fraction of the places. A wrong fit or a deadline
	// that no engine can meet must not stop a pool.
	minPlacesFraction = 0.25
	// bindingPeriod is the time for which a kind of request limits the load after its last answer.
	bindingPeriod = 30 * time.Second
	// requiredPercentile is the fraction of the answers of a kind that must end before the deadline.
	requiredPercentile = 0.95
	// minAnswers is the number of answers that are needed for a percentile or a mean.
	minAnswers = 20
	// maxPauseShare is the part of the longest permitted pause that the mean interval may take.
	// Single intervals are longer than the mean.
	maxPauseShare = 0.5
	// maxKinds limits the kinds of request that are kept, to bound memory: each takes 1.4 KB.
	maxKinds = 256
)

// Requirement states how fast the answers to a kind of request must be. A field that is zero sets no
// requirement.
type Requirement struct {
	Objective time.Duration // target for the time to the first byte
	Deadline  time.Duration // from the arrival of the request to the end of the answer
	MaxPause  time.Duration // longest permitted time between two events
}

// Model estimates the number of requests that each engine of a pool may hold. It is not safe for
// concurrent use.
type Model struct {
	requirements map[string]Requirement
	answers      map[string]*answers
	intervals    fit
	places       int // of an engine, from the last call of Limit
	cached       estimate
}

// estimate is a result of the fit and the requirements.
type estimate struct {
	at    time.Time
	valid bool // false if it must be computed again
	line  line
	limit float64 // may be infinite, zero or negative
	known bool
}

// New returns a Model without requirements and observations.
func New() *Model {
	return &Model{
		requirements: make(map[string]Requirement), answers: make(map[string]*answers),
		intervals: newFit(),
	}
}

// SetRequirement replaces the requirement of a kind of request. The zero Requirement removes it, and
// one with a negative field is ignored. A deadline that is not after the objective has no effect.
func (m *Model) SetRequirement(kind string, r Requirement) {
	if min(r.Objective, r.Deadline, r.MaxPause) < 0 {
		return
	}
	if r == m.requirements[kind] {
		return
	}
	m.cached.valid = false
	if r == (Requirement{}) {
		delete(m.requirements, kind)
		return
	}
	m.requirements[kind] = r
}

// RecordEvents records n events of a stream that arrived within elapsed from an engine that held the
// given number of requests. Invalid values are ignored.
func (m *Model) RecordEvents(now time.Time, held float64, n int, elapsed time.Duration) {
	if n <= 0 || elapsed < 0 || !(held >= 0 && held <= maxHeld) {
		return
	}
	m.intervals.add(now, held, float64(n), elapsed.Seconds()/float64(n))
}

// RecordAnswer records a complete answer with its number of events, zero if it was not streamed.
// first is the time to its first byte. Invalid values are ignored.
func (m *Model) RecordAnswer(now time.Time, kind string, events int, first time.Duration) {
	if events < 0 || first < 0 {
		return
	}
	a := m.answers[kind]
	if a == nil || now.Sub(a.last) > forgetAfter {
		if a == nil && !m.hasRoom(now) {
			return
		}
		a = newAnswers()
		m.answers[kind] = a
	}
	a.add(now, events, first.Seconds())
}

// hasRoom reports whether another kind can be kept. If not, it drops old ones first.
func (m *Model) hasRoom(now time.Time) bool {
	if len(m.answers) >= maxKinds {
		maps.DeleteFunc(m.answers, func(_ string, a *answers) bool { return now.Sub(a.last) > forgetAfter })
	}
	return len(m.answers) < maxKinds
}

// Limit returns the maximum number of requests that an engine with the given number of places may
// hold, between a quarter of the places and all of them. known is false if there is no estimate: too
// few events, too little variation of the load, or no requirement of a kind seen recently.
func (m *Model) Limit(now time.Time, places int) (held float64, known bool) {
	if places <= 0 {
		return 0, false
	}
	m.places = places
	m.refresh(now)
	if !m.cached.known {
		return 0, false
	}
	return m.limit(), true
}

// limit returns the cached limit within the range that the places permit.
func (m *Model) limit() float64 {
	places := float64(m.places)
	return min(max(m.cached.limit, places*minPlacesFraction), places)
}

// Duration returns the time that an answer of the kind takes, from the request to its end, at an
// engine that holds as many requests as the limit for the places last given to Limit. It returns false
// if that limit is unknown or the kind has too few answers.
func (m *Model) Duration(now time.Time, kind string) (time.Duration, bool) {
	a := m.answers[kind]
	if a == nil || m.places == 0 || !a.known(now) {
		return 0, false
	}
	m.refresh(now)
	if !m.cached.known {
		return 0, false
	}
	first, events := a.means()
	return duration(first + events*m.cached.line.at(m.limit())), true
}

// duration converts seconds to a Duration without overflow.
func duration(seconds float64) time.Duration {
	const longest = 1 << 62
	return time.Duration(min(seconds*float64(time.Second), longest))
}

// refresh computes the limit if the cached one is outdated.
func (m *Model) refresh(now time.Time) {
	if age := now.Sub(m.cached.at); m.cached.valid && age >= 0 && age < limitLifetime {
		return
	}
	m.cached = estimate{at: now, valid: true}
	required, bound := m.requiredInterval(now)
	fitted, known := m.intervals.line(now)
	if bound && known {
		m.cached.line, m.cached.limit, m.cached.known = fitted, fitted.heldAt(required), true
	}
}

// requiredInterval returns the longest mean interval between events, in seconds, that meets the
// requirements of all kinds seen recently. It returns false if there are none.
func (m *Model) requiredInterval(now time.Time) (seconds float64, bound bool) {
	require := func(s float64) {
		if !bound || s < seconds {
			seconds, bound = s, true
		}
	}
	for kind, r := range m.requirements {
		a := m.answers[kind]
		if a == nil || now.Sub(a.last) >= bindingPeriod {
			continue
		}
		if r.MaxPause > 0 {
			require(r.MaxPause.Seconds() * maxPauseShare)
		}
		if r.Deadline <= r.Objective || !a.known(now) {
			continue
		}
		if events := a.percentile(requiredPercentile); events > 0 {
			require((r.Deadline - r.Objective).Seconds() / events)
		}
	}
	return seconds, bound
}
