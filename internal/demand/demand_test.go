package demand

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

func near(got, want, tolerance float64) bool { return math.Abs(got-want) <= tolerance*math.Abs(want) }

// offerSteadily offers work at a rate per second for six time constants.
func offerSteadily(a *Account, c Class, perSecond float64) time.Time {
	const interval = 10 * time.Millisecond
	now := start
	for ; now.Before(start.Add(6 * time.Second)); now = now.Add(interval) {
		a.Offer(now, c, perSecond*interval.Seconds())
	}
	return now
}

// Guards against a rate that is not per second, or that does not fall after the demand ends.
func TestRateIsPerSecondAndDecays(t *testing.T) {
	a := NewAccount()
	c := Class{Org: 7, OrgPriority: 3, Rank: 2, Returning: true, Weight: 10}
	now := offerSteadily(a, c, 50)
	got := a.Totals(now)
	if len(got.Rates) != 1 || got.Rates[0].Class != c || got.Rates[0].Orgs != 1 || !near(got.Rates[0].Offered, 50, 0.02) {
		t.Fatalf("got %+v, want 50 per second of %+v", got.Rates, c)
	}
	if got := total(a.Totals(now.Add(2 * time.Second))); !near(got, 50*math.Exp(-2), 0.02) {
		t.Errorf("2 s after the end: %.2f", got)
	}
	if got := a.Totals(now.Add(20 * time.Second)); len(got.Rates) != 0 {
		t.Errorf("20 s after the end: %+v", got.Rates)
	}
}

// Guards against classes that other packages cannot index, and against a single NaN that makes all
// later rates NaN.
func TestOfferClampsAndIgnores(t *testing.T) {
	a := NewAccount()
	a.Offer(start, Class{Org: 1, OrgPriority: 200, Rank: 99, Weight: 60_000}, 1)
	a.Offer(start, Class{Org: 2}, 1)
	for _, work := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0} {
		a.Offer(start, Class{Org: 3}, work)
	}
	got := a.Totals(start).Rates
	if len(got) != 2 || got[0].OrgPriority != 9 || got[0].Rank != 9 || got[0].Weight != 1000 || got[1].Weight != 1 {
		t.Errorf("got %+v", got)
	}
}

// A router with subscribers has no summary of a root. Guards against its part of the pool being
// allocated to the demand of its subscribers as well, who use their own parts.
func TestIncompleteTotalsAreOfThisRouterAlone(t *testing.T) {
	sub, a := NewAccount(), NewAccount()
	now := offerSteadily(sub, Class{Org: 1}, 100)
	sub.SetScarce(now, true)
	if err := a.MergeReport(now, "sub", sub.Report(now)); err != nil {
		t.Fatal(err)
	}
	offerSteadily(a, Class{Org: 2}, 20)
	if got := a.Totals(now); got.Complete || !near(total(got), 20, 0.02) {
		t.Errorf("got %+v, want 20 per second", got)
	}
	a.SetRoot(true)
	if got := a.Totals(now); !got.Complete || !near(total(got), 120, 0.02) {
		t.Errorf("at the root: got %+v, want 120 per second", got)
	}
}

// Guards against memory that grows with the number of organisations that callers name, and
// against the eviction of those with the most work. Works are equal but for one.
func TestClassesAreBounded(t *testing.T) {
	a := NewAccount()
	a.Offer(start, Class{Org: 1}, 100)
	for i := range 3 * maxClasses {
		a.Offer(start.Add(time.Duration(i)*100*time.Microsecond), Class{Org: uint32(i + 2)}, 1)
		if a.classes > maxClasses || len(a.own) != a.classes || len(a.index) != a.classes {
			t.Fatalf("%d classes, %d organisations, %d indexed", a.classes, len(a.own), len(a.index))
		}
	}
	end := start.Add(3 * maxClasses * 100 * time.Microsecond)
	if a.classes < maxClasses/2 || totalOf(a.Totals(end), 1) == 0 {
		t.Errorf("%d classes are left, and %.1f of the largest", a.classes, totalOf(a.Totals(end), 1))
	}
}

// Guards against more messages than the budget allows, and against routers that never stop because
// each keeps the other reporting.
func TestMessagesAreSentOnlyWhileScarce(t *testing.T) {
	a := NewAccount()
	if a.Report(start) != nil || a.Summary(start) != nil {
		t.Error("a message was sent while the pool was not scarce")
	}
	a.SetScarce(start, true)
	if a.Report(start) == nil {
		t.Error("no report while the pool was scarce")
	}
	if a.Report(start.Add(749*time.Millisecond)) != nil {
		t.Error("a report was sent within 750 ms of the last")
	}
	if a.Report(start.Add(750*time.Millisecond)) == nil {
		t.Error("no report was sent 750 ms after the last")
	}
	if a.Report(start.Add(2*time.Second)) != nil {
		t.Error("a report was sent 2 s after the last SetScarce")
	}
	root := NewAccount()
	root.SetRoot(true)
	root.SetScarce(start, true)
	if root.Report(start) != nil || root.Summary(start) == nil {
		t.Error("the root must send a summary and no report")
	}
}

