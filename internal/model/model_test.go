package model

import (
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/policy"
)

func plainConfig() Config {
	return Config{
		Length:  20 * time.Second,
		Routers: 4,
		Pool: Pool{
			Upstreams: 3, FailureDomains: 3,
			Plain: &Plain{Slots: 6, Queue: 24, Work: 60 * time.Millisecond},
		},
		Callers: Callers{
			PerSecond: 100, Objective: 300 * time.Millisecond, Patience: 4 * time.Second,
			Attempts: 2, Tries: 2, RetryRatio: 0.1, RetrySlack: 10,
		},
	}
}

func engineConfig() Config {
	return Config{
		Length:  20 * time.Second,
		Routers: 4,
		Pool: Pool{
			Upstreams: 12, FailureDomains: 3, LoadMultiple: 2, TellsLoad: true,
			Engine: &Engine{
				Batch: 32, Queue: 64, Step: 4 * time.Millisecond, StepPerSlot: 30 * time.Microsecond,
				First: 12 * time.Millisecond, PrefillPerMS: 60, Memory: 600_000,
				MoveSetup: 4 * time.Millisecond, MovePerMS: 1000,
			},
		},
		Callers: Callers{
			PerSecond: 100, Sessions: 200, Prompt: 8000, NewTokens: 200, AnswerTokens: 60,
			Objective: 500 * time.Millisecond, Patience: 15 * time.Second,
			Attempts: 2, Tries: 2, RetryRatio: 0.1, RetrySlack: 10,
		},
	}
}

// An experiment is compared with the one of last week: the same file and seed must give
// the same figures.
func TestRunsRepeat(t *testing.T) {
	for _, c := range []Config{plainConfig(), engineConfig()} {
		c.Length = 5 * time.Second
		a, b := Play(c, policy.All(), 3), Play(c, policy.All(), 3)
		if !reflect.DeepEqual(a.Seconds, b.Seconds) || a.Read != b.Read {
			t.Errorf("two runs differ: %+v and %+v", a.Sum(), b.Sum())
		}
		if reflect.DeepEqual(a.Seconds, Play(c, policy.All(), 4).Seconds) {
			t.Error("another seed gives the same run")
		}
	}
}

// Whatever befalls the pool, each caller is counted once: in time, late, refused or
// failed.
func TestEachCallerIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := plainConfig()
		if rapid.Bool().Draw(t, "engines") {
			c = engineConfig()
		}
		c.Length = 3 * time.Second
		c.Surges = []Surge{{At: time.Second, For: time.Second, Times: rapid.Float64Range(1.1, 6).Draw(t, "surge"), Session: rapid.Bool().Draw(t, "hot")}}
		c.Faults = []Fault{{
			Kind:  rapid.SampledFrom([]Kind{Slow, Refuse, Fail, Hang, Crash}).Draw(t, "kind"),
			At:    time.Second,
			For:   time.Second,
			Share: rapid.Float64Range(0.1, 1).Draw(t, "share"),
			Times: 5,
			Part:  rapid.Float64Range(0, 1).Draw(t, "part"),
		}}
		if err := c.Check(); err != nil {
			t.Fatal(err)
		}
		sum := Play(c, policy.All(), rapid.Uint64().Draw(t, "seed")).Sum()
		if got := sum.InTime + sum.Late + sum.Refused + sum.Failed; got != sum.Asked || sum.Asked == 0 {
			t.Fatalf("%d of %d callers are counted: %+v", got, sum.Asked, sum)
		}
	})
}

// One plain upstream with one slot is a queue that theory knows: at a load of .5, the
// mean time from arrival to answer is twice that of the work.
func TestPlainUpstreamIsAQueueAsInTheory(t *testing.T) {
	c := plainConfig()
	c.Length, c.Routers = 400*time.Second, 1
	c.Pool.Upstreams, c.Pool.FailureDomains = 1, 1
	c.Pool.Plain = &Plain{Slots: 1, Queue: 1000, Work: 10 * time.Millisecond}
	c.Callers.PerSecond = 50
	mean := time.Duration(Play(c, policy.All(), 1).First.Mean()) * time.Microsecond
	want := 20*time.Millisecond + 4*hop
	if ratio := mean.Seconds() / want.Seconds(); math.Abs(ratio-1) > 0.08 {
		t.Errorf("mean %v, want %v", mean, want)
	}
}

