package balance

import (
	stderrors "errors"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/policy"
)

// SharedState is what routers tell each other of a pool's upstreams, by their short names.
type SharedState struct {
	Loads    []byte
	Outcomes []byte // how requests went
	Speeds   []byte // how fast engines work
}

// Empty reports whether s says nothing.
func (s SharedState) Empty() bool { return s.Loads == nil && s.Outcomes == nil && s.Speeds == nil }

// Allowed returns what of s a policy lets routers tell each other.
func (s SharedState) Allowed(mechanisms policy.Policy) SharedState {
	if !mechanisms.SharedLoads {
		s.Loads = nil
	}
	if !mechanisms.SharedOutcomes {
		s.Outcomes = nil
	}
	if !mechanisms.Waits {
		s.Speeds = nil
	}
	return s
}

// PackKnown returns what a router knows of upstreams, for those that rely on it.
func (t *Tracker) PackKnown(now time.Time, members []load.VM) SharedState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return SharedState{Loads: t.loads.PackKnown(now, members), Outcomes: t.outliers.Summary(now, members), Speeds: t.speed.Summary(now, members)}
}

// PackObserved returns what a router has seen of upstreams since a time, for the one that it
// relies on.
func (t *Tracker) PackObserved(now, after time.Time, members []load.VM) SharedState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return SharedState{Loads: t.loads.PackObserved(now, after, members), Outcomes: t.outliers.Report(members), Speeds: t.speed.Report(members)}
}

// MergeKnown takes in what the router knows that this one relies on.
func (t *Tracker) MergeKnown(now time.Time, members []load.VM, s SharedState) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return stderrors.Join(t.loads.MergeKnown(now, members, s.Loads), t.outliers.MergeSummary(now, members, s.Outcomes), t.speed.MergeSummary(now, members, s.Speeds))
}

// MergeObserved takes in what a router has seen that relies on this one.
func (t *Tracker) MergeObserved(now time.Time, members []load.VM, s SharedState) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return stderrors.Join(t.loads.MergeObserved(now, members, s.Loads), t.outliers.MergeReport(now, members, s.Outcomes), t.speed.MergeReport(now, members, s.Speeds))
}
