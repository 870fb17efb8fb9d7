package model

import (
	"time"

	"github.com/pkg/errors"
)

// Config describes a simulation. The yaml tags give the field names in files; durations are
// written like 300ms or 4s.
type Config struct {
	Length  time.Duration `yaml:"length"`  // period during which callers arrive
	Routers int           `yaml:"routers"` // each caller picks one at random
	Pool    Pool          `yaml:"pool"`
	Callers Callers       `yaml:"callers"`
	Surges  []Surge       `yaml:"surges"`
	Faults  []Fault       `yaml:"faults"`
}

// Pool describes the upstreams. Exactly one of Engine and Plain is set.
type Pool struct {
	Upstreams      int     `yaml:"upstreams"`
	FailureDomains int     `yaml:"failure_domains"`
	LoadMultiple   float64 `yaml:"load_multiple"` // load bound as a multiple of the mean load; 0: none
	ReportsLoad    bool    `yaml:"tells_load"`    // with the first byte of each response
	Engine         *Engine `yaml:"engine"`
	Plain          *Plain  `yaml:"plain"`
}

// Engine describes a model engine, which generates tokens for a batch of requests.
type Engine struct {
	BatchSize       int           `yaml:"batch"`           // requests that run at a time; further ones wait
	MaxQueue        int           `yaml:"queue"`           // requests that may wait; further ones are rejected
	StepTime        time.Duration `yaml:"step"`            // time to generate one token for each request of the batch
	StepPerSlot     time.Duration `yaml:"step_per_slot"`   // added to StepTime for each request of the batch
	StepPerKToken   time.Duration `yaml:"step_per_ktoken"` // added to StepTime for each thousand prompt tokens of the batch
	FirstTokenDelay time.Duration `yaml:"first"`           // time to the first token, in addition to the prefill
	PrefillPerMS    float64       `yaml:"prefill_per_ms"`  // prompt tokens processed per millisecond, one prompt at a time
	CacheTokens     int           `yaml:"memory"`          // capacity of the prompt cache, in tokens
	TransferSetup   time.Duration `yaml:"move_setup"`      // fixed time of a prompt transfer from another engine
	TransferPerMS   float64       `yaml:"move_per_ms"`     // tokens transferred per millisecond
}

// Plain describes a plain service, which runs at most Slots requests at a time.
type Plain struct {
	Slots       int           `yaml:"slots"`
	MaxQueue    int           `yaml:"queue"`
	ServiceTime time.Duration `yaml:"work"` // mean of an exponential distribution
}

// Callers describes the callers and their requests.
type Callers struct {
	PerSecond    float64       `yaml:"per_second"`
	Sessions     int           `yaml:"sessions"`      // number of sessions that requests belong to; 0: requests have no session
	Skew         float64       `yaml:"skew"`          // preference for the first sessions: 0 uniform, 1 like a harmonic series
	PromptTokens int           `yaml:"prompt"`        // initial prompt of a session: mean of an exponential distribution
	PromptsGrow  bool          `yaml:"grows"`         // a session's prompt includes its former requests and responses
	NewTokens    int           `yaml:"new_tokens"`    // prompt tokens that each request adds to its session's prompt
	AnswerTokens int           `yaml:"answer_tokens"` // mean of an exponential distribution
	Objective    time.Duration `yaml:"objective"`     // for the time to the first byte
	Patience     time.Duration `yaml:"patience"`      // time after which a caller leaves
	MaxAttempts  int           `yaml:"attempts"`      // upstreams that a router may send one request to
	MaxTries     int           `yaml:"tries"`         // how often a caller sends a request that is rejected
	RetryRatio   float64       `yaml:"retry_ratio"`
	RetrySlack   float64       `yaml:"retry_slack"`
}

// Surge is a period with a higher arrival rate.
type Surge struct {
	At       time.Duration `yaml:"at"`
	Duration time.Duration `yaml:"for"`
	Factor   float64       `yaml:"times"` // arrival rate as a multiple of Callers.PerSecond
	// SingleSession reports whether all additional requests belong to one session.
	SingleSession bool `yaml:"session"`
}

// FaultKind is the kind of a fault of an upstream.
type FaultKind string

// Kinds of faults.
const (
	Slow   FaultKind = "slow"   // runs slower by SlowdownFactor
	Refuse FaultKind = "refuse" // rejects RequestShare of its requests
	Fail   FaultKind = "fail"   // fails RequestShare of its requests at once
	Hang   FaultKind = "hang"   // never responds to RequestShare of its requests
	Crash  FaultKind = "crash"  // loses its requests, rejects RequestShare of new ones, and comes back with an empty prompt cache
)

// Fault is a fault that a share of the upstreams has for a while.
type Fault struct {
	Kind           FaultKind     `yaml:"kind"`
	At             time.Duration `yaml:"at"`
	Duration       time.Duration `yaml:"for"`
	UpstreamShare  float64       `yaml:"share"` // of the upstreams, drawn at random with the seed of the run
	SlowdownFactor float64       `yaml:"times"` // for Slow
	RequestShare   float64       `yaml:"part"`  // of the requests; 0: all
	// Rest, for Refuse, is sent with each rejection: the time during which the router must send
	// the upstream nothing. Zero: none is sent.
	Rest time.Duration `yaml:"rest"`
}

// Validate returns an error that names the first invalid field, or nil.
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

// maxDomains is the number of letters: failure domains are named region/a to region/z.
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
