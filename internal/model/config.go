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
	ReportsLoad    bool    `yaml:"tells_load"`    // with the first byte of each answer
	Engine         *Engine `yaml:"engine"`
	Plain          *Plain  `yaml:"plain"`
}

// Engine is an upstream that generates tokens for a batch of requests.
type Engine struct {
	BatchSize       int           `yaml:"batch"`           // requests at a time; more wait
	MaxQueue        int           `yaml:"queue"`           // how many may wait; more are refused
	StepTime        time.Duration `yaml:"step"`            // of one token for each of the batch
	StepPerSlot     time.Duration `yaml:"step_per_slot"`   // more for each request in the batch
	StepPerKToken   time.Duration `yaml:"step_per_ktoken"` // more for each thousand tokens of their prompts
	FirstTokenDelay time.Duration `yaml:"first"`           // before the first token, beside reading
	PrefillPerMS    float64       `yaml:"prefill_per_ms"`  // tokens read in a millisecond, one prompt at a time
	CacheTokens     int           `yaml:"memory"`          // tokens of prompts that are kept
	TransferSetup   time.Duration `yaml:"move_setup"`      // of getting a prompt from another engine
	TransferPerMS   float64       `yaml:"move_per_ms"`     // tokens got in a millisecond
}

// Plain is an upstream that works on a few requests at a time.
type Plain struct {
	Slots       int           `yaml:"slots"`
	MaxQueue    int           `yaml:"queue"`
	ServiceTime time.Duration `yaml:"work"` // of a request on average, exponential
}

// Callers is who asks.
type Callers struct {
	PerSecond    float64       `yaml:"per_second"`
	Sessions     int           `yaml:"sessions"`      // among which requests are spread; 0: requests without one
	Skew         float64       `yaml:"skew"`          // how much more often the first sessions ask: 0 evenly, 1 like a harmonic series
	PromptTokens int           `yaml:"prompt"`        // tokens of a session on average, exponential
	PromptsGrow  bool          `yaml:"grows"`         // the next request of a session brings the answers of former ones
	NewTokens    int           `yaml:"new_tokens"`    // of a request beside those
	AnswerTokens int           `yaml:"answer_tokens"` // on average, exponential
	Objective    time.Duration `yaml:"objective"`     // for the first byte
	Patience     time.Duration `yaml:"patience"`
	MaxAttempts  int           `yaml:"attempts"` // to how many upstreams a router may send a request
	MaxTries     int           `yaml:"tries"`    // of a caller that is turned away
	RetryRatio   float64       `yaml:"retry_ratio"`
	RetrySlack   float64       `yaml:"retry_slack"`
}

// Surge is a time with more callers.
type Surge struct {
	At       time.Duration `yaml:"at"`
	Duration time.Duration `yaml:"for"`
	Factor   float64       `yaml:"times"`
	// SingleSession has all of the additional callers ask for one session.
	SingleSession bool `yaml:"session"`
}

// FaultKind is what is wrong with an upstream.
type FaultKind string

// Kinds of faults.
const (
	Slow   FaultKind = "slow"   // it works Times slower
	Refuse FaultKind = "refuse" // it turns Part of its requests away
	Fail   FaultKind = "fail"   // it answers Part of its requests with an error at once
	Hang   FaultKind = "hang"   // it never answers Part of its requests
	Crash  FaultKind = "crash"  // it loses what it has, and is back with an empty memory
)

// Fault befalls a share of the upstreams.
type Fault struct {
	Kind           FaultKind     `yaml:"kind"`
	At             time.Duration `yaml:"at"`
	Duration       time.Duration `yaml:"for"`
	UpstreamShare  float64       `yaml:"share"` // of the upstreams, chosen by the seed
	SlowdownFactor float64       `yaml:"times"` // for Slow
	RequestShare   float64       `yaml:"part"`  // of the requests; 0: all
	// Rest is what Refuse tells a router with each refusal: for how long the upstream wants
	// nothing from it. Zero: it says nothing.
	Rest time.Duration `yaml:"rest"`
}

// Validate returns what is wrong with the configuration.
func (c Config) Validate() error {
	for _, f := range []struct {
		invalid bool
		message string
	}{
		{c.Length <= 0, "length: write a time above 0"},
		{c.Routers < 1, "routers: write 1 at least"},
		{c.Pool.Upstreams < 1, "pool.upstreams: write 1 at least"},
		{c.Pool.FailureDomains < 1 || c.Pool.FailureDomains > maxDomains, "pool.failure_domains: write 1 to 26"},
		{(c.Pool.Engine == nil) == (c.Pool.Plain == nil), "pool: write one of engine and plain"},
		{c.Pool.Engine != nil && !c.Pool.Engine.valid(), "pool.engine: batch, step, prefill_per_ms, move_per_ms and memory must be above 0"},
		{c.Pool.Plain != nil && (c.Pool.Plain.Slots < 1 || c.Pool.Plain.ServiceTime <= 0), "pool.plain: slots and work must be above 0"},
		{c.Callers.PerSecond <= 0, "callers.per_second: write a number above 0"},
		{c.Callers.Patience <= 0 || c.Callers.Objective <= 0, "callers: patience and objective must be above 0"},
		{c.Callers.MaxAttempts < 1 || c.Callers.MaxTries < 1, "callers: attempts and tries must be 1 at least"},
	} {
		if f.invalid {
			return errors.New(f.message)
		}
	}
	for i, s := range c.Surges {
		if s.Duration <= 0 || s.Factor <= 1 {
			return errors.Errorf("surges[%d]: for must be above 0 and times above 1", i)
		}
	}
	for i, f := range c.Faults {
		if err := f.validate(); err != nil {
			return errors.Wrapf(err, "faults[%d]", i)
		}
	}
	return nil
}

// maxDomains is how many failure domains have a letter as their name.
const maxDomains = 26

func (e Engine) valid() bool {
	return e.BatchSize > 0 && e.StepTime > 0 && e.PrefillPerMS > 0 && e.TransferPerMS > 0 && e.CacheTokens > 0
}

func (f Fault) validate() error {
	switch f.Kind {
	case Slow:
		if f.SlowdownFactor <= 1 {
			return errors.New("times: write a number above 1")
		}
	case Refuse, Fail, Hang, Crash:
	default:
		return errors.Errorf("kind: %q is none of slow, refuse, fail, hang, crash", f.Kind)
	}
	if f.Rest < 0 || f.Rest > 0 && f.Kind != Refuse {
		return errors.New("rest: write a time of 0 or more, for refuse only")
	}
	if f.Duration <= 0 || f.UpstreamShare <= 0 || f.UpstreamShare > 1 || f.RequestShare < 0 || f.RequestShare > 1 {
		return errors.New("for must be above 0, share above 0 and at most 1, part 0 to 1")
	}
	return nil
}
