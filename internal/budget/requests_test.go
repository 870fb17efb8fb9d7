package budget

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Crowds of some organisations ask for as much as they get. Guards against crowds that take all connections, with which
// other callers are not read for as long as the crowds' upstreams take to respond.
func TestCrowdsLeaveConnectionsToOthers(t *testing.T) {
	const connections = 1378
	for _, crowds := range []int{1, 2, 5, 20} {
		r := NewRequests(connections)
		served := 0
		for progress := true; progress; {
			progress = false
			for i := range crowds {
				if r.Begin(fmt.Sprint("crowd-", i)) == nil {
					served++
					progress = true
				}
			}
		}
		free := connections - served
		if least := connections / (2*crowds + 1); free < least {
			t.Errorf("%d crowds leave %d connections, want %d", crowds, free, least)
		}
		for i := range 2 * free / 3 {
			if err := r.Begin("other"); err != nil {
				t.Fatalf("beside %d crowds request %d of another organisation is refused: %v", crowds, i, err)
			}
		}
	}
}

// Requests of several parties begin and end in any order. Guards against a count that drifts, with which a party is
// refused for ever or never.
func TestRequestsAreCountedUntilTheyEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.IntRange(1, 20).Draw(t, "connections")
		r := NewRequests(connections)
		var running []string
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				party := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "party")
				if r.Begin(party) == nil {
					running = append(running, party)
				}
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					t.Skip("nothing runs")
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				r.End(running[i])
				running = append(running[:i], running[i+1:]...)
			},
			"": func(t *rapid.T) {
				counts := map[string]int{}
				for _, party := range running {
					counts[party]++
				}
				for _, party := range []string{"", "a", "b"} {
					if got := r.byParty[party]; got != counts[party] {
						t.Fatalf("party %q has %d requests, want %d", party, got, counts[party])
					}
				}
				if len(running) > connections {
					t.Fatalf("%d requests on %d connections", len(running), connections)
				}
			},
		})
		for _, party := range running {
			r.End(party)
		}
		if err := r.Begin("a"); err != nil {
			t.Fatalf("a request is refused although nothing runs: %v", err)
		}
	})
}
