package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// inDomains returns members in failure domains of the given sizes.
func inDomains(sizes ...int) []Member {
	total := 0
	for _, n := range sizes {
		total += n
	}
	ms := newMembers(total)
	at := 0
	for d, n := range sizes {
		for range n {
			ms[at].Domain = fmt.Sprint("r/", d)
			at++
		}
	}
	return ms
}

// rankByDomain returns the session's ranking of ms by failure domain.
func rankByDomain(ms []Member, session uint64) []int {
	var best [maxRanked]int
	index := make([]int, len(ms))
	for i := range ms {
		index[i] = i
	}
	return slices.Clone(best[:newDomains(ms, index).top(session, best[:])])
}

// When a session's home is full, its next turns go to other upstreams, each of which fetches the
// prompt. Between two failure domains the transfer takes twice as long and delays all others on
// the same link. The first upstreams after the home must be in its failure domain.
func TestSessionsSpillOverWithinTheirFailureDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := inDomains(rapid.SliceOfN(rapid.IntRange(1, 12), 1, 12).Draw(t, "sizes")...)
		order := rankByDomain(ms, rapid.Uint64Min(1).Draw(t, "session"))
		if want := min(len(ms), maxRanked); len(order) != want {
			t.Fatalf("%d upstreams of %d are ranked, want %d", len(order), len(ms), want)
		}
		seen := make(map[int]bool)
		for _, i := range order {
			if seen[i] {
				t.Fatalf("upstream %d is ranked twice in %v", i, order)
			}
			seen[i] = true
		}
		home := ms[order[0]].Domain
		size := 0
		for _, m := range ms {
			if m.Domain == home {
				size++
			}
		}
		for _, i := range order[:min(domainRunLength, size)] {
			if ms[i].Domain != home {
				t.Fatalf("%v: upstream %d is in %s, the home in %s", order, i, ms[i].Domain, home)
			}
		}
	})
}

// An upstream that joins or leaves must move only sessions of its own failure domain, and only
// to or from itself, so that no prompt is transferred between two domains.
func TestJoiningUpstreamMovesSessionsOfItsFailureDomainOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := make([]int, rapid.IntRange(1, 4).Draw(t, "domains"))
		n := rapid.IntRange(4, 12).Draw(t, "size")
		for i := range sizes {
			sizes[i] = n
		}
		before := inDomains(sizes...)
		joined := before[rapid.IntRange(0, len(before)-1).Draw(t, "domain of")]
		joined.VM, joined.Seed = 0xabcdef, Seed("newcomer")
		after := append(slices.Clone(before), joined)
		for range 50 {
			session := rapid.Uint64Min(1).Draw(t, "session")
			oldHome, newHome := rankByDomain(before, session)[0], rankByDomain(after, session)[0]
			if oldHome != newHome && (newHome != len(before) || before[oldHome].Domain != joined.Domain) {
				t.Fatalf("the home moves from %d in %s to %d in %s", oldHome, before[oldHome].Domain, newHome, after[newHome].Domain)
			}
		}
	})
}

// With failure domains of very different sizes and an equal share of the sessions for each,
// upstreams of the small one would have four times as many sessions as the others.
func TestUnevenFailureDomainsShareSessionsBySize(t *testing.T) {
	ms := inDomains(12, 12, 3)
	counts := make(map[string]int)
	const sessions = 20000
	for s := range uint64(sessions) {
		counts[ms[rankByDomain(ms, mix(s+1))[0]].Domain]++
	}
	if small := float64(counts["r/2"]) / sessions; small < 0.09 || small > 0.13 {
		t.Errorf("3 of 27 upstreams have %.3f of the sessions: %v", small, counts)
	}
}
