package balance

import (
	stderrors "errors"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/policy"
)

// SharedState is what routers send each other about a pool's upstreams, which it names by their
// short names.
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

// Summary returns all that this router knows of the upstreams, for the routers that depend on
// its reports.
func (t *Tracker) Summary(now time.Time, members []load.VM) SharedState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return SharedState{Loads: t.loads.PackKnown(now, members), Outcomes: t.outliers.Summary(now, members), Speeds: t.speed.Summary(now, members)}
}

// Report returns what this router has observed of the upstreams itself since a time, for
// the router whose reports it depends on.
func (t *Tracker) Report(now, after time.Time, members []load.VM) SharedState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return SharedState{Loads: t.loads.PackObserved(now, after, members), Outcomes: t.outliers.Report(members), Speeds: t.speed.Report(members)}
}

// MergeSummary merges what PackKnown returned at the router whose reports this one depends on.
func (t *Tracker) MergeSummary(now time.Time, members []load.VM, s SharedState) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return stderrors.Join(t.loads.MergeKnown(now, members, s.Loads), t.outliers.MergeSummary(now, members, s.Outcomes), t.speed.MergeSummary(now, members, s.Speeds))
}

// MergeReport merges what PackObserved returned at a router that depends on this one's
// reports.
func (t *Tracker) MergeReport(now time.Time, members []load.VM, s SharedState) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return stderrors.Join(t.loads.MergeObserved(now, members, s.Loads), t.outliers.MergeReport(now, members, s.Outcomes), t.speed.MergeReport(now, members, s.Speeds))
}
