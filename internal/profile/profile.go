// Package profile defines what operators configure: profiles, which state how
// a kind of traffic is treated, and organisations, which may use them.
package profile

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Profile states how one kind of traffic is treated.
type Profile struct {
	Name string `json:"name"`
	// Pool names the upstreams that serve the traffic.
	Pool string `json:"pool"`
	// Model is the model that callers name; for chats only.
	Model string `json:"model,omitempty"`
	// Service is the first path element after /services/; for plain services only.
	Service string `json:"service,omitempty"`
	// Routes choose this profile among those of a service; none means all calls.
	Routes []Route `json:"routes,omitempty"`

	// Priority orders waiting requests: higher runs earlier.
	Priority int `json:"priority,omitempty"`
	// FirstToken is how long the first byte of an answer may take.
	FirstToken Duration `json:"first_token,omitempty"`
	// Deadline is how long a whole answer may take.
	Deadline Duration `json:"deadline"`
	// LoadMultiple bounds an upstream's load to this multiple of the pool's mean.
	LoadMultiple float64 `json:"load_multiple,omitempty"`
	// Queue bounds the requests that wait at an upstream.
	Queue Queue `json:"queue,omitzero"`
	// RetryBudget is the share of attempts that may be retries or hedges.
	RetryBudget float64 `json:"retry_budget,omitempty"`
	// Idempotent allows a request that may have run to be run again.
	Idempotent bool `json:"idempotent,omitempty"`
	// HedgeAfter is when a second attempt of an idempotent call starts.
	HedgeAfter Duration `json:"hedge_after,omitempty"`
	// KeepAnswer is how long a finished answer can be fetched.
	KeepAnswer Duration `json:"keep_answer,omitempty"`
	// MaxBody is the largest request body, in bytes.
	MaxBody int64 `json:"max_body,omitempty"`
}

// Route matches calls of a service.
type Route struct {
	Methods []string `json:"methods,omitempty"`
	Prefix  string   `json:"prefix,omitempty"` // of the path after the service's name
}

// Queue bounds the requests that wait at one upstream.
type Queue struct {
	PerUpstream     int `json:"per_upstream,omitempty"`
	PerOrganisation int `json:"per_organisation,omitempty"`
}

// Organisation is a customer of the operators.
type Organisation struct {
	Name string `json:"name"`
	// Weight is the organisation's share where several wait.
	Weight int `json:"weight,omitempty"`
	// Concurrency bounds the organisation's requests in the fleet; zero is no bound.
	Concurrency int `json:"concurrency,omitempty"`
	// Profiles that it may use. The first that fits a model is its default.
	Profiles []string `json:"profiles"`
	// Keys are the API keys of its callers.
	Keys []APIKey `json:"keys"`
}

// APIKey is a caller's key, stored as its hash.
type APIKey struct {
	ID     string `json:"id"`
	SHA256 string `json:"sha256"`
}

// HashKey returns the hash under which an API key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Duration is a time.Duration that is written like "1.9s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}
