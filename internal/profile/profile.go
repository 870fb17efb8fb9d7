// Package profile defines what operators configure: profiles, which state how
// a kind of traffic is treated; organisations, which may use them; pools, which
// state what their upstreams load; drain orders; and limits for callers.
//
// It is the only place that defines the types, their defaults and what is valid.
// The command line, the daemon and the tests read configuration through it. Files
// are YAML; the platform's store holds the same fields as JSON.
package profile

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

//go:generate go run ./genschema ../../docs/schema

// Profile states how one kind of traffic is treated.
type Profile struct {
	// Name of the profile, by which organisations and callers refer to it.
	Name string `json:"name"`
	// Pool names the upstreams that serve the traffic.
	Pool string `json:"pool"`
	// Split spreads the traffic over several pools, in place of Pool.
	Split []Share `json:"split,omitempty"`
	// Model is the model that callers name; for chats only.
	Model string `json:"model,omitempty"`
	// Service is the first path element after /services/; for plain services only.
	Service string `json:"service,omitempty"`
	// Routes choose this profile among those of a service, or of a host; none means all calls of the service.
	Routes []Route `json:"routes,omitempty"`

	// Priority orders waiting requests: higher runs earlier.
	Priority int `json:"priority,omitempty"`
	// FirstToken is how long the first byte of an answer may take; zero leaves it to Deadline.
	FirstToken Duration `json:"first_token,omitempty"`
	// Deadline is how long a whole answer may take.
	Deadline Duration `json:"deadline"`
	// LoadMultiple bounds an upstream's load to this multiple of the pool's mean.
	LoadMultiple float64 `json:"load_multiple,omitempty"`
	// Queue bounds the requests that wait at an upstream.
	Queue Queue `json:"queue,omitzero"`
	// RetryBudget is the share of attempts that may be retries or hedges.
	RetryBudget float64 `json:"retry_budget"`
	// Attempts bounds the upstreams that one request is sent to; zero leaves it to RetryBudget.
	Attempts int `json:"attempts,omitempty"`
	// Idempotent allows a request that may have run to be run again.
	Idempotent bool `json:"idempotent,omitempty"`
	// Stream tells that answers are streams of events.
	Stream bool `json:"stream,omitempty"`
	// Resumable allows another upstream to go on with a stream that broke off.
	Resumable bool `json:"resumable,omitempty"`
	// Anonymous allows requests without an API key.
	Anonymous bool `json:"anonymous,omitempty"`
	// Regions in which requests may run; none means all.
	Regions []string `json:"regions,omitempty"`
	// Objective is how soon the first byte of an answer should be there.
	Objective Duration `json:"objective,omitempty"`
	// MaxPause is how long the events of a stream should lie apart at most.
	MaxPause Duration `json:"max_pause,omitempty"`
	// HedgeAfter is when a second attempt of an idempotent call starts; zero is never.
	HedgeAfter Duration `json:"hedge_after,omitempty"`
	// KeepAnswer is how long a finished answer can be fetched.
	KeepAnswer Duration `json:"keep_answer,omitempty"`
	// MaxBody is the largest request body.
	MaxBody Size `json:"max_body,omitempty"`
}

// PoolNames returns the pools that may serve the traffic.
func (p *Profile) PoolNames() []string {
	if len(p.Split) == 0 {
		return []string{p.Pool}
	}
	names := make([]string, 0, len(p.Split))
	for _, s := range p.Split {
		if s.Weight > 0 {
			names = append(names, s.Pool)
		}
	}
	return names
}

// Share is a part of a profile's traffic.
type Share struct {
	// Pool names the upstreams that serve it.
	Pool string `json:"pool"`
	// Weight of the part among all.
	Weight int `json:"weight"`
}

// Route matches calls of a service, or of a host.
type Route struct {
	// Host that callers name; for profiles that are chosen by host and path.
	Host string `json:"host,omitempty"`
	// Methods are the HTTP methods that match; none means all.
	Methods []string `json:"methods,omitempty"`
	// Prefix is the start of the path after the service's name.
	Prefix string `json:"prefix,omitempty"`
}

// Queue bounds the requests that wait at one upstream.
type Queue struct {
	// PerUpstream bounds the waiting requests of the profile at one upstream.
	PerUpstream int `json:"per_upstream,omitempty"`
	// PerOrganisation bounds those of one organisation among them.
	PerOrganisation int `json:"per_organisation,omitempty"`
}

