package topo

import (
	"log/slog"
	"sync"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

// Era counts the restores of a store from older copies of itself. A restore loses what was
// written after the copy, and the store reuses the revisions of the lost writes. Zero: the
// store does not report an era.
type Era int64

var storeRestores = telemetry.NewCounter("platform_store_restores_total",
	"Times at which the platform's store has come back from an older copy.", telemetry.Alert)

// eraTracker holds the newest era that the store has reported to a client.
type eraTracker struct {
	mu     sync.Mutex
	newest Era
}

// observe records the era that a response reports, zero if it reports none. It returns the
// era of the response and the newest one. A response that reports no era belongs to the
// newest.
func (e *eraTracker) observe(reported Era) (era, newest Era) {
	e.mu.Lock()
	before := e.newest
	e.newest = max(before, reported)
	e.mu.Unlock()
	if reported == 0 {
		return before, before
	}
	if reported > before && before != 0 {
		storeRestores.Inc()
		slog.Warn("the platform's store has come back from an older copy", "era", reported, "before", before)
	}
	return reported, max(before, reported)
}

// isOver reports whether a newer era than the given one has been observed.
func (e *eraTracker) isOver(era Era) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return era < e.newest
}

// Era implements EraReporter.
func (h *HTTP) Era() Era {
	h.eras.mu.Lock()
	defer h.eras.mu.Unlock()
	return h.eras.newest
}

// versioned returns o, as decoded by a Dialect, with the era added to the revision in its
// Version.
func (era Era) versioned(o Object) Object {
	o.Version = VersionAt(era, o.Version)
	return o
}

// versionedPage returns p, as decoded by a Dialect, with the era added to the revisions in
// it. It modifies the objects of p.
func (era Era) versionedPage(p Page) Page {
	p.Version = VersionAt(era, p.Version)
	for i, o := range p.Objects {
		p.Objects[i] = era.versioned(o)
	}
	return p
}
