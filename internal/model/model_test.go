package model

import (
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/policy"
	"github.com/parsleyfront/parsleyfront/internal/virtualtime"
)

func plainConfig() Config {
	return Config{
		Length:  20 * time.Second,
		Routers: 4,
		Pool: Pool{
			Upstreams: 3, FailureDomains: 3,
			Plain: &Plain{Slots: 6, MaxQueue: 24, ServiceTime: 60 * time.Millisecond},
		},
		Callers: Callers{
			PerSecond: 100, Objective: 300 * time.Millisecond, Patience: 4 * time.Second,
			MaxAttempts: 2, MaxTries: 2, RetryRatio: 0.1, RetrySlack: 10,
		},
	}
}

func engineConfig() Config {
	return Config{
		Length:  20 * time.Second,
		Routers: 4,
		Pool: Pool{
			Upstreams: 12, FailureDomains: 3, LoadMultiple: 2, ReportsLoad: true,
			Engine: &Engine{
				BatchSize: 32, MaxQueue: 64, StepTime: 4 * time.Millisecond, StepPerSlot: 30 * time.Microsecond,
				FirstTokenDelay: 12 * time.Millisecond, PrefillPerMS: 60, CacheTokens: 600_000,
				TransferSetup: 4 * time.Millisecond, TransferPerMS: 1000,
			},
		},
		Callers: Callers{
			PerSecond: 100, Sessions: 200, PromptTokens: 8000, NewTokens: 200, AnswerTokens: 60,
			Objective: 500 * time.Millisecond, Patience: 15 * time.Second,
			MaxAttempts: 2, MaxTries: 2, RetryRatio: 0.1, RetrySlack: 10,
		},
	}
}

// Runs with the same configuration and seed must give the same results, so that they can be
// compared with runs of another time.
func TestRunsRepeat(t *testing.T) {
	for _, c := range []Config{plainConfig(), engineConfig()} {
		c.Length = 5 * time.Second
		a, b := Simulate(c, policy.All(), 3), Simulate(c, policy.All(), 3)
		if !reflect.DeepEqual(a.Seconds, b.Seconds) || a.PrefilledTokens != b.PrefilledTokens {
			t.Errorf("two runs differ: %+v and %+v", a.Sum(), b.Sum())
		}
		if reflect.DeepEqual(a.Seconds, Simulate(c, policy.All(), 4).Seconds) {
			t.Error("runs with different seeds are equal")
		}
	}
}

// Whatever faults the pool has, each caller must be counted exactly once: in time, late, refused
// or failed.
func TestEachCallerIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := plainConfig()
		if rapid.Bool().Draw(t, "engines") {
			c = engineConfig()
		}
		c.Length = 3 * time.Second
		c.Surges = []Surge{{At: time.Second, Duration: time.Second, Factor: rapid.Float64Range(1.1, 6).Draw(t, "surge"), SingleSession: rapid.Bool().Draw(t, "hot")}}
		c.Faults = []Fault{{
			Kind:           rapid.SampledFrom([]FaultKind{Slow, Refuse, Fail, Hang, Crash}).Draw(t, "kind"),
			At:             time.Second,
			Duration:       time.Second,
			UpstreamShare:  rapid.Float64Range(0.1, 1).Draw(t, "share"),
			SlowdownFactor: 5,
			RequestShare:   rapid.Float64Range(0, 1).Draw(t, "part"),
		}}
		if err := c.Validate(); err != nil {
			t.Fatal(err)
		}
		sum := Simulate(c, policy.All(), rapid.Uint64().Draw(t, "seed")).Sum()
		if got := sum.InTime + sum.Late + sum.Refused + sum.Failed; got != sum.Arrived || sum.Arrived == 0 {
			t.Fatalf("%d of %d callers are counted: %+v", got, sum.Arrived, sum)
		}
	})
}

// One plain upstream with one slot is an M/M/1 queue: at a utilisation of .5, the mean time from
// arrival to response is twice the service time.
func TestPlainUpstreamMatchesQueueingTheory(t *testing.T) {
	c := plainConfig()
	c.Length, c.Routers = 400*time.Second, 1
	c.Pool.Upstreams, c.Pool.FailureDomains = 1, 1
	c.Pool.Plain = &Plain{Slots: 1, MaxQueue: 1000, ServiceTime: 10 * time.Millisecond}
	c.Callers.PerSecond = 50
	mean := time.Duration(Simulate(c, policy.All(), 1).FirstByte.Mean()) * time.Microsecond
	want := 20*time.Millisecond + 4*hopLatency
	if ratio := mean.Seconds() / want.Seconds(); math.Abs(ratio-1) > 0.08 {
		t.Errorf("mean %v, want %v", mean, want)
	}
}