// A batch of engines works at a step for each token: a lone answer of so many tokens takes
// what the settings say.
func TestEngineTakesWhatItsSettingsSay(t *testing.T) {
	f := &fleet{config: engineConfig(), clock: clock{now: start}, result: newResult(engineConfig())}
	u := newUpstream(f, 0)
	var first, done time.Duration
	j := &job{call: &call{session: &session{id: 1}, prompt: 6000, fresh: 600, answer: 80}}
	j.first = func() { first = f.clock.now.Sub(start) }
	j.done = func(bool) { done = f.clock.now.Sub(start) }
	u.begin(j)
	f.clock.run(start.Add(time.Minute))
	wantFirst := 110*time.Millisecond + 12*time.Millisecond // 6600 tokens at 60 a millisecond
	if first != wantFirst {
		t.Errorf("first token after %v, want %v", first, wantFirst)
	}
	if want := wantFirst + 80*(4*time.Millisecond+30*time.Microsecond); done != want {
		t.Errorf("whole answer after %v, want %v", done, want)
	}
	if got := u.memory.held(1); got != 6680 {
		t.Errorf("%d tokens are kept, want 6680", got)
	}
}

// The memory of an engine holds so many tokens, and forgets who asked longest ago.
func TestMemoryForgetsWhatWasUsedLongestAgo(t *testing.T) {
	m := newMemory(100)
	m.keep(1, 40)
	m.keep(2, 40)
	m.keep(1, 50)
	m.keep(3, 40)
	if m.held(1) != 50 || m.held(2) != 0 || m.held(3) != 40 || m.tokens != 90 {
		t.Errorf("held %d, %d, %d of %d", m.held(1), m.held(2), m.held(3), m.tokens)
	}
}

// Without donors, what a session's prompt lacks is read. With them it is moved, where
// an engine crashes and its sessions go elsewhere.
func TestDonorsSpareReading(t *testing.T) {
	c := engineConfig()
	c.Surges = []Surge{{At: 8 * time.Second, For: 6 * time.Second, Times: 3}}
	without, err := policy.Without("donors")
	if err != nil {
		t.Fatal(err)
	}
	on, off := Play(c, policy.All(), 1), Play(c, without, 1)
	if off.Moved != 0 || on.Moved == 0 || on.Read >= off.Read {
		t.Errorf("moved %d, %d without donors; read %d, %d", on.Moved, off.Moved, on.Read, off.Read)
	}
}

// Two fifths of the engines turn half of their requests away while their load says that
// they have room. Where routers hear of refusals, callers are turned away less often.
func TestRefusalsMakeAnUpstreamComeLast(t *testing.T) {
	c := engineConfig()
	c.Callers.Attempts = 1
	c.Faults = []Fault{{Kind: Refuse, At: 5 * time.Second, For: 10 * time.Second, Share: 0.4, Part: 0.5}}
	without, err := policy.Without("outliers")
	if err != nil {
		t.Fatal(err)
	}
	on, off := Play(c, policy.All(), 1).Sum(), Play(c, without, 1).Sum()
	if on.TurnedAway*2 > off.TurnedAway {
		t.Errorf("turned away %d times, %d without outliers", on.TurnedAway, off.TurnedAway)
	}
}

// Sixty routers, each with a sliver of the traffic, tell each other loads under a tight
// bound. Going by a part of that bound, they took most upstreams for full and sent their
// sessions to the same few: callers of those waited for seconds.
func TestManyRoutersDoNotRunToTheSameUpstreams(t *testing.T) {
	c := engineConfig()
	c.Routers = 60
	c.Pool.Upstreams, c.Pool.LoadMultiple = 24, 1.25
	c.Pool.Engine.Step, c.Pool.Engine.StepPerSlot, c.Pool.Engine.PrefillPerMS = 30*time.Millisecond, 300*time.Microsecond, 20
	c.Callers.PerSecond, c.Callers.Sessions, c.Callers.Prompt, c.Callers.AnswerTokens = 62, 20000, 3000, 276
	c.Callers.Objective, c.Callers.Patience = 1900*time.Millisecond, 60*time.Second
	alone, err := policy.Without("shared-loads")
	if err != nil {
		t.Fatal(err)
	}
	told, untold := Play(c, policy.All(), 1).Sum(), Play(c, alone, 1).Sum()
	t.Logf("told %+v, untold %+v", told, untold)
	if told.Skew > 1.1*untold.Skew || told.Late*50 > told.Asked {
		t.Errorf("skew %.2f with loads told, %.2f without; %d of %d late", told.Skew, untold.Skew, told.Late, told.Asked)
	}
}

// Guards against requests of a router at an upstream that has asked it for rest: callers would
// be turned away once more for each.
func TestUpstreamsThatWantRestGetIt(t *testing.T) {
	turnedAway := func(rest time.Duration) (n int) {
		c := engineConfig()
		c.Faults = []Fault{{Kind: Refuse, At: 2 * time.Second, For: 4 * time.Second, Share: 0.5, Part: 0.5, Rest: rest}}
		for seed := range uint64(5) {
			n += Play(c, policy.All(), seed).Sum().TurnedAway
		}
		return n
	}
	plain, rested := turnedAway(0), turnedAway(3*time.Second)
	if rested >= plain {
		t.Errorf("%d turned away, %d where no rest is asked for", rested, plain)
	}
}
