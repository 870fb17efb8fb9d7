package topo

import (
	"log/slog"
	"sync"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

// Era counts how often a store has come back from an older copy of itself. What was
// written after the copy is gone then, and its versions are given out again. Zero: the
// store does not tell.
type Era int64

var storeRestores = telemetry.NewCounter("platform_store_restores_total",
	"Times at which the platform's store has come back from an older copy.", telemetry.Alert)

// eras is what a client has heard of the eras of its store.
type eras struct {
	mu     sync.Mutex
	newest Era
}

// heard takes in the era that an answer names.
func (e *eras) heard(era Era) {
	e.mu.Lock()
	before := e.newest
	e.newest = max(before, era)
	e.mu.Unlock()
	if era <= before {
		return
	}
	if before != 0 {
		storeRestores.Inc()
		slog.Warn("the platform's store has come back from an older copy", "era", era, "before", before)
	}
}