// A single request on an idle engine must take the prefill time, the delay of the first token, and
// one step for each token of the response.
func TestEngineTimesFollowSettings(t *testing.T) {
	f := &fleet{config: engineConfig(), clock: virtualtime.NewClock(startTime), result: newResult(engineConfig())}
	u := newUpstream(f, 0)
	var firstByte, done time.Duration
	j := &job{call: &call{session: &session{id: 1}, promptTokens: 6000, newTokens: 600, answerTokens: 80}}
	j.onFirstByte = func() { firstByte = f.clock.Now().Sub(startTime) }
	j.onDone = func(bool) { done = f.clock.Now().Sub(startTime) }
	u.begin(j)
	f.clock.Run(startTime.Add(time.Minute))
	wantFirst := 110*time.Millisecond + 12*time.Millisecond // 6600 tokens at 60 per millisecond
	if firstByte != wantFirst {
		t.Errorf("time to the first token %v, want %v", firstByte, wantFirst)
	}
	if want := wantFirst + 80*(4*time.Millisecond+30*time.Microsecond); done != want {
		t.Errorf("time to the complete response %v, want %v", done, want)
	}
	if got := u.cache.cachedTokens(1); got != 6680 {
		t.Errorf("%d tokens are cached, want 6680", got)
	}
}

// Beyond its capacity in tokens, the prompt cache must evict the least recently used session.
func TestPromptCacheEvictsLeastRecentlyUsed(t *testing.T) {
	m := newPromptCache(100)
	m.put(1, 40)
	m.put(2, 40)
	m.put(1, 50)
	m.put(3, 40)
	if m.cachedTokens(1) != 50 || m.cachedTokens(2) != 0 || m.cachedTokens(3) != 40 || m.tokens != 90 {
		t.Errorf("cached tokens %d, %d, %d, total %d", m.cachedTokens(1), m.cachedTokens(2), m.cachedTokens(3), m.tokens)
	}
}

// Without donors, an engine must prefill all of a prompt that it has not cached. With donors, a
// part is transferred from the engine that served the session before, here when a surge sends
// sessions to other engines.
func TestDonorsReducePrefill(t *testing.T) {
	c := engineConfig()
	c.Surges = []Surge{{At: 8 * time.Second, Duration: 6 * time.Second, Factor: 3}}
	without, err := policy.Without("donors")
	if err != nil {
		t.Fatal(err)
	}
	on, off := Simulate(c, policy.All(), 1), Simulate(c, without, 1)
	if off.TransferredTokens != 0 || on.TransferredTokens == 0 || on.PrefilledTokens >= off.PrefilledTokens {
		t.Errorf("transferred %d tokens, %d without donors; prefilled %d, %d", on.TransferredTokens, off.TransferredTokens, on.PrefilledTokens, off.PrefilledTokens)
	}
}

// Two fifths of the engines reject half of their requests while their load shows spare capacity.
// Routers that count rejections as failures must reject callers less often.
func TestRefusingUpstreamsAreAvoided(t *testing.T) {
	c := engineConfig()
	c.Callers.MaxAttempts = 1
	c.Faults = []Fault{{Kind: Refuse, At: 5 * time.Second, Duration: 10 * time.Second, UpstreamShare: 0.4, RequestShare: 0.5}}
	without, err := policy.Without("outliers")
	if err != nil {
		t.Fatal(err)
	}
	on, off := Simulate(c, policy.All(), 1).Sum(), Simulate(c, without, 1).Sum()
	if on.Rejections*2 > off.Rejections {
		t.Errorf("%d rejections, %d without outliers", on.Rejections, off.Rejections)
	}
}

// Sixty routers, each with a small share of the traffic, report loads to each other under a tight
// load bound. When they used only a part of that bound, they took most upstreams for full and
// sent their sessions to the same few, whose callers waited for seconds.
func TestManyRoutersDoNotRunToTheSameUpstreams(t *testing.T) {
	c := engineConfig()
	c.Routers = 60
	c.Pool.Upstreams, c.Pool.LoadMultiple = 24, 1.25
	c.Pool.Engine.StepTime, c.Pool.Engine.StepPerSlot, c.Pool.Engine.PrefillPerMS = 30*time.Millisecond, 300*time.Microsecond, 20
	c.Callers.PerSecond, c.Callers.Sessions, c.Callers.PromptTokens, c.Callers.AnswerTokens = 62, 20000, 3000, 276
	c.Callers.Objective, c.Callers.Patience = 1900*time.Millisecond, 60*time.Second
	withoutReports, err := policy.Without("shared-loads")
	if err != nil {
		t.Fatal(err)
	}
	shared, unshared := Simulate(c, policy.All(), 1).Sum(), Simulate(c, withoutReports, 1).Sum()
	t.Logf("with reported loads %+v, without %+v", shared, unshared)
	if shared.Skew > 1.1*unshared.Skew || shared.Late*50 > shared.Arrived {
		t.Errorf("skew %.2f with reported loads, %.2f without; %d of %d late", shared.Skew, unshared.Skew, shared.Late, shared.Arrived)
	}
}

// A router must send no requests to an upstream that has asked for rest. Each of them would cost
// its caller another rejection.
func TestRestingUpstreamsGetNoRequests(t *testing.T) {
	rejections := func(rest time.Duration) (n int) {
		c := engineConfig()
		c.Faults = []Fault{{Kind: Refuse, At: 2 * time.Second, Duration: 4 * time.Second, UpstreamShare: 0.5, RequestShare: 0.5, Rest: rest}}
		for seed := range uint64(5) {
			n += Simulate(c, policy.All(), seed).Sum().Rejections
		}
		return n
	}
	plain, rested := rejections(0), rejections(3*time.Second)
	if rested >= plain {
		t.Errorf("%d rejections, %d where no rest is asked for", rested, plain)
	}
}
