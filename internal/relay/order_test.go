package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Routers join in any order, and some come back with another capacity. Guards against peers that are
// not in the order of their ranks, so that routers would rely on different ones.
func TestPeersStayInTheOrderOfTheirRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Router{Name: "self", Domain: "r/0"}, TimingFor(bound))
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			name := fmt.Sprint("front-", rapid.IntRange(0, 20).Draw(t, "router"))
			s.recordPeer(time.Unix(1, 0), Router{Name: name, Domain: "r/1", Capacity: rapid.IntRange(0, 3).Draw(t, "capacity")})
			if !slices.IsSortedFunc(s.sorted, byRank) || len(s.sorted) != len(s.peers) {
				t.Fatalf("%d of %d peers, sorted %v", len(s.sorted), len(s.peers), slices.IsSortedFunc(s.sorted, byRank))
			}
		}
	})
}

// BenchmarkRegistered measures what a starting router takes for the listing of the register.
func BenchmarkRegistered(b *testing.B) {
	for _, size := range []int{100, 358, 1000} {
		b.Run(fmt.Sprint("routers=", size), func(b *testing.B) {
			var nodes []Router
			for i := range size {
				nodes = append(nodes, Router{Name: fmt.Sprint("front-", i), Addr: "10.0.0.1:7000", Domain: fmt.Sprint("r/", i%5), Capacity: i % 5})
			}
			for b.Loop() {
				New(nodes[0], TimingFor(bound)).Step(Registered{Now: time.Unix(1, 0), Routers: nodes})
			}
		})
	}
}
