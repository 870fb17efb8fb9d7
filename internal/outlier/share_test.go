package outlier

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

// Two of three routers each see one failure of an upstream. Their parent combines the two, and
// all three routers must suspect the upstream.
func TestFailuresOfManyRoutersCount(t *testing.T) {
	vms := pool(8)
	parent := New()
	routers := []*Detector{New(), New(), New()}
	for _, r := range append(routers, parent) {
		for _, vm := range vms {
			r.Succeeded(start, vm)
		}
	}
	routers[0].Failed(start, vms[4])
	routers[1].Failed(start, vms[4])
	for _, r := range routers {
		if err := parent.MergeReport(start, vms, r.Report(vms)); err != nil {
			t.Fatal(err)
		}
		if r.Report(vms) != nil {
			t.Error("what was reported is reported again")
		}
	}
	summary := parent.Summary(start, vms)
	for i, r := range routers {
		if err := r.MergeSummary(start, vms, summary); err != nil {
			t.Fatal(err)
		}
		if !r.IsSuspected(start, vms[4]) || r.SuspectedCount(start) != 1 {
			t.Errorf("router %d suspects %d upstreams", i, r.SuspectedCount(start))
		}
		if err := r.MergeSummary(start, vms, nil); err != nil {
			t.Fatal(err)
		}
		if i == 2 && r.SuspectedCount(start.Add(minSuspicion)) > 0 {
			t.Error("still suspected after an empty summary")
		}
	}
}

// A router must not report back what it received in a summary. Otherwise a failure would
// circulate between two routers and never decay.
func TestSummaryIsNotReportedBack(t *testing.T) {
	vms := pool(2)
	parent, router := New(), New()
	parent.Failed(start, vms[0])
	if err := router.MergeSummary(start, vms, parent.Summary(start, vms)); err != nil {
		t.Fatal(err)
	}
	if b := router.Report(vms); b != nil {
		t.Errorf("reported: %v", b)
	}
}

// Parameters of the simulated fault: three fifths of the upstreams lose two fifths of their answers
// for four seconds. 5 routers send 105 requests per second to 18 upstreams, and each session ranks
// the upstreams differently.
const (
	simulatedRouters, simulatedUpstreams = 5, 18
	requestsPerSecond                    = 105
	simulatedSessions                    = 600
	faultyUpstreamsShare                 = 0.6
	lostAnswersShare                     = 0.4
	faultDuration                        = 4 * time.Second
	faultDelay                           = 3 * time.Second        // from the first request to the fault
	exchangeInterval                     = 250 * time.Millisecond // of reports and summaries
	outcomeDelay                         = 80 * time.Millisecond  // from a request to its outcome
)

// pendingOutcome is an outcome that is not yet known.
type pendingOutcome struct {
	at         time.Time
	router, vm int
	failed     bool
}

// simulateFault returns the share of requests that fail during the fault. Without suspicion, routers
// use the rankings alone. Without sharing, each router uses only its own outcomes.
func simulateFault(t *testing.T, suspicion, sharing bool, faultyShare float64) float64 {
	t.Helper()
	random := rand.New(rand.NewPCG(3, 4))
	vms := pool(simulatedUpstreams)
	var routers [simulatedRouters]*Detector
	for i := range routers {
		routers[i] = New()
	}
	var outstanding []pendingOutcome
	failed, all := 0, 0
	faultStart, sharedAt := start.Add(faultDelay), start
	for now := start; now.Before(faultStart.Add(faultDuration)); {
		now = now.Add(time.Duration(random.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		for len(outstanding) > 0 && !outstanding[0].at.After(now) {
			o := outstanding[0]
			outstanding = outstanding[1:]
			if o.failed {
				routers[o.router].Failed(o.at, vms[o.vm])
			} else {
				routers[o.router].Succeeded(o.at, vms[o.vm])
			}
		}
		if sharing && now.Sub(sharedAt) > exchangeInterval {
			sharedAt = now
			exchange(t, now, vms, routers[:])
		}
		router, session := random.IntN(simulatedRouters), random.IntN(simulatedSessions)
		vm := choose(routers[router], now, vms, session, suspicion)
		fails := now.After(faultStart) && float64(vm) < faultyShare*simulatedUpstreams && random.Float64() < lostAnswersShare
		outstanding = append(outstanding, pendingOutcome{at: now.Add(outcomeDelay), router: router, vm: vm, failed: fails})
		if now.After(faultStart) {
			all++
			if fails {
				failed++
			}
		}
	}
	return float64(failed) / float64(all)
}

// exchange merges the reports of all routers into the first one and its summary into the others.
func exchange(t *testing.T, now time.Time, vms []load.VM, routers []*Detector) {
	t.Helper()
	for _, r := range routers[1:] {
		if err := routers[0].MergeReport(now, vms, r.Report(vms)); err != nil {
			t.Fatal(err)
		}
	}
	summary := routers[0].Summary(now, vms)
	for _, r := range routers[1:] {
		if err := r.MergeSummary(now, vms, summary); err != nil {
			t.Fatal(err)
		}
	}
}

// choose returns the first upstream of a session's ranking that is not suspected.
func choose(d *Detector, now time.Time, vms []load.VM, session int, suspicion bool) int {
	ranking := rand.New(rand.NewPCG(uint64(session), 9)).Perm(len(vms))
	for _, vm := range ranking {
		if !suspicion || !d.IsSuspected(now, vms[vm]) {
			return vm
		}
	}
	return ranking[0]
}

// Guards against routers that keep sending requests to faulty upstreams: a quarter of all requests
// would be lost for four seconds, although two fifths of the upstreams are healthy. A single router
// sends one request per second to each upstream and detects the faulty ones slowly. Together the
// routers avoid them after two failures each.
func TestRequestsAvoidUpstreamsThatLoseAnswers(t *testing.T) {
	without := simulateFault(t, false, false, faultyUpstreamsShare)
	alone := simulateFault(t, true, false, faultyUpstreamsShare)
	together := simulateFault(t, true, true, faultyUpstreamsShare)
	t.Logf("lost: %.3f with rankings only, %.3f with the outcomes of each router, %.3f with those of all routers", without, alone, together)
	if together > 0.6*without {
		t.Errorf("%.3f of the requests are lost, %.3f without suspicion", together, without)
	}
	if together > alone {
		t.Errorf("%.3f are lost with shared outcomes, %.3f without", together, alone)
	}
}

// FuzzMerge merges arbitrary messages into a detector, as routers of any release may send them.
func FuzzMerge(f *testing.F) {
	vms := pool(5)
	d := New()
	d.Failed(start, vms[1])
	f.Add(d.Summary(start, vms))
	f.Add(d.Report(vms))
	f.Add([]byte{255, 255, 9, 1})
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, b []byte) {
		d := New()
		_ = d.MergeReport(start, vms, b)
		_ = d.MergeSummary(start, vms, b)
		if n := d.SuspectedCount(start); n > len(vms) {
			t.Fatalf("%d of %d upstreams are suspected", n, len(vms))
		}
		for _, c := range d.counts {
			if c.failed > c.all || c.failed < 0 {
				t.Fatalf("count %+v", c)
			}
		}
	})
}
