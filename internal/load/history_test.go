package load

import (
	"testing"
	"time"
)

// Guards against upstreams that are filled over the load bound: the requests that a router has
// sent since a load was reported were taken for requests that the report contained, and the
// upstream seemed to hold no more than before.
func TestRequestsSentSinceAReportComeOnTop(t *testing.T) {
	members := vms(2)
	parent, router := NewPoolLoad(), NewPoolLoad()
	for range 2 {
		router.Begin(start, 1)
	}
	reported := start.Add(100 * time.Millisecond)
	parent.Observe(reported, 1, 10)
	sent := reported.Add(100 * time.Millisecond)
	for range 4 {
		router.Begin(sent, 1)
	}
	router.End(sent.Add(50*time.Millisecond), 1)
	arrived := sent.Add(200 * time.Millisecond)
	if err := router.MergeKnown(arrived, members, parent.PackKnown(arrived, members)); err != nil {
		t.Fatal(err)
	}
	if got := router.Load(arrived, 1); got != 13 {
		t.Errorf("load %v, want 13: 10 reported, 4 sent and 1 ended since", got)
	}
	if again := router.PackKnown(arrived, members); len(again) != sharedEntrySize || again[2] != 10 {
		t.Errorf("told others %v, want a load of 10", again)
	}
}

// Guards against a history that grows with the requests of a busy upstream.
func TestHistoryOfOwnRequestsIsBounded(t *testing.T) {
	loads, now := NewPoolLoad(), start
	for range 10_000 {
		now = now.Add(10 * time.Millisecond)
		loads.Begin(now, 1)
		loads.End(now, 1)
	}
	if n := len(loads.entries[1].recentOwn); n > 2*int(historyLength/(10*time.Millisecond))+2 {
		t.Errorf("%d entries", n)
	}
}
