package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tell passes on what a router tells another of observed crashes in one message.
func tell(t interface{ Fatal(...any) }, now time.Time, from, to *Table, budget int) {
	restrictions := from.GossipRestrictions(now, budget/2)
	if err := to.MergeRestrictions(now, restrictions); err != nil {
		t.Fatal(err)
	}
	if err := to.MergeObserved(now, from.GossipObserved(now, budget-len(restrictions))); err != nil {
		t.Fatal(err)
	}
}

// restrictionsOf returns the restrictions of a table in ascending order of their fingerprints.
func restrictionsOf(t *Table) []Restriction {
	var out []Restriction
	for _, r := range t.restrictions {
		out = append(out, r.Restriction)
	}
	slices.SortFunc(out, func(x, y Restriction) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	return out
}

func drawRestriction(t *rapid.T) Restriction {
	return Restriction{
		Fingerprint: Fingerprint(rapid.Uint64Range(1, 3).Draw(t, "fingerprint")) | Fingerprint(rapid.Uint64Range(0, 1).Draw(t, "part")<<63),
		Since:       epoch.Add(time.Duration(rapid.Int64Range(0, 5).Draw(t, "since")) * time.Second),
		RefusedFor:  rapid.SampledFrom([]time.Duration{0, time.Second, firstTrialPause, SuspectTTL}).Draw(t, "refused for"),
		NeededCrash: epoch.Add(time.Duration(rapid.Int64Range(-5, 0).Draw(t, "needed")) * time.Second),
		LiftedAt:    epoch.Add(time.Duration(rapid.Int64Range(-1, 5).Draw(t, "lifted")) * time.Second),
	}
}

// Guards against routers that disagree for good on who is refused, since they have heard of it in another order.
func TestRestrictionsAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := rapid.SliceOfN(rapid.Custom(drawRestriction), 1, 8).Draw(t, "told")
		order := rapid.Permutation(told).Draw(t, "order")
		now := epoch.Add(10 * time.Second)
		x, y := New("", 0), New("", 0)
		for i := range told {
			x.MergeRestriction(now, told[i])
			y.MergeRestriction(now, order[i])
		}
		for range 10 {
			tell(t, now, x, y, 400)
			tell(t, now, y, x, 400)
			now = now.Add(time.Second)
		}
		decide := func(table *Table) (out []ObservedDecision) {
			for _, r := range told {
				out = append(out, table.DecideObserved(now, r.Fingerprint))
			}
			return out
		}
		if got, want := decide(y), decide(x); !slices.Equal(got, want) {
			t.Fatalf("%+v, in another order %+v", want, got)
		}
	})
}