// exchange returns a root and a subscriber that have exchanged messages for several seconds, at
// steady rates of the given classes.
func exchange(t *testing.T, atRoot, atSubscriber []Rate) (now time.Time, root, sub *Account) {
	root, sub = NewAccount(), NewAccount()
	root.SetRoot(true)
	for now = start; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for _, r := range atRoot {
			root.Offer(now, r.Class, r.Offered/100)
		}
		for _, r := range atSubscriber {
			sub.Offer(now, r.Class, r.Offered/100)
		}
		if now.Sub(start)%(90*time.Millisecond) != 0 {
			continue
		}
		root.SetScarce(now, true)
		if b := sub.Report(now); b != nil {
			if err := root.MergeReport(now, "sub", b); err != nil {
				t.Fatal(err)
			}
		}
		if b := root.Summary(now); b != nil {
			if err := sub.MergeSummary(now, b); err != nil {
				t.Fatal(err)
			}
		}
	}
	return now, root, sub
}

// Guards against an own organisation that counts twice: by name, and in the combined rates of the
// summary, which does not name it.
func TestOrganisationWithoutNameCountsOnce(t *testing.T) {
	var atRoot []Rate
	for i := range 8 {
		atRoot = append(atRoot, Rate{Class: Class{Org: uint32(100 + i)}, Offered: 50})
	}
	atSub := []Rate{{Class: Class{Org: 1}, Offered: 20}, {Class: Class{Org: 2}, Offered: 10}}
	now, root, sub := exchange(t, atRoot, atSub)
	for name, a := range map[string]*Account{"root": root, "subscriber": sub} {
		got := a.Totals(now)
		if !got.Complete || !near(total(got), 430, 0.02) || totalOf(got, 1) != 0 || !near(totalOf(got, 0), 30, 0.02) {
			t.Errorf("%s: total %.1f, organisation 1 %.1f, combined %.1f of %+v", name, total(got), totalOf(got, 1), totalOf(got, 0), got)
		}
		for _, r := range got.Rates {
			if r.Org == 0 && r.Orgs != 2 {
				t.Errorf("%s: %d organisations are combined, want 2", name, r.Orgs)
			}
		}
	}
}

// Guards against a router that learns of its own surge only from the next summary.
func TestOwnDemandCountsImmediately(t *testing.T) {
	now, _, sub := exchange(t, []Rate{{Class: Class{Org: 5}, Offered: 100}}, []Rate{{Class: Class{Org: 5}, Offered: 10}})
	if got := totalOf(sub.Totals(now), 5); !near(got, 110, 0.02) {
		t.Errorf("got %.1f before the surge, want 110", got)
	}
	sub.Offer(now, Class{Org: 5}, 30)
	sub.Offer(now, Class{Org: 6}, 500)
	got := sub.Totals(now)
	if !near(totalOf(got, 5), 140, 0.02) || !near(totalOf(got, 6), 500, 0.02) {
		t.Errorf("got %.1f and %.1f, want 140 and 500", totalOf(got, 5), totalOf(got, 6))
	}
}

// Guards against a negative or inflated rate when the demand of a router ends between summaries.
func TestOwnDemandEndsImmediately(t *testing.T) {
	now, _, sub := exchange(t, []Rate{{Class: Class{Org: 5}, Offered: 100}}, []Rate{{Class: Class{Org: 6}, Offered: 100}})
	for i, wait := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
		got := sub.Totals(now.Add(wait))
		if want := 100 + 100*math.Exp(-wait.Seconds()); !near(total(got), want, 0.03) {
			t.Errorf("%d: total %.1f, want %.1f", i, total(got), want)
		}
	}
}

