package placement

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

// fixedLoads implements Loads with a constant load for each upstream.
type fixedLoads map[load.VM]float64

func (l fixedLoads) Load(vm load.VM) float64 { return l[vm] }

func (l fixedLoads) Cost(vm load.VM) float64 { return l[vm] }

func (l fixedLoads) UpperLoad(vm load.VM) float64 { return l[vm] }

func (l fixedLoads) Drift(load.VM) float64     { return 0 }
func (l fixedLoads) IsSuspected(load.VM) bool  { return false }
func (l fixedLoads) Unavailable(int) bool      { return false }
func (l fixedLoads) Estimate(load.VM) Estimate { return Estimate{} }

func (l fixedLoads) Mean() float64 {
	sum := 0.0
	for _, n := range l {
		sum += n
	}
	return sum / float64(max(len(l), 1))
}

// chosenIndices returns the indices of the chosen upstreams, in order.
func chosenIndices(p *Pool, l Loads, q Query) []int {
	var out [MaxCandidates]Choice
	n, _ := p.ChooseBounded(l, q, &out)
	var chosen []int
	for _, c := range out[:n] {
		chosen = append(chosen, c.Index)
	}
	return chosen
}

// An upstream that joins a pool with traffic takes only the sessions for which it ranks first.
// The others stay where their prompts are cached. The former home of a session that moves is its
// donor.
func TestSessionsStayWhenAnUpstreamJoins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := newMembers(rapid.IntRange(2, 30).Draw(t, "upstreams"))
		for i := range ms {
			ms[i].Joined = start
		}
		now := start.Add(time.Hour)
		ms[len(ms)-1].Joined = now
		q := Query{Session: rapid.Uint64Min(1).Draw(t, "session"), Now: now}
		var before, after [MaxCandidates]Choice
		NewPool(ms[:len(ms)-1], Locality{}).ChooseBounded(fixedLoads{}, q, &before)
		NewPool(ms, Locality{}).ChooseBounded(fixedLoads{}, q, &after)
		home := after[0]
		if home.Index == before[0].Index {
			return
		}
		if home.Index != len(ms)-1 || home.Donor != before[0].Index {
			t.Errorf("the session moved from %d to %d with donor %d", before[0].Index, home.Index, home.Donor)
		}
	})
}

// No upstream over the load bound is chosen before one under it, and leaving upstreams are not
// chosen at all. In a surge of one session, requests over the bound spill over to the next
// upstreams of its ranking, in the same order at each router.
func TestChooseBoundedPrefersUpstreamsUnderTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := newMembers(rapid.IntRange(1, 30).Draw(t, "upstreams"))
		l := make(fixedLoads)
		for i := range ms {
			ms[i].Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
			l[ms[i].VM] = float64(rapid.IntRange(0, 12).Draw(t, "load"))
		}
		q := Query{
			Session:      rapid.Uint64().Draw(t, "session"),
			LoadMultiple: rapid.SampledFrom([]float64{0, 1.2, 1.6}).Draw(t, "multiple"),
			Random:       rapid.Uint64().Draw(t, "random"),
		}
		var out [MaxCandidates]Choice
		n, basis := NewPool(ms, Locality{}).ChooseBounded(l, q, &out)
		seen := make(map[int]bool)
		over := false
		for _, c := range out[:n] {
			if ms[c.Index].Leaving || seen[c.Index] || c.Donor == c.Index {
				t.Fatalf("a chosen upstream is leaving, repeated or its own donor: %+v", out[:n])
			}
			seen[c.Index] = true
			if q.Session == 0 {
				continue
			}
			if over && c.Load < basis.Bound {
				t.Fatalf("%+v comes after an upstream over the bound of %.1f", c, basis.Bound)
			}
			over = c.Load >= basis.Bound
		}
		serving := 0
		for _, m := range ms {
			if !m.Leaving {
				serving++
			}
		}
		if want := min(serving, MaxCandidates); n != want && len(ms) <= maxRanked {
			t.Errorf("%d upstreams are chosen of %d that serve", n, serving)
		}
	})
}

// loadsWithSuspects is fixedLoads with suspected upstreams.
type loadsWithSuspects struct {
	fixedLoads
	suspected map[load.VM]bool
}

func (d loadsWithSuspects) IsSuspected(vm load.VM) bool { return d.suspected[vm] }

