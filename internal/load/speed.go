package load

import (
	"maps"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/decay"
)

const (
	// speedDecay is the time in which the weight of an observed event falls to 1/e. An engine
	// emits several events of each stream per second, so one second of observations is enough.
	speedDecay = time.Second
	// priorEvents is the number of events at the typical interval that each engine is assumed to
	// have produced. A pause for the prompt of another request thus has little effect.
	priorEvents = 4.0
	// maxIntervalFactor limits the relative interval of a single event.
	maxIntervalFactor = 16.0
	// minTypicalInterval is the shortest typical interval between events, in seconds.
	minTypicalInterval = 0.001
	// typicalIntervalSmoothing is the weight of one event in the typical interval of its kind of
	// request.
	typicalIntervalSmoothing = 0.005
	// answerSmoothing is the weight of one answer in the average duration of answers. Ten answers
	// are enough to detect that batches have filled up; a router of a large fleet receives as
	// many within a second of a surge.
	answerSmoothing = 0.1
	// waitDecay is the time in which the weight of an observed wait falls to 1/e.
	waitDecay = 2 * time.Second
	// priorRequestsAhead is the weight of the prior estimate of the wait for each request ahead,
	// which is computed from the duration of answers and the number of slots: as much as that of
	// observed waits with this many requests ahead in total.
	priorRequestsAhead = 20.0
	// firstByteSmoothing is the weight of one answer in the average time to the first byte.
	firstByteSmoothing = 0.02
)

// Speed estimates, from the view of one router, how fast the engines of a pool run relative to
// each other, and how long their answers take. It measures the intervals between the events of
// streams, which depend neither on the queue of an engine nor on its cached prompts. It is not
// safe for concurrent use.
type Speed struct {
	clock        decay.Clock
	typical      map[string]float64 // seconds between events, by kind of request
	counts       map[VM]eventTotals // of this router and its subscribers
	fleet        map[VM]eventTotals // of the whole fleet, published by the parent
	unreported   map[VM]eventTotals // since the last report, each of weight one
	firstByte    map[string]float64 // seconds to the first byte with no request ahead, by kind
	meanDuration float64            // seconds from the first byte to the end of an answer
	durations    map[string]float64 // the same, by kind of request
	waits        waitTotals
}

// waitTotals holds the weighted sum of the seconds that requests waited, and the weighted sum of the
// numbers of requests that were ahead of them.
type waitTotals struct {
	clock          decay.Clock
	seconds, ahead float64
}

func (w *waitTotals) add(now time.Time, seconds, ahead float64) {
	if weight, due := w.clock.Rebase(now); due {
		w.seconds, w.ahead = w.seconds/weight, w.ahead/weight
	}
	weight := w.clock.Weight(now)
	w.seconds += seconds * weight
	w.ahead += ahead * weight
}

// perRequest returns the estimated wait in seconds for each request ahead. prior is the estimate in
// seconds without any observed wait.
func (w *waitTotals) perRequest(now time.Time, prior float64) float64 {
	weight := w.clock.Weight(now)
	return (w.seconds/weight + priorRequestsAhead*prior) / (w.ahead/weight + priorRequestsAhead)
}

// eventTotals holds the weighted number of events and the sum of the intervals before them, as
// multiples of the typical interval.
type eventTotals struct{ count, intervals float64 }

func (e eventTotals) plus(other eventTotals) eventTotals {
	return eventTotals{count: e.count + other.count, intervals: e.intervals + other.intervals}
}

func (e eventTotals) scaled(factor float64) eventTotals {
	return eventTotals{count: e.count * factor, intervals: e.intervals * factor}
}

// NewSpeed returns a Speed without observations.
func NewSpeed() *Speed {
	return &Speed{
		clock: decay.NewClock(speedDecay), typical: make(map[string]float64), firstByte: make(map[string]float64),
		durations: make(map[string]float64),
		counts:    make(map[VM]eventTotals), unreported: make(map[VM]eventTotals),
		waits: waitTotals{clock: decay.NewClock(waitDecay)},
	}
}

// RecordEvents records that n events of a stream, one or more, have arrived together, with the given
// time elapsed since the event before them.
func (s *Speed) RecordEvents(now time.Time, vm VM, kind string, n int, elapsed time.Duration) {
	interval := elapsed.Seconds() / float64(n)
	typical, known := s.typical[kind]
	if !known {
		typical = max(interval, minTypicalInterval)
	}
	factor := min(interval/typical, maxIntervalFactor)
	s.typical[kind] = max(typical*(1+typicalIntervalSmoothing*float64(n)*(factor-1)), minTypicalInterval)
	s.add(now, vm, eventTotals{count: float64(n), intervals: float64(n) * factor})
}

