package placement

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var start = time.Unix(1_000_000, 0)

// newMembers returns n upstreams of weight 1.
func newMembers(n int) []Member {
	out := make([]Member, n)
	for i := range out {
		id := fmt.Sprintf("vm-%d", i)
		out[i] = Member{VM: load.Hash(id), Seed: Seed(id), Weight: 1}
	}
	return out
}

// home returns the VM that a session is offered to first.
func home(ms []Member, session uint64) load.VM {
	var out [MaxCandidates]int
	p := NewPool(ms, Locality{})
	p.Choose(start, load.NewTable(), Query{Session: session, Ticket: None}, &out)
	return ms[out[0]].VM
}

// A returning session must find its cached prefix although an upstream joined or left in the
// meantime. If a change of the list moved sessions other than those of the changed upstream,
// each replacement would cost the whole pool its caches.
func TestOnlySessionsOfTheChangedUpstreamMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := newMembers(rapid.IntRange(2, 40).Draw(t, "upstreams"))
		for i := range ms {
			ms[i].Weight = rapid.IntRange(1, 3).Draw(t, "weight")
		}
		session := rapid.Uint64Min(1).Draw(t, "session")
		gone := rapid.IntRange(0, len(ms)-1).Draw(t, "gone")
		before := home(ms, session)
		successor := NewPool(ms, Locality{}).Successor(session, gone)
		after := home(slices.Delete(slices.Clone(ms), gone, gone+1), session)
		if before != ms[gone].VM && after != before {
			t.Fatalf("session moved from %x to %x when %x left", before, after, ms[gone].VM)
		}
		if before == ms[gone].VM && after != ms[successor].VM {
			t.Fatalf("session went to %x, not to its successor %x", after, ms[successor].VM)
		}
	})
}

// Guards against offering a request to upstreams that are known to drain although others serve,
// which costs the caller a refusal each, and against offering it to a VM that is no longer
// listed because the ticket names it.
func TestCandidatesAreDistinctServingMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := newMembers(rapid.IntRange(1, maxRanked).Draw(t, "upstreams"))
		table := load.NewTable()
		draining := make([]bool, len(ms))
		serving := 0
		for i, m := range ms {
			ms[i].Domain = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")
			draining[i] = rapid.Bool().Draw(t, "drains")
			r := load.Report{Load: rapid.IntRange(0, 5).Draw(t, "load")}
			if draining[i] {
				r.State = load.Draining
			} else {
				serving++
			}
			table.Observe(start, m.VM, r)
		}
		q := Query{
			Session:      rapid.Uint64Max(3).Draw(t, "session"),
			Ticket:       rapid.IntRange(-1, 30).Draw(t, "ticket"),
			TicketAge:    rapid.SampledFrom([]time.Duration{0, time.Minute}).Draw(t, "age"),
			LoadMultiple: rapid.SampledFrom([]float64{0, 1.25}).Draw(t, "multiple"),
			Random:       rapid.Uint64().Draw(t, "random"),
		}
		var out [MaxCandidates]int
		n := NewPool(ms, Locality{Domain: "a"}).Choose(start, table, q, &out)
		offered := serving
		if serving == 0 {
			offered = len(ms)
		}
		if n != min(offered, MaxCandidates) {
			t.Fatalf("%d candidates of %d upstreams, %d of which serve", n, len(ms), serving)
		}
		seen := make(map[int]bool)
		for _, i := range out[:n] {
			if seen[i] || serving > 0 && draining[i] {
				t.Fatalf("candidates %v, draining %v", out[:n], draining)
			}
			seen[i] = true
		}
	})
}

// Regions can lose contact for minutes. A session must stay in its own region while that has a
// serving upstream, and go to another one when it has none.
func TestRegionIsLeftOnlyWhenNoneServes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := newMembers(8)
		table := load.NewTable()
		serves := make(map[string]bool)
		for i := range ms {
			ms[i].Domain = []string{"casablanca/1", "casablanca/2", "rabat/1"}[i%3]
			if rapid.Bool().Draw(t, "down") {
				table.Observe(start, ms[i].VM, load.Report{State: load.Down})
			} else {
				serves[topo.Region(ms[i].Domain)] = true
			}
		}
		want := "casablanca"
		if !serves[want] && serves["rabat"] {
			want = "rabat"
		}
		q := Query{Session: rapid.Uint64().Draw(t, "session"), Ticket: rapid.IntRange(0, 7).Draw(t, "ticket"), Random: 1}
		var out [MaxCandidates]int
		n := NewPool(ms, Locality{Domain: "casablanca/1"}).Choose(start, table, q, &out)
		for _, i := range out[:n] {
			if topo.Region(ms[i].Domain) != want {
				t.Fatalf("offered to %v, want upstreams in %s", out[:n], want)
			}
		}
	})
}

// A few sessions of one organisation bring hundreds of turns at a time. If each turn were
// offered to its home first, the homes would be full for all other sessions, and most turns
// would be refused several times. Turns whose ticket is seconds old go to upstreams below the
// mean.
func TestConcurrentTurnsLeaveHeadroomAboveTheMean(t *testing.T) {
	ms := newMembers(40)
	p := NewPool(ms, Locality{})
	session := uint64(7)
	home := p.Home(session)
	table := load.NewTable()
	for i, m := range ms {
		r := load.Report{Load: 48}
		if i == home {
			r.Load = 56 // above the mean, below the bound
		}
		table.Observe(start, m.VM, r)
	}
	var out [MaxCandidates]int
	q := Query{Session: session, Ticket: home, LoadMultiple: 1.25}
	p.Choose(start, table, q, &out)
	if out[0] == home {
		t.Fatal("a concurrent turn goes to its busy home")
	}
	q.TicketAge = time.Minute
	p.Choose(start, table, q, &out)
	if out[0] != home {
		t.Fatal("a returning session does not go to its home")
	}
}

// VMs of two sizes serve one pool. If a small one got as many sessions as a large one, it would
// always run at its load bound.
func TestSessionsAreSharedByWeight(t *testing.T) {
	ms := newMembers(30)
	for i := range ms {
		ms[i].Weight = 1 + i%3
	}
	p := NewPool(ms, Locality{})
	var won [4]int
	const sessions = 60_000
	for s := range uint64(sessions) {
		won[ms[p.Home(mix(s))].Weight]++
	}
	for weight := 1; weight <= 3; weight++ {
		share := float64(won[weight]) / sessions
		if want := float64(weight) / 6; share < want-0.02 || share > want+0.02 {
			t.Fatalf("weight %d got %.3f of the sessions, want %.3f", weight, share, want)
		}
	}
}
