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

// judge returns the decision on a request.
func judge(r *Registry, p quarantine.Fingerprint) quarantine.ObservedDecision {
	return r.Judge(epoch, []quarantine.Fingerprint{p}).ObservedDecision
}

// Guards against copies of a suspect beside one that is under way at any upstream, and against copies that are
// turned away for good after it has ended.
func TestSuspectWaitsForAllOfItsCopies(t *testing.T) {
	r := crashedUnder(7, 2)
	first, second := r.Send(epoch, "a", quarantine.Copy{Fingerprint: 7}), r.Send(epoch, "b", quarantine.Copy{Fingerprint: 7})
	r.Answered(epoch, first)
	if _, ok := r.TryRunAlone(epoch, judge(r, 7)); ok {
		t.Error("the end of one copy ends the wait for the other")
	}
	r.Left(epoch, second)
	if _, ok := r.TryRunAlone(epoch, judge(r, 7)); !ok {
		t.Error("turned away after the end of both")
	}
}

// Guards against copies that come at the same moment and are all admitted.
func TestCopiesOfSuspectAreAdmittedOneByOne(t *testing.T) {
	r := crashedUnder(7, 2)
	end, ok := r.TryRunAlone(epoch, judge(r, 7))
	if !ok {
		t.Fatal("the first copy is not admitted")
	}
	if _, second := r.TryRunAlone(epoch, judge(r, 7)); second {
		t.Error("a second copy is admitted")
	}
	end()
	if _, again := r.TryRunAlone(epoch, judge(r, 7)); !again {
		t.Error("no copy is admitted after the end of the first")
	}
}

// Guards against two suspects at one upstream, of which it is not known which one crashes it, and against
// copies of one request, or others that were never lost, that keep each other away.
func TestOtherSuspectsAtAnUpstreamAreKnown(t *testing.T) {
	r := crashedUnder(7, 2)
	r.Send(epoch, "a", quarantine.Copy{Fingerprint: 7})
	r.Send(epoch, "b", quarantine.Copy{Fingerprint: 9})
	other, same := r.HasOtherSuspect(epoch, []quarantine.Fingerprint{8}), r.HasOtherSuspect(epoch, []quarantine.Fingerprint{7})
	if !other("a") {
		t.Error("the suspect is not seen by another request")
	}
	if same("a") || other("b") {
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
	if d := judge(r, 7); d.Crashes != 2 || d.Action != quarantine.RunAlone {
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
	if d := judge(r, 7); d.Action != quarantine.Refuse {
		t.Errorf("%+v", d)
	}
	if r.HasEnded("upstream-1") {
		t.Error("a rejected copy is still accounted for")
	}
}