// rebase rescales all weights so that an event at now has weight one, if the weights have grown
// too large.
func (s *Speed) rebase(now time.Time) {
	weight, due := s.clock.Rebase(now)
	if !due {
		return
	}
	for _, m := range []map[VM]eventTotals{s.counts, s.fleet} {
		for vm, e := range m {
			m[vm] = e.scaled(1 / weight)
		}
	}
}

func (s *Speed) add(now time.Time, vm VM, e eventTotals) {
	s.rebase(now)
	s.counts[vm] = s.counts[vm].plus(e.scaled(s.clock.Weight(now)))
	s.unreported[vm] = s.unreported[vm].plus(e)
}

// RecordFirstByte records the time d to the first byte of an answer, relative to the engine's
// slowdown. ahead is how many requests were ahead of it at the engine. If there were none, d updates
// the average time to the first byte of its kind, limited to four times that average. If there were
// some, the part of d above that average is recorded as time waited for them.
func (s *Speed) RecordFirstByte(now time.Time, vm VM, kind string, d time.Duration, ahead float64) {
	seconds := d.Seconds() / s.Slowdown(now, vm)
	if ahead > 0 {
		s.waits.add(now, max(0, seconds-s.firstByte[kind]), ahead)
		return
	}
	mean, known := s.firstByte[kind]
	if !known {
		mean = seconds
	}
	s.firstByte[kind] = mean + firstByteSmoothing*(min(seconds, 4*mean)-mean)
}

// RecordAnswer records the time from the first byte of an answer to its end.
func (s *Speed) RecordAnswer(now time.Time, vm VM, kind string, d time.Duration) {
	seconds := d.Seconds() / s.Slowdown(now, vm)
	if s.durations[kind] == 0 {
		s.durations[kind] = seconds
	}
	s.durations[kind] += answerSmoothing * (seconds - s.durations[kind])
	if s.meanDuration == 0 {
		s.meanDuration = seconds
	}
	s.meanDuration += answerSmoothing * (seconds - s.meanDuration)
}

// minDurationFactor is the lower limit of DurationFactor.
const minDurationFactor = 0.4

// DurationFactor returns the factor by which the allowed wait for a kind of request is multiplied: 1
// if its answers take no longer than average, otherwise the average duration divided by theirs, but
// at least minDurationFactor. Each long request that waits lets several short ones start in time.
func (s *Speed) DurationFactor(kind string) float64 {
	duration := s.durations[kind]
	if duration <= s.meanDuration {
		return 1
	}
	return max(s.meanDuration/duration, minDurationFactor)
}

// Slowdown returns the interval between the events of an engine as a multiple of the typical one.
func (s *Speed) Slowdown(now time.Time, vm VM) float64 {
	e := s.totals(vm)
	weight := s.clock.Weight(now)
	return (e.intervals/weight + priorEvents) / (e.count/weight + priorEvents)
}

// totals returns the fleet's totals or those counted by this router, whichever cover more events.
func (s *Speed) totals(vm VM) eventTotals {
	e := s.counts[vm]
	if fleet := s.fleet[vm]; fleet.count > e.count {
		return fleet
	}
	return e
}

// EstimateFirstByte returns the estimated time in seconds to the first byte of an answer from an
// engine with the given number of slots and of waiting requests ahead. The prior estimate of the
// wait is computed from the average duration of answers per slot. Waits observed recently correct
// it for other delays, such as reading prompts.
func (s *Speed) EstimateFirstByte(now time.Time, vm VM, kind string, ahead float64, slots int) float64 {
	seconds := s.firstByte[kind]
	if ahead > 0 && slots > 0 {
		seconds += ahead * s.waits.perRequest(now, s.meanDuration/float64(slots))
	}
	return seconds * s.Slowdown(now, vm)
}

// Keep drops all engines that are not in members.
func (s *Speed) Keep(members []VM) {
	kept := SetOf(members)
	for _, m := range []map[VM]eventTotals{s.counts, s.fleet, s.unreported} {
		maps.DeleteFunc(m, func(vm VM, _ eventTotals) bool { return !kept[vm] })
	}
}