// Guards against numbers of organisations that grow with the number of routers, and against a mean
// weight that loses the claim of the combined organisations.
func TestCombinedOrganisationsAreNotAddedUp(t *testing.T) {
	root := NewAccount()
	root.SetRoot(true)
	for i, orgs := range []int{30, 40, 20} {
		m := &message{combined: []combination{{priority: 2, class: 4, weight: 8, orgs: orgs, offered: 10}}}
		if err := root.MergeReport(start, fmt.Sprint(i), m.encode()); err != nil {
			t.Fatal(err)
		}
	}
	got := root.Totals(start).Rates
	want := Rate{Class: Class{OrgPriority: 2, Rank: 2, Weight: 8}, Orgs: 40}
	if len(got) != 1 || got[0].Class != want.Class || got[0].Orgs != want.Orgs || !near(got[0].Offered, 30, 0.001) {
		t.Errorf("got %+v, want %+v with 30 per second", got, want)
	}
}

// Guards against a parent without connection to the root whose subscribers take its subtree for
// all routers, and use the whole pool.
func TestSummaryOfRouterWithoutRootIsIncomplete(t *testing.T) {
	parent, sub := NewAccount(), NewAccount()
	parent.SetScarce(start, true)
	now := start
	for ; now.Before(start.Add(firstSummaryWait)); now = now.Add(90 * time.Millisecond) {
		if parent.Summary(now) != nil {
			t.Fatal("a summary was sent before one of the parent could arrive")
		}
	}
	b := parent.Summary(now)
	if err := sub.MergeSummary(now, b); err != nil {
		t.Fatal(err)
	}
	if sub.Totals(now).Complete {
		t.Error("the totals are complete")
	}
	if sub.Report(now) == nil {
		t.Error("the summary did not cause a report")
	}
}

// Guards against summaries that each level of the tree keeps for another 2 s after the root has
// stopped.
func TestSummaryExpiresByItsAgeAtTheRoot(t *testing.T) {
	for _, c := range []struct{ age, validFor time.Duration }{
		{0, 2 * time.Second}, {time.Second, 1300 * time.Millisecond}, {2300 * time.Millisecond, 0},
	} {
		a := NewAccount()
		m := &message{flags: flagSummary | flagComplete, age: c.age}
		if err := a.MergeSummary(start, m.encode()); err != nil {
			t.Fatal(err)
		}
		if c.validFor > 0 && !a.Totals(start.Add(c.validFor-1)).Complete {
			t.Errorf("age %v: expired within %v", c.age, c.validFor)
		}
		if end := start.Add(c.validFor); a.Totals(end).Complete || a.Report(end) != nil {
			t.Errorf("age %v: valid after %v", c.age, c.validFor)
		}
	}
}

// Guards against a root that was cut off and, when the first report arrives again, sends a summary
// of a part of the routers as complete.
func TestRootWaitsForAllReports(t *testing.T) {
	const reconnected = 5 * time.Second
	root := NewAccount()
	root.SetRoot(true)
	var request, complete time.Duration // time of the last incomplete and of the first complete summary
	for at := time.Duration(0); at < 8*time.Second && complete == 0; at += 90 * time.Millisecond {
		now := start.Add(at)
		root.SetScarce(now, true)
		if at >= reconnected {
			if err := root.MergeReport(now, "sub", aReport()); err != nil {
				t.Fatal(err)
			}
		}
		b := root.Summary(now)
		if b == nil {
			continue
		}
		if m, err := decode(b); err != nil {
			t.Fatal(err)
		} else if m.flags&flagComplete != 0 {
			complete = at
		} else {
			request = at
		}
	}
	if complete < reconnected || complete < request+reportsComplete || complete > reconnected+reportsComplete+messageInterval {
		t.Errorf("the first complete summary was sent at %v, the last request for reports at %v", complete, request)
	}
}

func aReport() []byte {
	a := NewAccount()
	for i := range 12 {
		a.Offer(start, Class{Org: uint32(i + 1), OrgPriority: uint8(i % 3), Rank: uint8(i % 4), Weight: uint16(i)}, float64(i+1))
	}
	a.Outcome(start, true)
	a.Outcome(start, false)
	a.SetScarce(start, true)
	return a.Report(start)
}

func aSummary() []byte {
	a := NewAccount()
	a.SetRoot(true)
	if err := a.MergeReport(start, "a", aReport()); err != nil {
		panic(err)
	}
	a.Summary(start)
	if err := a.MergeReport(start.Add(reportsComplete), "a", aReport()); err != nil {
		panic(err)
	}
	return a.Summary(start.Add(reportsComplete))
}

