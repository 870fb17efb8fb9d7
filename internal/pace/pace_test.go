package pace

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var start = time.Unix(1_000_000, 0)

const places = 128

// engine is a synthetic engine. Its interval between events is base + perRequest x held seconds, with
// a normally distributed relative error of the given standard deviation.
type engine struct{ base, perRequest, noise float64 }

func (e engine) interval(r *rand.Rand, held float64) time.Duration {
	seconds := (e.base + e.perRequest*held) * max(0, 1+e.noise*r.NormFloat64())
	return time.Duration(seconds * float64(time.Second))
}

var typicalEngine = engine{base: 0.010, perRequest: 0.00025, noise: 0.1}

// record gives n events to m within the 10 s that end at the returned time, from engines that hold
// between low and high requests.
func (e engine) record(m *Model, now time.Time, n int, low, high float64) time.Time {
	r := rand.New(rand.NewPCG(1, 2))
	for range n {
		now = now.Add(10 * time.Second / time.Duration(n))
		held := low + (high-low)*r.Float64()
		m.RecordEvents(now, held, 1, e.interval(r, held))
	}
	return now
}

func recordAnswers(m *Model, now time.Time, kind string, n, events int) {
	for range n {
		m.RecordAnswer(now, kind, events, 300*time.Millisecond)
	}
}

// trainedModel returns a Model whose limit follows from a pause of 50 ms: (25 ms - 10 ms) / 0.25 ms,
// which is 60.
func trainedModel() (*Model, time.Time) {
	m := New()
	m.SetRequirement("chat", Requirement{MaxPause: 50 * time.Millisecond})
	now := typicalEngine.record(m, start, 5000, 15, 40)
	recordAnswers(m, now, "chat", minAnswers, 100)
	return m, now
}

func wantLimit(t *testing.T, m *Model, now time.Time, want, tolerance float64) {
	t.Helper()
	got, known := m.Limit(now, places)
	if !known || !(math.Abs(got-want) <= tolerance*want) {
		t.Errorf("limit is %.1f (known: %v), want %.1f within %.0f%%", got, known, want, 100*tolerance)
	}
}

func wantUnknown(t *testing.T, m *Model, now time.Time) {
	t.Helper()
	if got, known := m.Limit(now, places); known {
		t.Errorf("limit is %.1f, want it unknown", got)
	}
	if d, known := m.Duration(now, "chat"); known {
		t.Errorf("duration is %v, want it unknown", d)
	}
}

// Guards against a limit that is only right once engines have been overloaded. Engines have held at
// most 0.7 of the limit; the noise of 5,000 single events is up to 20%. The limit must be within 10%
// of the true one if the permitted interval is known, and a deadline must permit an interval that is
// within 10%, the width of a bucket of the histogram, of that of the true percentile.
func TestLimitIsFoundBelowIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(40, 120).Draw(t, "limit")
		required := rapid.Float64Range(0.015, 0.2).Draw(t, "required")
		base := required * rapid.Float64Range(0.05, 0.6).Draw(t, "base")
		e := engine{base: base, perRequest: (required - base) / limit, noise: rapid.Float64Range(0, 0.2).Draw(t, "noise")}
		low := rapid.Float64Range(0, 0.3).Draw(t, "low") * limit
		byPause, byDeadline := New(), New()
		now := e.record(byPause, start, 5000, low, 0.7*limit)
		e.record(byDeadline, start, 5000, low, 0.7*limit)

		byPause.SetRequirement("chat", Requirement{MaxPause: seconds(2 * required)})
		byPause.RecordAnswer(now, "chat", 1, 0)
		got, known := byPause.Limit(now, places)
		if !known || !(math.Abs(got-limit) <= 0.1*limit) {
			t.Fatalf("limit is %v (known: %v), want %v within 10%%", got, known, limit)
		}

		longest := rapid.IntRange(100, 3000).Draw(t, "longest")
		for i := range 1000 {
			byDeadline.RecordAnswer(now, "chat", 1+i*longest/1000, 0)
		}
		percentile := 0.95 * float64(longest)
		byDeadline.SetRequirement("chat", Requirement{Objective: time.Second, Deadline: time.Second + seconds(required*percentile)})
		byDeadline.refresh(now)
		got, known = byDeadline.cached.limit, byDeadline.cached.known
		least, most := 0.9*(required/1.1-base)/e.perRequest, 1.1*(required*1.1-base)/e.perRequest
		if !known || !(got >= least && got <= most) {
			t.Fatalf("limit by the deadline is %v (known: %v), want %v to %v", got, known, least, most)
		}
	})
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against a pool that is stopped, or whose engines are given more than they have places for, by
// a fit that is far off or requirements that no engine or every engine meets.
func TestLimitStaysWithinPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := New(), start
		m.SetRequirement("chat", Requirement{
			Objective: time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "objective")),
			Deadline:  time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "deadline")),
			MaxPause:  time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "pause")),
		})
		for range rapid.IntRange(1, 60).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e9).Draw(t, "gap")))
			m.RecordEvents(now, rapid.Float64().Draw(t, "held"), rapid.IntRange(-1, 1000).Draw(t, "n"),
				time.Duration(rapid.Int64().Draw(t, "elapsed")))
			m.RecordAnswer(now, "chat", rapid.Int().Draw(t, "events"), time.Duration(rapid.Int64().Draw(t, "first")))
		}
		n := rapid.IntRange(1, 10_000).Draw(t, "places")
		if got, known := m.Limit(now, n); known && !(got >= float64(n)/4 && got <= float64(n)) {
			t.Fatalf("limit is %v for %d places", got, n)
		}
		if d, known := m.Duration(now, "chat"); known && d < 0 {
			t.Fatalf("duration is %v", d)
		}
	})
	for _, c := range []struct {
		pause time.Duration
		want  float64
	}{{time.Millisecond, places / 4}, {time.Minute, places}} {
		m, now := trainedModel()
		m.SetRequirement("chat", Requirement{MaxPause: c.pause})
		wantLimit(t, m, now, c.want, 0)
	}
}