// A session's home is suspected because it loses responses, and the next upstream of its ranking
// is over the bound. The third one must serve the session, and the one over the bound must not be
// offered while others have spare capacity: otherwise requests would fail or overload an upstream.
// Requests without a session must avoid the suspected upstream, too.
func TestSuspectedAndOverloadedUpstreamsAreAvoided(t *testing.T) {
	ms := newMembers(8)
	q := Query{Session: 42, LoadMultiple: 1.6, Now: start.Add(time.Hour)}
	order := chosenIndices(NewPool(ms, Locality{}), fixedLoads{}, q)
	l := loadsWithSuspects{fixedLoads: fixedLoads{}, suspected: map[load.VM]bool{ms[order[0]].VM: true}}
	for _, m := range ms {
		l.fixedLoads[m.VM] = 4
	}
	l.fixedLoads[ms[order[1]].VM] = 40
	var out [MaxCandidates]Choice
	NewPool(ms, Locality{}).ChooseBounded(l, q, &out)
	if out[0].Index != order[2] {
		t.Errorf("served by %d, want %d", out[0].Index, order[2])
	}
	for _, c := range out {
		if c.Index == order[1] {
			t.Error("an upstream over the bound comes before others with spare capacity")
		}
	}
	counts := make([]int, len(ms))
	p := NewPool(ms, Locality{})
	for i := range uint64(800) {
		counts[chosenIndices(p, l, Query{Random: mix(i)})[0]]++
	}
	if counts[order[0]] > 800/len(ms)/4 {
		t.Errorf("requests without a session go to the suspected upstream: %d of %v", counts[order[0]], counts)
	}
}

// When a session's home has just begun to leave, the next upstream of the ranking serves the
// session and fetches the prompt from the home.
func TestLeavingHomeIsTheDonor(t *testing.T) {
	ms := newMembers(8)
	q := Query{Session: 42, Now: start.Add(time.Hour)}
	chosen := chosenIndices(NewPool(ms, Locality{}), fixedLoads{}, q)
	ms[chosen[0]].Leaving = true
	var out [MaxCandidates]Choice
	NewPool(ms, Locality{}).ChooseBounded(fixedLoads{}, q, &out)
	if out[0].Index != chosen[1] || out[0].Donor != chosen[0] {
		t.Errorf("served by %d with donor %d, want %d and %d", out[0].Index, out[0].Donor, chosen[1], chosen[0])
	}
}

// Two upstreams that joined one after the other rank before a session's home. The first of them
// to join has not served the session yet, so the donor must be the home.
func TestRecentlyJoinedUpstreamsAreNotDonors(t *testing.T) {
	ms := newMembers(8)
	now := start.Add(time.Hour)
	q := Query{Session: 42, Now: now}
	order := chosenIndices(NewPool(ms, Locality{}), fixedLoads{}, q)
	for i := range ms {
		ms[i].Joined = start
	}
	ms[order[0]].Joined, ms[order[1]].Joined = now, now.Add(-donorMinAge)
	var out [MaxCandidates]Choice
	NewPool(ms, Locality{}).ChooseBounded(fixedLoads{}, q, &out)
	if out[0].Donor != order[2] {
		t.Errorf("the donor is %d, want the home %d", out[0].Donor, order[2])
	}
	for i := range ms {
		ms[i].Joined = now // a router that has just started has seen no upstream for longer
	}
	NewPool(ms, Locality{}).ChooseBounded(fixedLoads{}, q, &out)
	if out[0].Donor != order[1] {
		t.Errorf("the donor is %d, want the next in the ranking %d", out[0].Donor, order[1])
	}
}

// Requests without a session, such as logins, go to the less loaded of two upstreams of the
// router's own failure domain, so that a slow upstream gets few of them.
func TestRequestsWithoutSessionAvoidLoadedUpstreams(t *testing.T) {
	ms := newMembers(6)
	l := make(fixedLoads)
	for i := range ms {
		ms[i].Domain = []string{"r/a", "r/b"}[i%2]
	}
	l[ms[0].VM] = 50
	p := NewPool(ms, Locality{Domain: "r/a"})
	counts := make([]int, len(ms))
	for i := range uint64(3000) {
		counts[chosenIndices(p, l, Query{Random: mix(i)})[0]]++
	}
	if counts[0] > counts[2]/2 || counts[0] > counts[4]/2 {
		t.Errorf("the loaded upstream gets %d of %v", counts[0], counts)
	}
	if counts[1]+counts[3]+counts[5] > 0 {
		t.Errorf("requests leave the failure domain: %v", counts)
	}
}

// With a load multiple of zero there is no load bound.
func TestZeroMultipleMeansNoBound(t *testing.T) {
	ms := newMembers(3)
	var out [MaxCandidates]Choice
	_, basis := NewPool(ms, Locality{}).ChooseBounded(fixedLoads{ms[0].VM: 99}, Query{Session: 1}, &out)
	if !math.IsInf(basis.Bound, 1) {
		t.Errorf("bound %v, want +Inf", basis.Bound)
	}
	if order := chosenIndices(NewPool(ms, Locality{}), fixedLoads{ms[0].VM: 99}, Query{Session: 1}); !slices.Contains(order, 0) {
		t.Errorf("order %v, want it to hold 0", order)
	}
}

