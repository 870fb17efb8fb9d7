package standin

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// ObjectFaults are the faults injected into an ObjectAPI. The zero value injects none.
type ObjectFaults struct {
	// Down makes all calls fail, and ends the watches in progress.
	Down bool `json:"down,omitempty"`
	// Unresponsive leaves all calls without a response.
	Unresponsive bool `json:"silent,omitempty"`
	// Delay is added before each call is served.
	Delay profile.Duration `json:"delay,omitempty"`
	// ReadsPerSecond and WritesPerSecond limit the rates of calls; zero means no limit.
	ReadsPerSecond  float64 `json:"reads_per_second,omitempty"`
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`

	// LoseResponses is how many of the next writes take effect without a response.
	LoseResponses int `json:"lose_answers,omitempty"`
	// LoseRequests is how many of the next writes are lost before they take effect.
	LoseRequests int `json:"lose_requests,omitempty"`
	// LateWrites is how many of the next writes get no response and take effect after LateBy.
	LateWrites int              `json:"late_writes,omitempty"`
	LateBy     profile.Duration `json:"late_by,omitempty"`
	// LoseKind restricts lost and late writes to objects of one kind; empty means all kinds.
	LoseKind topo.Kind `json:"lose_kind,omitempty"`

	// StaleEvery serves every n-th read from a replica that lags by StaleBy; zero serves none.
	StaleEvery int              `json:"stale_every,omitempty"`
	StaleBy    profile.Duration `json:"stale_by,omitempty"`

	// WatchGaps is how many of the next watches with changes omit the first change.
	WatchGaps int `json:"watch_gaps,omitempty"`
	// UnresponsiveWatches is how many of the next watches get no response, even after changes.
	UnresponsiveWatches int `json:"silent_watches,omitempty"`
}

// SetFaults replaces the faults.
func (a *ObjectAPI) SetFaults(f ObjectFaults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults = f
	for w := range a.waiters {
		w.wake()
	}
}

// Faults returns the faults, with the remaining counts.
func (a *ObjectAPI) Faults() ObjectFaults {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults
}

// consume decrements a count of faults and reports whether it was not zero.
func consume(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// admit counts a call, and delays it or returns an error according to the faults.
func (a *ObjectAPI) admit(ctx context.Context, write bool) error {
	a.mu.Lock()
	f := a.faults
	limit, rate := &a.reads, f.ReadsPerSecond
	if write {
		limit, rate = &a.writes, f.WritesPerSecond
		a.counts.Writes++
	} else {
		a.counts.Reads++
	}
	withinRate := limit.allow(time.Now(), rate)
	if f.Down || !withinRate {
		a.counts.Refused++
	}
	a.mu.Unlock()
	switch {
	case f.Unresponsive:
		<-ctx.Done()
		return noResponse(write)
	case f.Down:
		return errDown
	case !withinRate:
		return errRateLimited
	case f.Delay > 0:
		return wait(ctx, f.Delay.Std(), write)
	}
	return nil
}

// wait waits for d. It returns an error if ctx ends first.
func wait(ctx context.Context, d time.Duration, write bool) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return noResponse(write)
	}
}

// noResponse returns the error of a call whose context ended before a response. The
// outcome of a write is then unknown.
func noResponse(write bool) error {
	if write {
		return errors.Wrap(topo.ErrUnknown, "no answer")
	}
	return errors.Wrap(topo.ErrRefused, "no answer")
}

// readView returns the content that serves the current read: that of the primary or of
// the lagging replica. It needs a.mu held.
func (a *ObjectAPI) readView() *objects {
	f := a.faults
	if f.StaleEvery == 0 || a.counts.Reads%f.StaleEvery != 0 {
		return a.primary
	}
	until := time.Now().Add(-f.StaleBy.Std())
	logStart := a.primary.version - topo.Version(len(a.log))
	for _, c := range a.log[max(0, a.replica.version-logStart):] {
		if c.at.After(until) {
			break
		}
		a.replica.applyNewer(c.Object)
	}
	return a.replica
}

// bucket is a token bucket for calls. Its burst is one second's worth of calls.
type bucket struct {
	tokens     float64
	lastRefill time.Time
}

// allow reports whether a call at rate calls per second is within the limit, and counts
// it if so. A zero rate means no limit.
func (b *bucket) allow(now time.Time, rate float64) bool {
	if rate == 0 {
		return true
	}
	if b.lastRefill.IsZero() {
		b.tokens = rate
	}
	b.tokens = min(rate, b.tokens+rate*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
