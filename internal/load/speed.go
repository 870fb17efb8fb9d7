package load

import (
	"maps"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/decay"
)

const (
	// speedDecay is the time in which what was seen of an engine's speed loses its weight.
	// An engine makes some events of each stream a second, so that a second tells.
	speedDecay = time.Second
	// priorEvents is how many events of the usual pace each engine is taken to have made: a
	// pause for another request's prompt says little.
	priorEvents = 4.0
	// maxIntervalFactor bounds how much slower than usual a single event counts.
	maxIntervalFactor = 16.0
	// minTypicalInterval is the shortest usual pause, in seconds.
	minTypicalInterval = 0.001
	// typicalIntervalSmoothing is the weight of one event in what is usual of its kind of request.
	typicalIntervalSmoothing = 0.005
	// answerSmoothing is the weight of one answer in how long answers take: ten tell that batches
	// have filled, which a router of many sees in a second of a surge.
	answerSmoothing = 0.1
	// waitDecay is the time in which a wait loses its weight in how long requests wait.
	waitDecay = 2 * time.Second
	// priorWaits is how many requests are taken to have waited as long as answers and
	// places let expect.
	priorWaits = 20.0
	// firstByteSmoothing is the weight of one answer in how long its first byte takes.
	firstByteSmoothing = 0.02
)

// Speed is how fast the engines of a pool work next to each other, and how long their
// answers take, as one router sees it in the pauses between the events of streams. These
// do not depend on what waits before an engine, nor on which prompts it keeps. It is not
// safe for concurrent use.
type Speed struct {
	clock        decay.Clock
	typical      map[string]float64 // seconds from event to event, by kind of request
	counts       map[VM]eventTotals // of this router and those that report to it
	fleet        map[VM]eventTotals // of the whole fleet, by the router that this one relies on
	unreported   map[VM]eventTotals // since they were reported last, each of weight one
	firstByte    map[string]float64 // seconds until the first byte where nothing waits, by kind
	meanDuration float64            // seconds from the first byte to the end of an answer
	durations    map[string]float64 // the same by kind of request
	waits        waitTotals
}

// waitTotals is for how many seconds requests waited in all, and behind how many others, by
// weight.
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

// perRequest returns for how many seconds a request waits for perRequest before it, if usual is what
// else speaks for.
func (w *waitTotals) perRequest(now time.Time, prior float64) float64 {
	weight := w.clock.Weight(now)
	return (w.seconds/weight + priorWaits*prior) / (w.ahead/weight + priorWaits)
}

// eventTotals is eventTotals by weight, and their pauses in usual ones.
type eventTotals struct{ count, intervals float64 }

func (e eventTotals) plus(other eventTotals) eventTotals {
	return eventTotals{count: e.count + other.count, intervals: e.intervals + other.intervals}
}

func (e eventTotals) scaled(factor float64) eventTotals {
	return eventTotals{count: e.count * factor, intervals: e.intervals * factor}
}

// NewSpeed returns a Speed that has seen nothing.
func NewSpeed() *Speed {
	return &Speed{
		clock: decay.NewClock(speedDecay), typical: make(map[string]float64), firstByte: make(map[string]float64),
		durations: make(map[string]float64),
		counts:    make(map[VM]eventTotals), unreported: make(map[VM]eventTotals),
		waits: waitTotals{clock: decay.NewClock(waitDecay)},
	}
}

// RecordEvents takes in that n events of a stream came within a time after the one before.
func (s *Speed) RecordEvents(now time.Time, vm VM, kind string, n int, within time.Duration) {
	interval := within.Seconds() / float64(n)
	typical, known := s.typical[kind]
	if !known {
		typical = max(interval, minTypicalInterval)
	}
	factor := min(interval/typical, maxIntervalFactor)
	s.typical[kind] = max(typical*(1+typicalIntervalSmoothing*float64(n)*(factor-1)), minTypicalInterval)
	s.add(now, vm, eventTotals{count: float64(n), intervals: float64(n) * factor})
}

// rebase makes an event of now weigh one where weights have grown too far.
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

// RecordFirstByte takes in how long the first byte of an answer took behind so many requests.
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

// RecordAnswer takes in how long an answer took from its first byte to its end.
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

// minDurationFactor bounds by how much sooner long answers wait behind others.
const minDurationFactor = 0.4

// DurationFactor returns 1 for a kind of request of which the answers take less than others,
// and less the longer they take. Each long one that waits lets several short ones begin in
// time.
func (s *Speed) DurationFactor(kind string) float64 {
	duration := s.durations[kind]
	if duration <= s.meanDuration {
		return 1
	}
	return max(s.meanDuration/duration, minDurationFactor)
}

// Slowdown returns how many times longer than usual an engine takes for each event.
func (s *Speed) Slowdown(now time.Time, vm VM) float64 {
	e := s.totals(vm)
	weight := s.clock.Weight(now)
	return (e.intervals/weight + priorEvents) / (e.count/weight + priorEvents)
}

// totals returns what rests on more events: what was counted here, or what was told.
func (s *Speed) totals(vm VM) eventTotals {
	e := s.counts[vm]
	if fleet := s.fleet[vm]; fleet.count > e.count {
		return fleet
	}
	return e
}

// EstimateFirstByte returns in how many seconds the first byte of an answer is to be expected from an
// engine that works on so many requests at a time, behind so many that wait. Where the
// answers of each place take as long as usual that is worked out from it; how long
// requests did wait lately tells what else there is, such as prompts to be read.
func (s *Speed) EstimateFirstByte(now time.Time, vm VM, kind string, ahead float64, slots int) float64 {
	seconds := s.firstByte[kind]
	if ahead > 0 && slots > 0 {
		seconds += ahead * s.waits.perRequest(now, s.meanDuration/float64(slots))
	}
	return seconds * s.Slowdown(now, vm)
}

// Keep forgets every engine that is not among members.
func (s *Speed) Keep(members []VM) {
	kept := SetOf(members)
	for _, m := range []map[VM]eventTotals{s.counts, s.fleet, s.unreported} {
		maps.DeleteFunc(m, func(vm VM, _ eventTotals) bool { return !kept[vm] })
	}
}
