package standin

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// ObjectFaults are what is wrong with an ObjectAPI. Its zero value is nothing.
type ObjectFaults struct {
	// Down refuses all calls, and ends the watches that wait.
	Down bool `json:"down,omitempty"`
	// Unresponsive leaves all calls without an answer.
	Unresponsive bool `json:"silent,omitempty"`
	// Delay passes before a call is served.
	Delay profile.Duration `json:"delay,omitempty"`
	// ReadsPerSecond and WritesPerSecond limit the calls; zero is no limit.
	ReadsPerSecond  float64 `json:"reads_per_second,omitempty"`
	WritesPerSecond float64 `json:"writes_per_second,omitempty"`

	// LoseResponses is how many of the next writes take effect without an answer.
	LoseResponses int `json:"lose_answers,omitempty"`
	// LoseRequests is how many get lost before they take effect.
	LoseRequests int `json:"lose_requests,omitempty"`
	// LateWrites is how many get no answer and take effect later, by LateBy.
	LateWrites int              `json:"late_writes,omitempty"`
	LateBy     profile.Duration `json:"late_by,omitempty"`
	// LoseKind restricts these to objects of a kind; empty is all.
	LoseKind topo.Kind `json:"lose_kind,omitempty"`

	// StaleEvery lets every n-th read be answered by a replica that lags by StaleBy.
	StaleEvery int              `json:"stale_every,omitempty"`
	StaleBy    profile.Duration `json:"stale_by,omitempty"`

	// WatchGaps is how many of the next watches with changes leave out the first.
	WatchGaps int `json:"watch_gaps,omitempty"`
	// UnresponsiveWatches is how many of the next watches get no answer, whatever changes.
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

// Faults returns the faults, with the counts that are left.
func (a *ObjectAPI) Faults() ObjectFaults {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.faults
}

// consume uses up one of a number of faults.
func consume(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// admit counts a call and lets it wait or fail as the faults want.
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

// noResponse is a call that the caller gave up on.
func noResponse(write bool) error {
	if write {
		return errors.Wrap(topo.ErrUnknown, "no answer")
	}
	return errors.Wrap(topo.ErrRefused, "no answer")
}

// readView returns what the next read sees. It needs a.mu held.
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

// bucket limits a rate of calls, with a burst of one second's calls.
type bucket struct {
	tokens     float64
	lastRefill time.Time
}

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