// mergeUnchanged merges b into an account with a report and a summary, and fails if an error
// changes the account or an accepted message is not the encoding of its content.
func mergeUnchanged(t *testing.T, b []byte, merge func(a *Account, b []byte) error) error {
	build := func() *Account {
		a := NewAccount()
		a.Offer(start, Class{Org: 3, Rank: 1}, 5)
		if err := errors.Wrap(a.MergeReport(start, "a", aReport()), "report"); err != nil {
			t.Fatal(err)
		}
		if err := a.MergeSummary(start, aSummary()); err != nil {
			t.Fatal(err)
		}
		return a
	}
	a := build()
	err := merge(a, b)
	if err != nil {
		if !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrVersion) {
			t.Errorf("unexpected error %v", err)
		}
		if !reflect.DeepEqual(a, build()) {
			t.Error("a message with an error changed the account")
		}
		return err
	}
	m, err := decode(b)
	if err != nil || !bytes.Equal(m.encode(), b) || m.size() != len(b) {
		t.Errorf("%x is encoded as %x, %v", b, m.encode(), err)
	}
	for _, r := range a.Totals(start).Rates {
		if !(r.Offered >= 0) || math.IsInf(r.Offered, 0) || r.Orgs < 1 || r.Weight < 1 || r.Weight > 1000 || r.OrgPriority > 9 || r.Rank > 9 {
			t.Errorf("%+v", r)
		}
	}
	return nil
}

func mergeReport(a *Account, b []byte) error  { return a.MergeReport(start, "b", b) }
func mergeSummary(a *Account, b []byte) error { return a.MergeSummary(start, b) }

// Guards against a message that is cut short, extended or of another build and changes what is
// known.
func TestMalformedMessagesChangeNothing(t *testing.T) {
	for name, c := range map[string]struct {
		valid []byte
		merge func(*Account, []byte) error
	}{"report": {aReport(), mergeReport}, "summary": {aSummary(), mergeSummary}} {
		if err := mergeUnchanged(t, c.valid, c.merge); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if err := mergeUnchanged(t, append([]byte{2}, c.valid[1:]...), c.merge); !errors.Is(err, ErrVersion) {
			t.Errorf("%s of version 2: %v", name, err)
		}
		accepted := 0
		for n := range c.valid {
			if mergeUnchanged(t, c.valid[:n], c.merge) == nil {
				accepted++ // a message may end after any priority
			}
		}
		if accepted > 3 {
			t.Errorf("%d truncated messages of type %s were accepted", accepted, name)
		}
		if mergeUnchanged(t, append(bytes.Clone(c.valid), 0), c.merge) == nil {
			t.Errorf("%s with an additional byte was accepted", name)
		}
	}
	if mergeUnchanged(t, aSummary(), mergeReport) == nil || mergeUnchanged(t, aReport(), mergeSummary) == nil {
		t.Error("a message of the other type was accepted")
	}
}

func addSeeds(f *testing.F) {
	for _, b := range [][]byte{aReport(), aSummary(), nil, {1}, {2, 0, 0, 0, 0, 0, 0, 0}, make([]byte, maxMessageSize+1)} {
		f.Add(b)
	}
	named, _ := hex.DecodeString("01000000000000010000000700000100015001")
	f.Add(named)
}

func FuzzMergeReport(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, b []byte) { _ = mergeUnchanged(t, b, mergeReport) })
}

func FuzzMergeSummary(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, b []byte) { _ = mergeUnchanged(t, b, mergeSummary) })
}

// Guards against a message that exceeds its size, loses work that fits, or names others than the
// organisations with the most work.
func TestMessageKeepsWhatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		priorities := rapid.IntRange(1, 12).Draw(t, "priorities")
		ranks := rapid.IntRange(1, 12).Draw(t, "ranks")
		orgs := rapid.IntRange(1, 60).Draw(t, "organisations")
		offers := rapid.IntRange(1, 300).Draw(t, "offers")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		a := NewAccount()
		work := map[uint32]float64{}
		all := 0.0
		for range offers {
			org := rng.IntN(orgs)
			w := math.Exp2(20*rng.Float64() - 5)
			c := Class{
				Org: uint32(org + 1), OrgPriority: uint8(org % priorities), Rank: uint8(rng.IntN(ranks)),
				Returning: rng.IntN(2) == 0, Weight: uint16(rng.IntN(1100)),
			}
			a.Offer(start, c, w)
			work[c.Org] += w
			all += w
		}
		a.SetScarce(start, true)
		b := a.Report(start)
		if len(b) > maxMessageSize {
			t.Fatalf("%d bytes", len(b))
		}
		m, err := decode(b)
		if err != nil {
			t.Fatal(err)
		}
		lowest := math.Inf(1)
		sum := 0.0
		for i := range m.orgs {
			o := &m.orgs[i]
			if !near(o.work(), work[o.id], 0.001) {
				t.Fatalf("organisation %d: %.3f, want %.3f", o.id, o.work(), work[o.id])
			}
			lowest = min(lowest, work[o.id])
			sum += o.work()
		}
		for org, w := range work {
			if m.named(org) == nil && len(m.orgs) > 0 && w > lowest*1.001 {
				t.Fatalf("organisation %d with %.3f is not named, but one with %.3f", org, w, lowest)
			}
		}
		for _, c := range m.combined {
			sum += c.offered
		}
		isFull := len(m.orgs) == 0 && len(b) > maxMessageSize-2*(combinedHeadSize+3+rateSize)
		if !isFull && !near(sum, all, 0.001) || sum > all*1.001 {
			t.Fatalf("the message has %.3f of %.3f work in %d bytes", sum, all, len(b))
		}
	})
}

