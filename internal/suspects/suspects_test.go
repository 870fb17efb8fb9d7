package suspects

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
)

var epoch = time.UnixMilli(1_800_000_000_000)

// crashedUnder returns a Registry in which so many upstreams have crashed under a request.
func crashedUnder(fingerprint uint64, crashes int) *Registry {
	r := NewRegistry()
	for i := range crashes {
		upstream := fmt.Sprint("upstream-", i)
		r.Lost(epoch, r.Send(epoch, upstream, quarantine.Copy{Fingerprint: quarantine.Fingerprint(fingerprint)}))
		r.Crashed(epoch, upstream)
	}
	return r
}

// Guards against the attempts of all requests being recorded, and against records that outlive their
// attempts: later copies would be turned away for good.
func TestOnlyAttemptsOfRequestsThatWereLostAreInFlight(t *testing.T) {
	r := crashedUnder(7, 1)
	endOther := r.BeginInFlight(epoch, "a", 8)
	if len(r.inFlight) > 0 {
		t.Error("a request that was never lost is recorded")
	}
	endOther()
	endFirst, endSecond := r.BeginInFlight(epoch, "a", 7), r.BeginInFlight(epoch, "b", 7)
	endFirst()
	if _, ok := r.TryRunAlone(7); ok {
		t.Error("the end of one attempt ends the record of the other")
	}
	endSecond()
	if _, ok := r.TryRunAlone(7); !ok || len(r.inFlight) > 0 {
		t.Errorf("recorded after the end of both: %v", r.inFlight)
	}
}

// Guards against copies that come at the same moment and are all admitted.
func TestCopiesOfSuspectAreAdmittedOneByOne(t *testing.T) {
	r := crashedUnder(7, 2)
	end, ok := r.TryRunAlone(7)
	if !ok {
		t.Fatal("the first copy is not admitted")
	}
	if _, second := r.TryRunAlone(7); second {
		t.Error("a second copy is admitted")
	}
	end()
	if _, again := r.TryRunAlone(7); !again {
		t.Error("no copy is admitted after the end of the first")
	}
}

// Guards against two suspects at one upstream, of which it is not known which one crashes it, and against
// copies of one request that keep each other away.
func TestOtherSuspectsAtAnUpstreamAreKnown(t *testing.T) {
	r := crashedUnder(7, 2)
	defer r.BeginInFlight(epoch, "a", 7)()
	if !r.HasOtherInFlight("a", 8) {
		t.Error("the suspect is not seen by another request")
	}
	if r.HasOtherInFlight("a", 7) || r.HasOtherInFlight("b", 8) {
		t.Error("a copy of the same request, or an upstream without a suspect, counts")
	}
}

// An attempt is lost before or after its upstream is found to have crashed. Guards against requests that
// are recorded only in one of the two orders.
func TestRequestsAreRecordedInBothOrders(t *testing.T) {
	r := NewRegistry()
	r.Lost(epoch, r.Send(epoch, "a", quarantine.Copy{Fingerprint: 7}))
	if counts := r.Crashed(epoch, "a"); counts != (CrashCounts{Lost: 1, Recorded: 1}) {
		t.Errorf("lost before the crash was known: %+v", counts)
	}
	lost := r.Send(epoch, "b", quarantine.Copy{Fingerprint: 7})
	now := epoch.Add(time.Second)
	r.Crashed(now, "b")
	if !r.Lost(now, lost) {
		t.Error("lost after the crash was known: not recorded")
	}
	if d := r.DecideObserved(epoch, 7); d.Crashes != 2 || d.Action != quarantine.RunAlone {
		t.Errorf("%+v", d)
	}
}

// A copy that nobody awaits any more is rejected late, without having run. Guards against taking that for a
// copy that its upstream has survived.
func TestRejectedCopiesAreNotSurvived(t *testing.T) {
	r := crashedUnder(7, 3)
	for i := range 12 {
		sent := r.Send(epoch, fmt.Sprint("upstream-", i), quarantine.Copy{Fingerprint: 7, Due: epoch.Add(5 * time.Second)})
		r.Left(epoch.Add(time.Second), sent)
		r.Rejected(sent)
	}
	if d := r.DecideObserved(epoch.Add(time.Second), 7); d.Action != quarantine.Refuse {
		t.Errorf("%+v", d)
	}
	if r.HasEnded("upstream-1") {
		t.Error("a rejected copy is still accounted for")
	}
}
