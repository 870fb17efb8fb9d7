package placement

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var start = time.Unix(1_000_000, 0)

func members(n int) []Member {
	out := make([]Member, n)
	for i := range out {
		id := fmt.Sprintf("vm-%d", i)
		out[i] = Member{VM: load.Hash(id), Seed: Seed(id), Weight: 1}
	}
	return out
}

// home returns the VM to which a session is offered first.
func home(ms []Member, session uint64) load.VM {
	var out [Candidates]int
	p := NewPool(ms, Locality{})
	p.Choose(start, load.NewTable(), Query{Session: session, Ticket: None}, &out)
	return ms[out[0]].VM
}

// A returning chat finds its cached prefix although an upstream came or went
// since. If a change of the list moved other sessions than those of the
// upstream that changed, every replacement would cost the whole pool its
// caches.
func TestOnlySessionsOfTheChangedUpstreamMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := members(rapid.IntRange(2, 40).Draw(t, "upstreams"))
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

// A caller waits for refusals while its request is offered to upstreams that
// are known to drain, though others serve; or it is offered to a VM that only
// its ticket still knows.
func TestCandidatesAreDistinctMembersThatServeFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := members(rapid.IntRange(1, depth).Draw(t, "upstreams"))
		table := load.NewTable()
		drains := make([]bool, len(ms))
		for i, m := range ms {
			drains[i] = rapid.Bool().Draw(t, "drains")
			r := load.Report{Load: rapid.IntRange(0, 5).Draw(t, "load")}
			if drains[i] {
				r.State = load.Draining
			}
			table.Observe(start, m.VM, r)
		}
		q := Query{
			Session: rapid.Uint64().Draw(t, "session"),
			Ticket:  rapid.IntRange(-1, 30).Draw(t, "ticket"),
			Random:  rapid.Uint64().Draw(t, "random"),
		}
		var out [Candidates]int
		n := NewPool(ms, Locality{}).Choose(start, table, q, &out)
		if n != min(len(ms), Candidates) {
			t.Fatalf("%d candidates of %d upstreams", n, len(ms))
		}
		seen := make(map[int]bool)
		drainSeen := false
		for _, i := range out[:n] {
			if seen[i] || drainSeen && !drains[i] {
				t.Fatalf("candidates %v, draining %v", out[:n], drains)
			}
			seen[i] = true
			drainSeen = drainSeen || drains[i]
		}
	})
}
