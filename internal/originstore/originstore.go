// Package originstore keeps in the platform's store what package origins holds of where streams began, for routers that
// start when no other is left that knows it: which versions have served for how long, and, while several versions serve a
// pool, where each of its streams began.
//
// Package router calls it. It runs in goroutines of its own, beside requests, and nothing waits for it.
package originstore

import (
	"context"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/origins"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Config holds what an Archive works on.
type Config struct {
	Store    topo.Store
	Domain   string // failure domain of this router
	History  *origins.History
	Exchange *origins.Exchange
	// FirstStart is set if the whole system starts for the first time: there was nothing before.
	FirstStart bool
	// ReadsStore reports whether this router reads the store for others.
	ReadsStore func() bool
	// LongestAway returns for how long after its beginning any stream may be taken up; zero: not known yet.
	LongestAway func() time.Duration
}

// Archive keeps the knowledge of one router in the store.
type Archive struct {
	config  Config
	region  string // in the names of objects
	started time.Time
	wanted  chan struct{} // gets a value when the records in the store are wanted
}

// New returns an Archive.
func New(c Config) *Archive {
	a := &Archive{config: c, region: topo.Region(c.Domain), started: time.Now(), wanted: make(chan struct{}, 1)}
	if a.region == "" {
		a.region = "none"
	}
	return a
}

// Run keeps the store up to date until ctx ends.
func (a *Archive) Run(ctx context.Context) {
	go a.keepSeen(ctx)
	go a.writeStreams(ctx)
	go a.readWanted(ctx)
	a.observeVersions(ctx)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