// Most upstreams of a pool lose answers and are suspected. The few others are within the bound
// by their reported loads, but the reports are slightly old and each upstream takes over the
// sessions of all suspected ones, so that chance would put them over the configured load bound. A
// suspected home must keep its sessions where the others have little headroom.
func TestSuspectedHomeKeepsSessionsWhenOthersLackHeadroom(t *testing.T) {
	ms := newMembers(8)
	q := Query{Session: 42, LoadMultiple: 1.6, Now: start.Add(time.Hour)}
	order := chosenIndices(NewPool(ms, Locality{}), fixedLoads{}, q)
	l := loadsWithSuspects{fixedLoads: fixedLoads{}, suspected: make(map[load.VM]bool)}
	for i, m := range ms {
		l.fixedLoads[m.VM] = 10
		l.suspected[m.VM] = i != order[1] && i != order[2]
	}
	rest := chosenIndices(NewPool(ms, Locality{}), l, q)
	if rest[0] != order[1] {
		t.Errorf("served by %d, want %d, which has spare capacity", rest[0], order[1])
	}
	for _, at := range []int{1, 2} {
		l.fixedLoads[ms[order[at]].VM] = 16.5 // the bound is 19.6
	}
	if got := chosenIndices(NewPool(ms, Locality{}), l, q); got[0] != order[0] {
		t.Errorf("served by %d, want the home %d: the others are near the bound", got[0], order[0])
	}
	other := q
	for other.Session = 1; ; other.Session++ {
		if ranked := chosenIndices(NewPool(ms, Locality{}), fixedLoads{}, other); ranked[0] == order[1] {
			break
		}
	}
	if got := chosenIndices(NewPool(ms, Locality{}), l, other); got[0] != order[1] {
		t.Errorf("sessions of an upstream near the bound are served by %d, want their home %d", got[0], order[1])
	}
}

// The only upstream of a failure domain leaves. The requests of its routers must be spread over
// the upstreams of the other domains. Chosen in list order, the first of them would get all.
func TestRequestsOfALeavingDomainAreSpreadAcrossOtherDomains(t *testing.T) {
	ms := newMembers(5)
	for i := range ms {
		ms[i].Domain = "r/b"
	}
	ms[0].Domain, ms[0].Leaving = "r/a", true
	p := NewPool(ms, Locality{Domain: "r/a"})
	counts := make([]int, len(ms))
	const requests = 4000
	for i := range uint64(requests) {
		counts[chosenIndices(p, make(fixedLoads), Query{Random: mix(i)})[0]]++
	}
	for i, n := range counts[1:] {
		if n < requests/8 || n > requests/2 {
			t.Errorf("upstream %d of %v gets %d of %d", i+1, counts, n, requests)
		}
	}
}

// loadsWithUnavailable is fixedLoads with upstreams that may get no request.
type loadsWithUnavailable struct {
	fixedLoads
	unavailable map[int]bool
}

func (c loadsWithUnavailable) Unavailable(i int) bool { return c.unavailable[i] }

// Logs and explanations must state why a request did not go to its session's home upstream.
func TestBasisHoldsTheReasonWhyTheHomeIsPassedOver(t *testing.T) {
	p, l := NewPool(newMembers(6), Locality{}), make(fixedLoads)
	for _, m := range p.members {
		l[m.VM] = 4
	}
	q := Query{Session: 7, LoadMultiple: 2}
	home := p.Home(q.Session)
	vm := p.members[home].VM
	for _, c := range []struct {
		name  string
		loads Loads
		share float64
		want  PassOverReason
	}{
		{"nothing", l, 0, NotPassedOver},
		{"closed", loadsWithUnavailable{l, map[int]bool{home: true}}, 0, PassedOverUnavailable},
		{"suspected", loadsWithSuspects{fixedLoads: l, suspected: map[load.VM]bool{vm: true}}, 0, "suspected"},
		{"over the bound", withOverload(l, vm), 0, "over bound"},
	} {
		var out [MaxCandidates]Choice
		_, basis := p.ChooseBounded(c.loads, q, &out)
		if basis.Home != home || basis.PassedOver != c.want {
			t.Errorf("%s: home %d passed over for %q, want %d, %q", c.name, basis.Home, basis.PassedOver, home, c.want)
		}
	}
	var out [MaxCandidates]Choice
	if _, basis := p.ChooseBounded(l, Query{LoadMultiple: 2}, &out); basis.Home != None {
		t.Errorf("a request without a session has home %d", basis.Home)
	}
}

// withOverload returns a copy of l in which one upstream is over any bound.
func withOverload(l fixedLoads, vm load.VM) fixedLoads {
	out := maps.Clone(l)
	out[vm] = 100
	return out
}
