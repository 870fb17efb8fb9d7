package suspects

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
)

// Guards against routers that try a request at the same time, and against one whose turn never comes.
func TestRoutersTakeTurns(t *testing.T) {
	var names []string
	for i := range 5 {
		names = append(names, fmt.Sprint("router-", i))
	}
	for p := range quarantine.Fingerprint(50) {
		d := quarantine.ObservedDecision{Action: quarantine.Try, Fingerprint: p, Crashes: 1, Since: epoch}
		var begins []time.Duration
		for _, self := range names {
			others := slices.DeleteFunc(slices.Clone(names), func(o string) bool { return o == self })
			turns := turns{self: self, others: others}
			begins = append(begins, turns.begins(d).Sub(epoch))
		}
		slices.Sort(begins)
		for i, at := range begins {
			if want := time.Duration(i) * turnInterval; at != want {
				t.Fatalf("request %d: turn %d begins after %v, want %v", p, i, at, want)
			}
		}
	}
}

// Guards against turns that come after minutes in a large fleet.
func TestTurnsComeSoonInALargeFleet(t *testing.T) {
	var names []string
	for i := range 330 {
		names = append(names, fmt.Sprint("router-", i))
	}
	d := quarantine.ObservedDecision{Action: quarantine.Try, Fingerprint: 7, Crashes: 1, Since: epoch}
	for i, self := range names {
		turns := turns{self: self, others: slices.Delete(slices.Clone(names), i, i+1)}
		if after := turns.begins(d).Sub(epoch); after > maxTurn*turnInterval {
			t.Fatalf("the turn of router %d begins after %v", i, after)
		}
	}
}