// Guards against restrictions that change on their way, or do not keep to their size and rate.
func TestRestrictionsArriveAsSent(t *testing.T) {
	from, to := New("", 0), New("", 0)
	const n = maxRestrictions
	for i := range n {
		from.MergeRestriction(epoch, Restriction{Fingerprint: Fingerprint(i + 1), Since: epoch, RefusedFor: time.Duration(i) * time.Second, NeededCrash: epoch.Add(-time.Duration(i) * time.Millisecond), LiftedAt: epoch.Add(time.Duration(i%3-1) * time.Second), Stored: i%2 == 0})
	}
	bytes := 0
	const period = 30 * time.Second
	for now := epoch; now.Before(epoch.Add(period)); now = now.Add(90 * time.Millisecond) {
		m := from.GossipRestrictions(now, 100)
		if bytes += len(m); len(m) > 100 {
			t.Fatalf("%d bytes", len(m))
		}
		if err := to.MergeRestrictions(now, m); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := restrictionsOf(to), restrictionsOf(from); !slices.Equal(got, want) {
		t.Errorf("%d restrictions have arrived, want %d", len(got), len(want))
	}
	if most := gossipBurstBytes + int(period.Seconds())*gossipBytesPerSecond; bytes > most {
		t.Errorf("%d bytes, want at most %d", bytes, most)
	}
}

// Guards against messages of another release that restrict requests, or panic.
func TestStrangeRestrictionsAreRefused(t *testing.T) {
	table := New("", 0)
	for _, m := range []string{"[", "\x81\x01", "\x81\x85\x01\x02\x03", "\x81\x85\x01\x1b\xff\xff\xff\xff\xff\xff\xff\xff\x01\x00\x00"} {
		if err := table.MergeRestrictions(epoch, []byte(m)); err == nil {
			t.Errorf("%q is accepted", m)
		}
	}
	table.MergeRestriction(epoch, Restriction{Fingerprint: 1, Since: epoch.Add(time.Hour), RefusedFor: SuspectTTL})
	table.MergeRestriction(epoch, Restriction{Fingerprint: 1, Since: epoch.Add(-time.Hour), RefusedFor: SuspectTTL})
	if len(table.restrictions) > 0 {
		t.Errorf("%d restrictions", len(table.restrictions))
	}
}

// Guards against a request that is refused for good after it was found not to be the cause.
func TestRestrictionsEndWithTheirReason(t *testing.T) {
	lost := func() (maker, told *Table) {
		maker, told = New("", 0), New("", 0)
		for i := range 3 {
			maker.RecordObservedCrash(epoch, fmt.Sprint("upstream-", i), epoch, lostNow(epoch, 7))
		}
		tell(t, epoch, maker, told, 400)
		if got := told.DecideObserved(epoch, 7); got.Action != Refuse {
			t.Fatalf("%+v", got)
		}
		return maker, told
	}
	later := epoch.Add(2 * time.Second)
	for name, end := range map[string]func(maker, told *Table){
		"served":                         func(maker, _ *Table) { maker.RecordServed(later, 7) },
		"served where it was told":       func(maker, told *Table) { told.RecordServed(later, 7); tell(t, later, told, maker, 400) },
		"its upstream has not crashed":   func(maker, _ *Table) { maker.RetractCrash(later, "upstream-1", later) },
		"served by a clock that is late": func(maker, _ *Table) { maker.RecordServed(epoch.Add(-2*time.Second), 7) },
	} {
		maker, told := lost()
		end(maker, told)
		tell(t, later.Add(time.Second), maker, told, 400)
		for _, table := range []*Table{maker, told} {
			if got := table.DecideObserved(later.Add(time.Second), 7); got.Action == Refuse || got.Action == Try {
				t.Errorf("%s: %+v", name, got)
			}
		}
	}
}

// A router hears of the other crashes of a cause after those of a bystander. Guards against a bystander that stays
// refused.
func TestBystanderIsNotRefusedOnceItsCrashesAreExplained(t *testing.T) {
	table, all := New("", 0), New("", 0)
	for i := range 4 {
		upstream := fmt.Sprint("upstream-", i)
		if i < 3 {
			table.RecordObservedCrash(epoch, upstream, epoch, lostNow(epoch, 7))
		}
		all.RecordObservedCrash(epoch, upstream, epoch, lostNow(epoch, 8))
	}
	if got := table.DecideObserved(epoch, 7); got.Action != Refuse {
		t.Fatalf("%+v", got)
	}
	tell(t, epoch, all, table, 400)
	if got := table.DecideObserved(epoch, 7); got.Action != Try {
		t.Errorf("%+v", got)
	}
}

// Guards against a table that grows without bound.
func TestRestrictionsAreBounded(t *testing.T) {
	table := New("", 0)
	for i := range 2 * maxRestrictions {
		table.MergeRestriction(epoch, Restriction{Fingerprint: Fingerprint(i + 1), Since: epoch.Add(time.Duration(i) * time.Millisecond), RefusedFor: SuspectTTL})
	}
	if len(table.restrictions) > maxRestrictions {
		t.Errorf("%d restrictions", len(table.restrictions))
	}
	if got := table.DecideObserved(epoch, 2*maxRestrictions); got.Action != Refuse {
		t.Errorf("the latest one: %+v", got)
	}
	table.Expire(epoch.Add(time.Hour))
	if len(table.restrictions) > 0 {
		t.Errorf("%d restrictions after an hour", len(table.restrictions))
	}
}

// A stream crashes its upstreams, and with it a part of its prompt that no other request has. Guards against routers that
// are told to try it, each once, since the two explain each other.
func TestRequestIsRefusedDespitePartsOfItsOwn(t *testing.T) {
	table, told := New("", 0), New("", 0)
	const content, own = Fingerprint(7), Fingerprint(9) | partBit
	for i := range 3 {
		lost := lostWith(epoch, content, own)
		table.RecordObservedCrash(epoch, fmt.Sprint("upstream-", i), epoch, lost)
	}
	restrictions := table.GossipRestrictions(epoch, 400)
	if err := told.MergeRestrictions(epoch, restrictions); err != nil {
		t.Fatal(err)
	}
	if got := told.DecideObserved(epoch, content, own); got.Action != Refuse || got.Fingerprint != content {
		t.Errorf("%+v", got)
	}
}

// A router that has started since knows a restriction and none of its crashes, tries the request, and it is served. Guards
// against a request, or a part of prompts, that is tried for good.
func TestRestrictionEndsWhereOnlyItIsKnown(t *testing.T) {
	for _, p := range []Fingerprint{7, 7 | partBit} {
		started, other := New("", 0), New("", 0)
		r := Restriction{Fingerprint: p, Since: epoch}
		started.MergeRestriction(epoch, r)
		other.MergeRestriction(epoch, r)
		served := epoch.Add(2 * time.Second)
		if p.IsPart() {
			started.RecordPartsServed(served, []Fingerprint{p})
		} else {
			started.RecordServed(served, p)
		}
		tell(t, served, started, other, 400)
		for _, table := range []*Table{started, other} {
			if got := table.DecideObserved(served, p); got.Action != Allow {
				t.Errorf("%v: %+v", p, got)
			}
		}
	}
}

// Runners end for reasons of their own. One router has seen three end under requests with a part of prompts, and another
// one has served the part since the second of them. Guards against a part that is tried at routers which know that it was
// served, since one that does not has told them to.
func TestRestrictionDoesNotHoldWhereItsCrashesAreCleared(t *testing.T) {
	const part = Fingerprint(7) | partBit
	lostAt := func(table *Table, after time.Duration, upstream string) {
		at := epoch.Add(after)
		table.RecordObservedCrash(at, upstream, at, lostWith(at, 0, part))
	}
	crashes := []time.Duration{0, 150 * time.Millisecond, 300 * time.Millisecond}
	later := epoch.Add(6 * time.Second) // what the third router has served itself does not count
	for _, restrictionFirst := range []bool{true, false} {
		restricted, serving, third := New("", 0), New("", 0), New("", 0)
		for i, after := range crashes {
			lostAt(restricted, after, fmt.Sprint("upstream-", i))
		}
		for i, after := range crashes[:2] {
			lostAt(serving, after, fmt.Sprint("upstream-", i))
		}
		serving.RecordPartsServed(epoch.Add(200*time.Millisecond), []Fingerprint{part})
		order := []*Table{restricted, serving}
		if !restrictionFirst {
			slices.Reverse(order)
		}
		for _, from := range order {
			tell(t, later, from, third, 400)
		}
		if got := third.DecideObserved(later, part); got.Action != Allow {
			t.Errorf("restriction first %v: %+v", restrictionFirst, got)
		}
	}
}

// A request that crashes upstreams is tried alone and lost, and a router that has just started hears of a part of its prompt at
// that crash first, then that the content is restricted. Guards against a router that takes the part for the cause and tells
// that to all, so that others with the part are refused everywhere.
func TestTrialsOfOthersRestrictNoPart(t *testing.T) {
	const content, part = Fingerprint(7), Fingerprint(8 | 1<<63)
	tried := []RunningRequest{{Fingerprint: content, Parts: []Fingerprint{part}, Started: epoch, Tried: true}}
	trier, started := New("", 0), New("", 0)
	for i := range crashesToConvict - 1 {
		trier.RecordObservedCrash(epoch, fmt.Sprint("upstream-", i), epoch, []RunningRequest{{Fingerprint: content, Started: epoch}})
	}
	trier.RecordObservedCrash(epoch, "upstream-tried", epoch, tried)
	if got := trier.DecideObserved(epoch, content); got.Action != Refuse {
		t.Fatalf("the content: %+v", got)
	}
	if got := trier.DecideObserved(epoch, part); got.Action != Allow {
		t.Fatalf("the part, at the router that tried: %+v", got)
	}
	crash := observedCrash("upstream-tried")
	for _, e := range trier.byCrash[crash] {
		if e.Fingerprint == part {
			started.mergeEntry(epoch, Entry{Fingerprint: part, Crash: crash, At: e.At, Observed: true, Tried: true})
		}
	}
	if got := restrictionsOf(started); len(got) > 0 {
		t.Errorf("the router that has just started restricts %+v", got)
	}
	tell(t, epoch, trier, started, 400)
	if got := started.DecideObserved(epoch, part); got.Action != Allow {
		t.Errorf("the part, once the content is known: %+v", got)
	}
}
