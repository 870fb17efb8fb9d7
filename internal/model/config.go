package model

import (
	"time"

	"github.com/pkg/errors"
)

// Config is what is played. Its field names in files are in the yaml tags; times are
// written like 300ms or 4s.
type Config struct {
	Length  time.Duration `yaml:"length"`  // for how long callers arrive
	Routers int           `yaml:"routers"` // among which callers are spread by chance
	Pool    Pool          `yaml:"pool"`
	Callers Callers       `yaml:"callers"`
	Surges  []Surge       `yaml:"surges"`
	Faults  []Fault       `yaml:"faults"`
}

// Pool is the upstreams. One of Engine and Plain is given.
type Pool struct {
	Upstreams      int     `yaml:"upstreams"`
	FailureDomains int     `yaml:"failure_domains"`
	LoadMultiple   float64 `yaml:"load_multiple"` // bound on load as a multiple of the mean; 0: none
	TellsLoad      bool    `yaml:"tells_load"`    // with the first byte of each answer
	Engine         *Engine `yaml:"engine"`
	Plain          *Plain  `yaml:"plain"`
}

// Engine is an upstream that generates tokens for a batch of requests.
type Engine struct {
	Batch         int           `yaml:"batch"`           // requests at a time; more wait
	Queue         int           `yaml:"queue"`           // how many may wait; more are refused
	Step          time.Duration `yaml:"step"`            // of one token for each of the batch
	StepPerSlot   time.Duration `yaml:"step_per_slot"`   // more for each request in the batch
	StepPerKToken time.Duration `yaml:"step_per_ktoken"` // more for each thousand tokens of their prompts
	First         time.Duration `yaml:"first"`           // before the first token, beside reading
	PrefillPerMS  float64       `yaml:"prefill_per_ms"`  // tokens read in a millisecond, one prompt at a time
	Memory        int           `yaml:"memory"`          // tokens of prompts that are kept
	MoveSetup     time.Duration `yaml:"move_setup"`      // of getting a prompt from another engine
	MovePerMS     float64       `yaml:"move_per_ms"`     // tokens got in a millisecond
}

// Plain is an upstream that works on a few requests at a time.
type Plain struct {
	Slots int           `yaml:"slots"`
	Queue int           `yaml:"queue"`
	Work  time.Duration `yaml:"work"` // of a request on average, exponential
}

// Callers is who asks.
type Callers struct {
	PerSecond    float64       `yaml:"per_second"`
	Sessions     int           `yaml:"sessions"`      // among which requests are spread; 0: requests without one
	Skew         float64       `yaml:"skew"`          // how much more often the first sessions ask: 0 evenly, 1 like a harmonic series
	Prompt       int           `yaml:"prompt"`        // tokens of a session on average, exponential
	Grows        bool          `yaml:"grows"`         // the next request of a session brings the answers of former ones
	NewTokens    int           `yaml:"new_tokens"`    // of a request beside those
	AnswerTokens int           `yaml:"answer_tokens"` // on average, exponential
	Objective    time.Duration `yaml:"objective"`     // for the first byte
	Patience     time.Duration `yaml:"patience"`
	Attempts     int           `yaml:"attempts"` // to how many upstreams a router may send a request
	Tries        int           `yaml:"tries"`    // of a caller that is turned away
	RetryRatio   float64       `yaml:"retry_ratio"`
	RetrySlack   float64       `yaml:"retry_slack"`
}

// Surge is a time with more callers.
type Surge struct {
	At    time.Duration `yaml:"at"`
	For   time.Duration `yaml:"for"`
	Times float64       `yaml:"times"`
	// Session has all of the additional callers ask for one session.
	Session bool `yaml:"session"`
}

// Kind is what is wrong with an upstream.
type Kind string

// Kinds of faults.
const (
	Slow   Kind = "slow"   // it works Times slower
	Refuse Kind = "refuse" // it turns Part of its requests away
	Fail   Kind = "fail"   // it answers Part of its requests with an error at once
	Hang   Kind = "hang"   // it never answers Part of its requests
	Crash  Kind = "crash"  // it loses what it has, and is back with an empty memory
)

// Fault befalls a share of the upstreams.
type Fault struct {
	Kind  Kind          `yaml:"kind"`
	At    time.Duration `yaml:"at"`
	For   time.Duration `yaml:"for"`
	Share float64       `yaml:"share"` // of the upstreams, chosen by the seed
	Times float64       `yaml:"times"` // for Slow
	Part  float64       `yaml:"part"`  // of the requests; 0: all
	// Rest is what Refuse tells a router with each refusal: for how long the upstream wants
	// nothing from it. Zero: it says nothing.
	Rest time.Duration `yaml:"rest"`
}

// Check returns what is wrong with the configuration.
func (c Config) Check() error {
	for _, f := range []struct {
		wrong bool
		what  string
	}{
		{c.Length <= 0, "length: write a time above 0"},
		{c.Routers < 1, "routers: write 1 at least"},
		{c.Pool.Upstreams < 1, "pool.upstreams: write 1 at least"},
		{c.Pool.FailureDomains < 1 || c.Pool.FailureDomains > mostDomains, "pool.failure_domains: write 1 to 26"},
		{(c.Pool.Engine == nil) == (c.Pool.Plain == nil), "pool: write one of engine and plain"},
		{c.Pool.Engine != nil && !c.Pool.Engine.valid(), "pool.engine: batch, step, prefill_per_ms, move_per_ms and memory must be above 0"},
		{c.Pool.Plain != nil && (c.Pool.Plain.Slots < 1 || c.Pool.Plain.Work <= 0), "pool.plain: slots and work must be above 0"},
		{c.Callers.PerSecond <= 0, "callers.per_second: write a number above 0"},
		{c.Callers.Patience <= 0 || c.Callers.Objective <= 0, "callers: patience and objective must be above 0"},
		{c.Callers.Attempts < 1 || c.Callers.Tries < 1, "callers: attempts and tries must be 1 at least"},
	} {
		if f.wrong {
			return errors.New(f.what)
		}
	}
	for i, s := range c.Surges {
		if s.For <= 0 || s.Times <= 1 {
			return errors.Errorf("surges[%d]: for must be above 0 and times above 1", i)
		}
	}
	for i, f := range c.Faults {
		if err := f.check(); err != nil {
			return errors.Wrapf(err, "faults[%d]", i)
		}
	}
	return nil
}

// mostDomains is how many failure domains have a letter as their name.
const mostDomains = 26

func (e Engine) valid() bool {
	return e.Batch > 0 && e.Step > 0 && e.PrefillPerMS > 0 && e.MovePerMS > 0 && e.Memory > 0
}

func (f Fault) check() error {
	switch f.Kind {
	case Slow:
		if f.Times <= 1 {
			return errors.New("times: write a number above 1")
		}
	case Refuse, Fail, Hang, Crash:
	default:
		return errors.Errorf("kind: %q is none of slow, refuse, fail, hang, crash", f.Kind)
	}
	if f.Rest < 0 || f.Rest > 0 && f.Kind != Refuse {
		return errors.New("rest: write a time of 0 or more, for refuse only")
	}
	if f.For <= 0 || f.Share <= 0 || f.Share > 1 || f.Part < 0 || f.Part > 1 {
		return errors.New("for must be above 0, share above 0 and at most 1, part 0 to 1")
	}
	return nil
}
