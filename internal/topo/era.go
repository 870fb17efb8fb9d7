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

// eraTracker is what a client has heard of the eraTracker of its store.
type eraTracker struct {
	mu     sync.Mutex
	newest Era
}

// observe takes in the era that an answer names, and returns the one that it is of, and the
// newest. An answer that names none is of the newest.
func (e *eraTracker) observe(named Era) (era, newest Era) {
	e.mu.Lock()
	before := e.newest
	e.newest = max(before, named)
	e.mu.Unlock()
	if named == 0 {
		return before, before
	}
	if named > before && before != 0 {
		storeRestores.Inc()
		slog.Warn("the platform's store has come back from an older copy", "era", named, "before", before)
	}
	return named, max(before, named)
}

// isOver reports whether an era is known to be isOver.
func (e *eraTracker) isOver(era Era) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return era < e.newest
}

// Era implements EraTeller.
func (h *HTTP) Era() Era {
	h.eras.mu.Lock()
	defer h.eras.mu.Unlock()
	return h.eras.newest
}

// versioned returns an object with the version that it has in an era.
func (era Era) versioned(o Object) Object {
	o.Version = VersionAt(era, o.Version)
	return o
}

// versionedPage returns a page with the versions that its objects have in an era.
func (era Era) versionedPage(p Page) Page {
	p.Version = VersionAt(era, p.Version)
	for i, o := range p.Objects {
		p.Objects[i] = era.versioned(o)
	}
	return p
}