// Guards against rates that change each time a message is forwarded.
func TestRateCodes(t *testing.T) {
	for code := range math.MaxUint16 + 1 {
		if got := encodeRate(decodeRate(uint16(code))); int(got) != code {
			t.Fatalf("code %d becomes %d", code, got)
		}
	}
	for _, rate := range []float64{0, -1, math.NaN(), math.Inf(-1), 1e-9} {
		if encodeRate(rate) != 0 {
			t.Errorf("%v has code %d", rate, encodeRate(rate))
		}
	}
	for rate := 1e-5; rate < 1e13; rate *= 1.37 {
		if got := decodeRate(encodeRate(rate)); !near(got, rate, 0.0004) {
			t.Errorf("%v becomes %v", rate, got)
		}
	}
}

// loaded returns an account with a summary, a number of reports and own classes.
func loaded(b *testing.B, classes, reports int) *Account {
	a := NewAccount()
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range classes {
		a.Offer(start, classOf(i, rng), 1+rng.Float64())
	}
	for i := range reports {
		if err := a.MergeReport(start, fmt.Sprint(i), aReport()); err != nil {
			b.Fatal(err)
		}
	}
	if err := a.MergeSummary(start, aSummary()); err != nil {
		b.Fatal(err)
	}
	return a
}

var sizes = []struct{ classes, reports int }{{24, 0}, {160, 18}, {4000, 18}}

func BenchmarkOffer(b *testing.B) {
	a := NewAccount()
	rng := rand.New(rand.NewPCG(1, 1))
	classes := make([]Class, 160)
	for i := range classes {
		classes[i] = classOf(i, rng)
	}
	for i := 0; b.Loop(); i++ {
		a.Offer(start.Add(time.Duration(i)*time.Microsecond), classes[i%len(classes)], 1)
	}
}

// BenchmarkOfferNewClasses offers a new class each time, so that classes are evicted.
func BenchmarkOfferNewClasses(b *testing.B) {
	a := NewAccount()
	for i := 0; b.Loop(); i++ {
		a.Offer(start.Add(time.Duration(i)*time.Microsecond), Class{Org: uint32(i)}, 1)
	}
}

func BenchmarkTotals(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("classes=%d/reports=%d", s.classes, s.reports), func(b *testing.B) {
			a := loaded(b, s.classes, s.reports)
			b.ReportAllocs()
			for b.Loop() {
				a.Totals(start)
			}
		})
	}
}

func BenchmarkSummary(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("classes=%d/reports=%d", s.classes, s.reports), func(b *testing.B) {
			a := loaded(b, s.classes, s.reports)
			b.ReportAllocs()
			for b.Loop() {
				a.lastSummary = time.Time{}
				if a.Summary(start) == nil {
					b.Fatal("no summary is due")
				}
			}
		})
	}
}

// Guards against totals of this router alone that differ from those that merging its own demand gives.
func TestOwnTotalsAreThoseOfMerging(t *testing.T) {
	a, now := NewAccount(), time.Unix(1000, 0)
	for i := range 500 {
		now = now.Add(20 * time.Millisecond)
		a.Offer(now, Class{Org: uint32(i % 20), OrgPriority: uint8(i % 3), Rank: uint8(i % 12), Returning: i%5 == 0, Weight: uint16(i % 7)}, float64(i%4))
		a.Outcome(now, i%3 == 0)
	}
	now = now.Add(time.Second)
	for _, isRoot := range []bool{false, true} {
		a.SetRoot(isRoot)
		got, want := a.Totals(now), a.presentDemand(now).detailed().totals(false)
		for _, rates := range [][]Rate{got.Rates, want.Rates} {
			slices.SortFunc(rates, func(x, y Rate) int {
				return cmp.Or(cmp.Compare(x.Org, y.Org), cmp.Compare(classIndex(x.Class), classIndex(y.Class)))
			})
		}
		if len(got.Rates) == 0 || !reflect.DeepEqual(got, want) {
			t.Errorf("root %v: %+v, want %+v", isRoot, got, want)
		}
	}
}
