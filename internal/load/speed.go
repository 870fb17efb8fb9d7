package load

import (
	"maps"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/decay"
)

const (
	// speedFor is the time in which what was seen of an engine's speed loses its weight.
	// An engine makes some events of each stream a second, so that a second tells.
	speedFor = time.Second
	// speedPrior is how many events of the usual pace each engine is taken to have made: a
	// pause for another request's prompt says little.
	speedPrior = 4.0
	// speedMost bounds how much slower than usual a single event counts.
	speedMost = 16.0
	// leastPace is the shortest usual pause, in seconds.
	leastPace = 0.001
	// usualPace is the weight of one event in what is usual of its kind of request.
	usualPace = 0.005
	// servedShare is the weight of one answer in how long answers take: ten tell that batches
	// have filled, which a router of many sees in a second of a surge.
	servedShare = 0.1
	// waitsFor is the time in which a wait loses its weight in how long requests wait.
	waitsFor = 2 * time.Second
	// waitsPrior is how many requests are taken to have waited as long as answers and
	// places let expect.
	waitsPrior = 20.0
	// firstShare is the weight of one answer in how long its first byte takes.
	firstShare = 0.02
)

// Speed is how fast the engines of a pool work next to each other, and how long their
// answers take, as one router sees it in the pauses between the events of streams. These
// do not depend on what waits before an engine, nor on which prompts it keeps. It is not
// safe for concurrent use.
type Speed struct {
	clock  decay.Clock
	usual  map[string]float64 // seconds from event to event, by kind of request
	counts map[VM]events      // of this router and those that report to it
	told   map[VM]events      // of the whole fleet, by the router that this one relies on
	news   map[VM]events      // since they were reported last, each of weight one
	first  map[string]float64 // seconds until the first byte where nothing waits, by kind
	took   float64            // seconds from the first byte to the end of an answer
	answer map[string]float64 // the same by kind of request
	waited waits
}

// waits is for how many seconds requests waited in all, and behind how many others, by
// weight.
type waits struct {
	clock           decay.Clock
	seconds, behind float64
}

func (w *waits) add(now time.Time, seconds, behind float64) {
	if weight, due := w.clock.Rebase(now); due {
		w.seconds, w.behind = w.seconds/weight, w.behind/weight
	}
	weight := w.clock.Weight(now)
	w.seconds += seconds * weight
	w.behind += behind * weight
}

// each returns for how many seconds a request waits for each before it, if usual is what
// else speaks for.
func (w *waits) each(now time.Time, usual float64) float64 {
	weight := w.clock.Weight(now)
	return (w.seconds/weight + waitsPrior*usual) / (w.behind/weight + waitsPrior)
}

// events is events by weight, and their pauses in usual ones.
type events struct{ count, pauses float64 }

func (e events) plus(other events) events {
	return events{count: e.count + other.count, pauses: e.pauses + other.pauses}
}

func (e events) times(x float64) events {
	return events{count: e.count * x, pauses: e.pauses * x}
}

// NewSpeed returns a Speed that has seen nothing.
func NewSpeed() *Speed {
	return &Speed{
		clock: decay.NewClock(speedFor), usual: make(map[string]float64), first: make(map[string]float64),
		answer: make(map[string]float64),
		counts: make(map[VM]events), news: make(map[VM]events),
		waited: waits{clock: decay.NewClock(waitsFor)},
	}
}

// RecordEvents takes in that n events of a stream came within a time after the one before.
func (s *Speed) RecordEvents(now time.Time, vm VM, kind string, n int, within time.Duration) {
	pause := within.Seconds() / float64(n)
	usual, known := s.usual[kind]
	if !known {
		usual = max(pause, leastPace)
	}
	x := min(pause/usual, speedMost)
	s.usual[kind] = max(usual*(1+usualPace*float64(n)*(x-1)), leastPace)
	s.add(now, vm, events{count: float64(n), pauses: float64(n) * x})
}

// rebase makes an event of now weigh one where weights have grown too far.
func (s *Speed) rebase(now time.Time) {
	weight, due := s.clock.Rebase(now)
	if !due {
		return
	}
	for _, m := range []map[VM]events{s.counts, s.told} {
		for vm, e := range m {
			m[vm] = e.times(1 / weight)
		}
	}
}

func (s *Speed) add(now time.Time, vm VM, e events) {
	s.rebase(now)
	s.counts[vm] = s.counts[vm].plus(e.times(s.clock.Weight(now)))
	s.news[vm] = s.news[vm].plus(e)
}

// RecordFirstByte takes in how long the first byte of an answer took behind so many requests.
func (s *Speed) RecordFirstByte(now time.Time, vm VM, kind string, d time.Duration, behind float64) {
	took := d.Seconds() / s.Slowdown(now, vm)
	if behind > 0 {
		s.waited.add(now, max(0, took-s.first[kind]), behind)
		return
	}
	former, known := s.first[kind]
	if !known {
		former = took
	}
	s.first[kind] = former + firstShare*(min(took, 4*former)-former)
}

// RecordAnswer takes in how long an answer took from its first byte to its end.
func (s *Speed) RecordAnswer(now time.Time, vm VM, kind string, d time.Duration) {
	took := d.Seconds() / s.Slowdown(now, vm)
	if s.answer[kind] == 0 {
		s.answer[kind] = took
	}
	s.answer[kind] += servedShare * (took - s.answer[kind])
	if s.took == 0 {
		s.took = took
	}
	s.took += servedShare * (took - s.took)
}

// leastLightness bounds by how much sooner long answers wait behind others.
const leastLightness = 0.4

// DurationFactor returns 1 for a kind of request of which the answers take less than others,
// and less the longer they take. Each long one that waits lets several short ones begin in
// time.
func (s *Speed) DurationFactor(kind string) float64 {
	answer := s.answer[kind]
	if answer <= s.took {
		return 1
	}
	return max(s.took/answer, leastLightness)
}

// Slowdown returns how many times longer than usual an engine takes for each event.
func (s *Speed) Slowdown(now time.Time, vm VM) float64 {
	e := s.known(vm)
	weight := s.clock.Weight(now)
	return (e.pauses/weight + speedPrior) / (e.count/weight + speedPrior)
}

// known returns what rests on more events: what was counted here, or what was told.
func (s *Speed) known(vm VM) events {
	e := s.counts[vm]
	if told := s.told[vm]; told.count > e.count {
		return told
	}
	return e
}

// EstimateFirstByte returns in how many seconds the first byte of an answer is to be expected from an
// engine that works on so many requests at a time, behind so many that wait. Where the
// answers of each place take as long as usual that is worked out from it; how long
// requests did wait lately tells what else there is, such as prompts to be read.
func (s *Speed) EstimateFirstByte(now time.Time, vm VM, kind string, behind float64, places int) float64 {
	until := s.first[kind]
	if behind > 0 && places > 0 {
		until += behind * s.waited.each(now, s.took/float64(places))
	}
	return until * s.Slowdown(now, vm)
}

// Keep forgets every engine that is not among members.
func (s *Speed) Keep(members []VM) {
	wanted := SetOf(members)
	for _, m := range []map[VM]events{s.counts, s.told, s.news} {
		maps.DeleteFunc(m, func(vm VM, _ events) bool { return !wanted[vm] })
	}
}