// Guards against a limit from chance: too few events, loads that hardly differ, or no answers. The
// pool would then be short, or not, without a reason.
func TestLimitIsUnknownWithoutEvidence(t *testing.T) {
	requirement := Requirement{Objective: time.Second, Deadline: 5 * time.Second, MaxPause: 50 * time.Millisecond}
	for _, c := range []struct {
		name            string
		events, answers int
		low, high       float64
		requirement     Requirement
		known           bool
	}{
		{"enough", 1000, 20, 15, 40, requirement, true},
		{"no events", 0, 20, 15, 40, requirement, false},
		{"few events", 150, 20, 15, 40, requirement, false},
		{"equal loads", 5000, 20, 40, 40, requirement, false},
		{"similar loads", 5000, 20, 40, 46, requirement, false},
		{"loads below one", 5000, 20, 0, 1, requirement, false},
		{"no answers", 1000, 0, 15, 40, requirement, false},
		{"few answers", 1000, 19, 15, 40, Requirement{Deadline: 5 * time.Second}, false},
		{"no requirement", 1000, 20, 15, 40, Requirement{}, false},
		{"deadline before the objective", 1000, 20, 15, 40, Requirement{Objective: 2, Deadline: 1}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New()
			m.SetRequirement("chat", c.requirement)
			now := start
			if c.events > 0 {
				now = typicalEngine.record(m, now, c.events, c.low, c.high)
			}
			recordAnswers(m, now, "chat", c.answers, 100)
			if !c.known {
				wantUnknown(t, m, now)
			} else if got, known := m.Limit(now, places); !known {
				t.Errorf("limit is unknown, want one (%v)", got)
			}
		})
	}
	m, now := trainedModel()
	wantLimit(t, m, now, 60, 0.1)
	wantUnknown(t, m, now.Add(bindingPeriod-1)) // the events are too old
	if _, known := m.Limit(now, 0); known {
		t.Error("limit without places is known")
	}
}

// Guards against a limit that is lost because it works: engines that are kept at their limit hold
// equal numbers of requests, and without a limit the pool would be overloaded until they differ
// again. The limit must also follow engines that become slower meanwhile.
func TestLimitStaysKnownAtEqualLoads(t *testing.T) {
	m, now := trainedModel()
	wantLimit(t, m, now, 60, 0.1)
	for range 12 {
		now = typicalEngine.record(m, now, 5000, 60, 60)
		recordAnswers(m, now, "chat", 1, 100)
		wantLimit(t, m, now, 60, 0.1)
	}
	slower := typicalEngine
	slower.base += 0.005
	for range 6 {
		now = slower.record(m, now, 5000, 50, 50)
		recordAnswers(m, now, "chat", 1, 100)
		m.Limit(now, places)
	}
	wantLimit(t, m, now, 40, 0.1)
}

