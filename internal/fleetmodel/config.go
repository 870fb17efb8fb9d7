// Package fleetmodel plays in virtual time how the routers of a region find each other, which of them
// read the platform's store, and what they send each other, for fleets of several sizes. It runs the
// shipped reducer of package relay; the network, the store and the pulls of objects are modelled.
//
// Package benchtool uses it. It starts no goroutines and uses no clock, so that a file and a seed
// always give the same result.
//
// The model leaves out the traffic of callers, processor time and losses of messages. It counts what
// control costs: calls and bytes of the store, messages and bytes between routers, and how long a
// start, a change and the loss of the reader take.
package fleetmodel

import (
	"bytes"
	"io"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Config describes the fleets to play.
type Config struct {
	Name  string `yaml:"name"`
	About string `yaml:"about"` // purpose of the file
	Seed  uint64 `yaml:"seed"`
	Sizes []int  `yaml:"sizes"` // numbers of routers

	FailureDomains int           `yaml:"failure_domains"`
	Bound          time.Duration `yaml:"bound"`        // within which a change must be in force
	HopDelay       time.Duration `yaml:"hop_delay"`    // of a message between two routers, one way
	StoreDelay     time.Duration `yaml:"store_delay"`  // of an answer of the store
	StartSpread    time.Duration `yaml:"start_spread"` // between the first and the last start of a start of all
	Steady         time.Duration `yaml:"steady"`       // length of the phase in which messages are counted

	UpstreamsPerRouter float64 `yaml:"upstreams_per_router"`
	RequestsPerSecond  float64 `yaml:"requests_per_second"` // of callers at one router
	PageEntries        int     `yaml:"page_entries"`        // of a page of the store's listings
	EntryBytes         int     `yaml:"entry_bytes"`         // of one upstream or router in a listing
	ConfigBytes        int     `yaml:"config_bytes"`        // of the whole configuration in the store
	PackedShare        float64 `yaml:"packed_share"`        // packed size of what a router pulls, as a share of its size in the store
	LinkMbps           float64 `yaml:"link_mbps"`           // of the routers that others rely on
	SummaryBytes       int     `yaml:"summary_bytes"`       // of a summary to a subscriber
	ObservedBytes      int     `yaml:"observed_bytes"`      // of what one request adds to a report to the parent
}

// Read reads and validates a Config. Unknown fields are errors that give the line.
func Read(r io.Reader) (Config, error) {
	var c Config
	b, err := io.ReadAll(r)
	if err != nil {
		return c, errors.Wrap(err, "read the fleets")
	}
	if err := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict()).Decode(&c); err != nil {
		return c, errors.Wrap(err, "fleets")
	}
	return c, c.validate()
}

func (c Config) validate() error {
	for _, field := range []struct {
		name     string
		positive bool
	}{
		{"name", c.Name != ""}, {"sizes", len(c.Sizes) > 0}, {"failure_domains", c.FailureDomains > 0},
		{"bound", c.Bound > 0}, {"hop_delay", c.HopDelay > 0}, {"store_delay", c.StoreDelay > 0},
		{"start_spread", c.StartSpread > 0}, {"steady", c.Steady > 0}, {"page_entries", c.PageEntries > 0},
		{"upstreams_per_router", c.UpstreamsPerRouter > 0}, {"link_mbps", c.LinkMbps > 0},
	} {
		if !field.positive {
			return errors.Errorf("%s: is missing or not positive", field.name)
		}
	}
	for _, n := range c.Sizes {
		if n <= 0 {
			return errors.Errorf("sizes: %d is not positive", n)
		}
	}
	return nil
}