// Organisation is a customer of the operators.
type Organisation struct {
	// Name of the organisation.
	Name string `json:"name"`
	// UpstreamName is what upstreams call the organisation; empty: Name.
	UpstreamName string `json:"upstream_name,omitempty"`
	// Priority goes before that of the profile, if it is set.
	Priority *int `json:"priority,omitempty"`
	// Weight is the organisation's share where several wait.
	Weight int `json:"weight,omitempty"`
	// Concurrency bounds the organisation's requests in the fleet; zero is no bound.
	Concurrency int `json:"concurrency,omitempty"`
	// Regions in which its requests may run, among those of the profile; none means all.
	Regions []string `json:"regions,omitempty"`
	// Profiles that it may use. The first that fits a model is its default.
	Profiles []string `json:"profiles"`
	// Keys are the API keys of its callers.
	Keys []APIKey `json:"keys"`
}

// Allows reports whether the organisation may use a profile.
func (o *Organisation) Allows(name string) bool {
	return slices.Contains(o.Profiles, name) || slices.Contains(o.Profiles, AllProfiles)
}

// APIKey is a caller's key, stored as its hash.
type APIKey struct {
	// ID tells the keys of an organisation apart.
	ID string `json:"id"`
	// SHA256 is the hash of the key, as 64 hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// HashKey returns the hash under which an API key is stored: its SHA-256 in hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Pool states what the upstreams of a pool load. The pool of a plain service
// loads nothing: only its name is set.
type Pool struct {
	// Name of the pool, as in the platform's list of VMs.
	Name string `json:"name"`
	// Model that its upstreams load.
	Model string `json:"model,omitempty"`
	// Version of the model.
	Version string `json:"version,omitempty"`
	// Adapters that are loaded beside the model.
	Adapters []string `json:"adapters,omitempty"`
	// Role of the upstreams in serving the model.
	Role EngineRole `json:"role,omitempty"`
	// MaxUnavailable is the share of the upstreams that may be out at a time while they load.
	MaxUnavailable float64 `json:"max_unavailable,omitempty"`
	// Connections bounds the connections that one upstream takes from all routers.
	Connections int `json:"connections,omitempty"`
	// Slots is how many requests one upstream works on at a time.
	Slots int `json:"slots,omitempty"`
	// CacheTokens is how many tokens one upstream holds, of running requests and cached prompts.
	CacheTokens int `json:"cache_tokens,omitempty"`
	// Warmup is how long an upstream is cold after its start.
	Warmup Duration `json:"warmup,omitempty"`
	// WarmupRate is how many requests a second a cold upstream bears from all routers; zero is no bound.
	WarmupRate float64 `json:"warmup_rate,omitempty"`
}

// Limits bound what callers send, and how long they may take.
type Limits struct {
	// Name of the object: there is one, DefaultLimits.
	Name string `json:"name"`
	// HeaderBytes bounds the headers of a request.
	HeaderBytes Size `json:"header_bytes,omitempty"`
	// BodyBytes bounds the body of a request.
	BodyBytes Size `json:"body_bytes,omitempty"`
	// HeaderTime bounds the time in which the headers of a request come.
	HeaderTime Duration `json:"header_time,omitempty"`
	// IdleTime is how long a connection may stay unused between two requests.
	IdleTime Duration `json:"idle_time,omitempty"`
}

// EngineRole is the part of a request that an engine works on.
type EngineRole string

// Roles of engines.
const (
	// EngineMixed reads prompts and generates.
	EngineMixed EngineRole = "mixed"
	// EnginePrefill only reads prompts.
	EnginePrefill EngineRole = "prefill"
	// EngineDecode only generates.
	EngineDecode EngineRole = "decode"
)

// DomainDrain orders that the upstreams of a failure domain take no new work. It lasts
// until it is deleted.
type DomainDrain struct {
	// Name of the failure domain in the platform's list, "region/domain" or "domain".
	Name string `json:"name"`
	// Reason tells other operators why.
	Reason string `json:"reason,omitempty"`
}

// Drain orders that a VM takes no new work. It lasts until it is deleted.
type Drain struct {
	// Name is the VM's id in the platform's list.
	Name string `json:"name"`
	// Reason tells other operators why.
	Reason string `json:"reason,omitempty"`
}
