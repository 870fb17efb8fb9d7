package balance

import (
	stderrors "errors"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/policy"
)

// SharedState is what routers send each other about a pool's upstreams. A router sends a Report
// to its parent and a Summary to its subscribers. Each part is encoded, or nil if it holds
// nothing, and identifies upstreams by load.VM.ShortName.
type SharedState struct {
	Loads    []byte
	Outcomes []byte // successes and failures of requests
	Speeds   []byte // stream slowdown of engines
}

// Empty reports whether s holds nothing.
func (s SharedState) Empty() bool { return s.Loads == nil && s.Outcomes == nil && s.Speeds == nil }

// Allowed returns the parts of s that a policy lets routers share.
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

// Summary returns the loads, failures and slowdowns of upstreams that this router knows, its own
// and those that other routers have reported, for its subscribers.
func (t *Tracker) Summary(now time.Time, members []load.VM) SharedState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return SharedState{Loads: t.loads.PackKnown(now, members), Outcomes: t.outliers.Summary(now, members), Speeds: t.speed.Summary(now, members)}
}

// Report returns what this router and its subscribers have observed of the upstreams, for the
// router's parent: the loads since the given time, and the outcomes and speeds since the last
// report.
func (t *Tracker) Report(now, after time.Time, members []load.VM) SharedState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return SharedState{Loads: t.loads.PackObserved(now, after, members), Outcomes: t.outliers.Report(members), Speeds: t.speed.Report(members)}
}

// MergeSummary merges what Summary returned at this router's parent. If a part is malformed, it
// merges the others and returns an error.
func (t *Tracker) MergeSummary(now time.Time, members []load.VM, s SharedState) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return stderrors.Join(t.loads.MergeKnown(now, members, s.Loads), t.outliers.MergeSummary(now, members, s.Outcomes), t.speed.MergeSummary(now, members, s.Speeds))
}

// MergeReport merges what Report returned at a subscriber of this router. It becomes part of this
// router's next Report. If a part is malformed, MergeReport merges the others and returns an
// error.
func (t *Tracker) MergeReport(now time.Time, members []load.VM, s SharedState) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return stderrors.Join(t.loads.MergeObserved(now, members, s.Loads), t.outliers.MergeReport(now, members, s.Outcomes), t.speed.MergeReport(now, members, s.Speeds))
}