// Guards against a pool that stays limited for a kind of request that nobody sends any more.
func TestKindsNotSeenDoNotBind(t *testing.T) {
	m, now := trainedModel()
	m.SetRequirement("plan", Requirement{Objective: 2 * time.Second, Deadline: 12 * time.Second})
	recordAnswers(m, now, "plan", minAnswers, 500) // 20 ms per event: a limit of 40
	for range 3 {
		wantLimit(t, m, now, 40, 0.2)
		now = typicalEngine.record(m, now, 5000, 15, 35)
		recordAnswers(m, now, "chat", 1, 100)
	}
	wantLimit(t, m, now.Add(-time.Second), 40, 0.2)
	wantLimit(t, m, now, 60, 0.1) // 30 s after the last plan

	// One answer is enough to bind again, unless all were so long ago that they are forgotten.
	recordAnswers(m, now, "plan", 1, 500)
	wantLimit(t, m, now.Add(limitLifetime), 40, 0.2)
	now = typicalEngine.record(m, now.Add(forgetAfter), 5000, 15, 35)
	recordAnswers(m, now, "chat", minAnswers, 100)
	recordAnswers(m, now, "plan", 1, 500)
	wantLimit(t, m, now, 60, 0.1)
}

// Guards against values that make sums invalid for good: a load that could not be computed, a clock
// that was set back, and numbers that overflow.
func TestInvalidValuesChangeNothing(t *testing.T) {
	m, now := trainedModel()
	limit, _ := m.Limit(now, places)
	duration, _ := m.Duration(now, "chat")
	for _, held := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64} {
		m.RecordEvents(now, held, 1, time.Second)
	}
	for _, n := range []int{0, -1, math.MinInt} {
		m.RecordEvents(now, 10, n, time.Second)
	}
	m.RecordEvents(now, 10, 1, -1)
	m.RecordEvents(now, 10, 1, math.MinInt64)
	m.RecordEvents(start.AddDate(-200, 0, 0), 10, 1, time.Second)
	m.RecordAnswer(now, "chat", -1, time.Second)
	m.RecordAnswer(now, "chat", 1, -1)
	m.RecordAnswer(start.AddDate(-200, 0, 0), "chat", 1, 0)
	m.RecordAnswer(start.AddDate(-200, 0, 0), "new", 1, 0)
	m.SetRequirement("chat", Requirement{MaxPause: -1})
	m.SetRequirement("chat", Requirement{Objective: -1, Deadline: 1})
	m.SetRequirement("chat", Requirement{Deadline: -1, MaxPause: 1})
	m.cached.valid = false
	if got, known := m.Limit(now, places); !known || got != limit {
		t.Errorf("limit is %v (known: %v), want %v as before", got, known, limit)
	}
	if got, known := m.Duration(now, "chat"); !known || got != duration {
		t.Errorf("duration is %v (known: %v), want %v as before", got, known, duration)
	}
}

// Guards against a time long before all others, whose weight is zero: if it came first, means would be
// invalid for good, and its answer would count towards the number that a percentile needs.
func TestTimeLongAgoIsIgnored(t *testing.T) {
	ancient := start.AddDate(-3000, 0, 0)
	m := New()
	m.SetRequirement("chat", Requirement{MaxPause: 50 * time.Millisecond})
	m.RecordEvents(ancient, 10, 1, time.Second)
	now := typicalEngine.record(m, start, 5000, 15, 40)
	recordAnswers(m, now, "chat", 1, 100)
	wantLimit(t, m, now, 60, 0.1)
	a := newAnswers()
	a.add(ancient, 10, 1)
	if a.count != 0 {
		t.Error("an answer without weight is counted")
	}
}

// Guards against one engine that was stopped for seconds and determines the limit for the whole pool.
// The weight of its 25 streams is 1/130 of that of all events, and each counts at most 16 times the
// mean interval; uncapped, the mean interval would be 14 times as long and the limit the least.
func TestStoppedEngineHasLittleEffect(t *testing.T) {
	m, now := trainedModel()
	for range 25 {
		m.RecordEvents(now, 30, 1, 30*time.Second)
	}
	wantLimit(t, m, now, 60, 0.3)
}

// Guards against a duration that does not match the limit, for which the work of a request would be
// wrong: 0.3 s to the first byte and 100 events at 25 ms each.
func TestDurationIsThatAtLimit(t *testing.T) {
	m, now := trainedModel()
	if _, known := m.Duration(now, "chat"); known {
		t.Error("duration is known before the places")
	}
	m.Limit(now, places)
	got, known := m.Duration(now, "chat")
	if want := 2.8; !known || math.Abs(got.Seconds()-want) > 0.01 {
		t.Errorf("duration is %v (known: %v), want %v s", got, known, want)
	}
	recordAnswers(m, now, "rare", minAnswers-1, 100)
	for _, kind := range []string{"rare", "other"} {
		if d, known := m.Duration(now, kind); known {
			t.Errorf("duration of kind %q is %v, want it unknown", kind, d)
		}
	}
	// With 40 places, engines cannot reach the limit: an event takes 20 ms.
	m.Limit(now, 40)
	got, _ = m.Duration(now, "chat")
	if want := 2.3; math.Abs(got.Seconds()-want) > 0.05 {
		t.Errorf("duration with 40 places is %v, want %v s", got, want)
	}
}

// Guards against sums that overflow or lose precision in hours of steady events, in which weights are
// rescaled a thousand times and the deviations of the load are small compared with its mean.
func TestFitIsStableForHours(t *testing.T) {
	m, now := trainedModel()
	r := rand.New(rand.NewPCG(3, 4))
	for range 50_000 {
		now = now.Add(time.Second)
		for range 50 {
			held := 1000 + 300*r.Float64()
			m.RecordEvents(now, held, 1, typicalEngine.interval(r, held-1000))
		}
	}
	recordAnswers(m, now, "chat", 1, 100)
	if got, known := m.Limit(now, 1500); !known || !(math.Abs(got-1060) <= 10) {
		t.Errorf("limit is %v (known: %v), want 1060 within 10", got, known)
	}
}

// Guards against memory that grows with the kinds that a faulty setting names.
func TestKindsAreBounded(t *testing.T) {
	m := New()
	for i := range 2 * maxKinds {
		m.RecordAnswer(start, fmt.Sprint(i), 10, 0)
	}
	if len(m.answers) != maxKinds {
		t.Errorf("%d kinds are kept, want %d", len(m.answers), maxKinds)
	}
	m.RecordAnswer(start.Add(forgetAfter+1), "later", 10, 0)
	if len(m.answers) != 1 {
		t.Errorf("%d kinds are kept, want the one that is not old", len(m.answers))
	}
}

// Guards against work on the request path that costs noticeable time or memory.
func TestNoAllocations(t *testing.T) {
	m, now := trainedModel()
	if n := testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Millisecond)
		m.RecordEvents(now, 30, 1, 17*time.Millisecond)
		m.RecordAnswer(now, "chat", 100, time.Second)
		m.Limit(now, places)
		m.Duration(now, "chat")
	}); n != 0 {
		t.Errorf("%v allocations, want none", n)
	}
}

func BenchmarkRecordEvents(b *testing.B) {
	m, now := trainedModel()
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(50 * time.Microsecond)
		m.RecordEvents(now, float64(i%50), 1, 17*time.Millisecond)
	}
}

func BenchmarkRecordAnswer(b *testing.B) {
	m, now := trainedModel()
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(10 * time.Millisecond)
		m.RecordAnswer(now, "chat", i%500, time.Second)
	}
}

// BenchmarkLimit measures reads at the rate of one router of a large fleet, and the computation that
// one call in limitLifetime includes, with the given number of kinds.
func BenchmarkLimit(b *testing.B) {
	for _, kinds := range []int{2, 20} {
		for _, gap := range []time.Duration{time.Millisecond, limitLifetime} {
			b.Run(fmt.Sprintf("kinds=%d/every=%v", kinds, gap), func(b *testing.B) {
				m, now := trainedModel()
				for i := range kinds {
					kind := fmt.Sprint(i)
					m.SetRequirement(kind, Requirement{Objective: time.Second, Deadline: 12 * time.Second})
					for events := range 1000 {
						m.RecordAnswer(now, kind, events, time.Second)
					}
				}
				b.ReportAllocs()
				for i := range b.N {
					m.Limit(now.Add(time.Duration(i)*gap%(10*time.Second)), places)
				}
			})
		}
	}
}
