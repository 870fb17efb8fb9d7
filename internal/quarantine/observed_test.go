package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// lostNow returns requests that were lost at a crash, each started a moment before it.
func lostNow(now time.Time, fingerprints ...Fingerprint) []RunningRequest {
	var out []RunningRequest
	for _, p := range fingerprints {
		out = append(out, RunningRequest{Fingerprint: p, Started: now.Add(-time.Millisecond)})
	}
	return out
}

// Guards against a request that crashes each upstream which runs it being sent on without end, and
// against one that is refused for the crashes of one or two.
func TestThirdObservedCrashConvicts(t *testing.T) {
	table := New("", 0)
	for i, want := range []Action{Allow, RunAlone, Refuse} {
		now := epoch.Add(time.Duration(i) * time.Second)
		table.RecordObservedCrash(now, fmt.Sprint("upstream-", i), now, lostNow(now, 7))
		if got := table.DecideObserved(now, 7); got.Action != want || got.Crashes != i+1 {
			t.Errorf("after %d crashes: %+v", i+1, got)
		}
	}
	d := table.DecideObserved(epoch.Add(2*time.Second), 7)
	if before := table.DecideObserved(d.Until.Add(-time.Millisecond), 7); before.Action != Refuse {
		t.Errorf("before its end: %+v", before)
	}
	if after := table.DecideObserved(d.Until, 7); after.Action == Refuse {
		t.Errorf("at its end: %+v", after)
	}
}

// Several routers lose copies of a request at the same crash. Guards against one crash that counts
// several times.
func TestCrashSeenByManyRoutersCountsOnce(t *testing.T) {
	a, b := New("", 0), New("", 0)
	for i := range 2 {
		a.RecordObservedCrash(epoch, fmt.Sprint("upstream-", i), epoch, lostNow(epoch, 7))
		b.RecordObservedCrash(epoch.Add(40*time.Millisecond), fmt.Sprint("upstream-", i), epoch.Add(40*time.Millisecond), lostNow(epoch, 7))
	}
	if err := a.Merge(epoch, b.All(epoch)); err != nil {
		t.Fatal(err)
	}
	if got := a.DecideObserved(epoch, 7); got.Crashes != 2 {
		t.Errorf("%+v, want 2 crashes", got)
	}
}

// Others run beside the request that crashes upstreams, one of them at two of the crashes. Guards
// against refusing them, or holding them back, once the cause is known.
func TestOthersAtObservedCrashesAreExplained(t *testing.T) {
	table := New("", 0)
	for i := range 3 {
		others := []Fingerprint{7, Fingerprint(100 + i)}
		if i < 2 {
			others = append(others, 8)
		}
		table.RecordObservedCrash(epoch, fmt.Sprint("upstream-", i), epoch, lostNow(epoch, others...))
	}
	if got := table.DecideObserved(epoch, 7); got.Action != Refuse {
		t.Errorf("the cause: %+v", got)
	}
	for _, p := range []Fingerprint{8, 100, 101, 102} {
		if got := table.DecideObserved(epoch, p); got.Action != Allow {
			t.Errorf("request %d that ran beside it: %+v", p, got)
		}
	}
}

// Many callers ask for the same thing, at all upstreams, when a failure domain fails. Guards against a
// conviction of what is served all the time, at the router that has served it and at others.
func TestServedRequestIsNotConvicted(t *testing.T) {
	serving, other := New("", 0), New("", 0)
	serving.RecordServed(epoch, 7)
	for i := range 4 {
		serving.RecordObservedCrash(epoch, fmt.Sprint("upstream-", i), epoch, lostNow(epoch, 7))
		other.RecordObservedCrash(epoch, fmt.Sprint("upstream-", i), epoch, lostNow(epoch, 7))
	}
	if got := serving.DecideObserved(epoch, 7); got.Action != Allow {
		t.Errorf("at the router that has served it: %+v", got)
	}
	if err := serving.Merge(epoch, other.All(epoch)); err != nil {
		t.Fatal(err)
	}
	if err := other.Merge(epoch, serving.All(epoch)); err != nil {
		t.Fatal(err)
	}
	if got := other.DecideObserved(epoch, 7); got.Action != Allow {
		t.Errorf("at a router that has heard of it: %+v", got)
	}
}

// Guards against a request that was served once, before the upstreams were replaced by a release that
// it crashes, and is never convicted for that.
func TestServedLongAgoDoesNotProtect(t *testing.T) {
	table := New("", 0)
	table.RecordServed(epoch, 7)
	table.RecordServed(epoch.Add(servedFor), 8)
	now := epoch.Add(2 * servedFor)
	table.RecordServed(now, 9)
	for i := range 3 {
		table.RecordObservedCrash(now, fmt.Sprint("upstream-", i), now, lostNow(now, 7))
	}
	if got := table.DecideObserved(now, 7); got.Action != Refuse {
		t.Errorf("%+v", got)
	}
}

// Guards against routers that decide differently, depending on the order in which they learn of
// crashes and of requests that were served.
func TestObservedCrashesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := []*Table{New("", 0), New("", 0), New("", 0)}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			r := rapid.SampledFrom(routers).Draw(t, "router")
			p := Fingerprint(rapid.IntRange(1, 4).Draw(t, "fingerprint"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				r.RecordFinished(epoch, p)
			case 1:
				_ = r.Merge(epoch, rapid.SampledFrom(routers).Draw(t, "from").All(epoch))
			default:
				upstream := fmt.Sprint("upstream-", rapid.IntRange(1, 5).Draw(t, "upstream"))
				r.RecordObservedCrash(epoch, upstream, epoch, lostNow(epoch, p, p%4+1))
			}
		}
		for range 2 {
			for _, to := range routers {
				for _, from := range routers {
					_ = to.Merge(epoch, from.All(epoch))
				}
			}
		}
		for p := Fingerprint(1); p <= 4; p++ {
			first := routers[0].DecideObserved(epoch, p)
			for _, r := range routers[1:] {
				if got := r.DecideObserved(epoch, p); got != first {
					t.Fatalf("fingerprint %d: %+v and %+v", p, first, got)
				}
			}
		}
	})
}

// All upstreams lose their power at once, and millions of chats break. Guards against memory and
// messages without bound, and against holding any of them back.
func TestCrashOfAllUpstreamsConvictsNobody(t *testing.T) {
	const upstreams, requestsPerUpstream = 500, 40
	table, account := New("", 0), NewAccount()
	next := Fingerprint(1)
	for i := range upstreams {
		for range requestsPerUpstream {
			account.Lost(epoch, account.Send(epoch, fmt.Sprint("upstream-", i), Copy{Fingerprint: next}))
			next++
		}
	}
	for i := range upstreams {
		upstream := fmt.Sprint("upstream-", i)
		table.RecordObservedCrash(epoch, upstream, epoch, account.Crashed(epoch, upstream).Lost)
	}
	if table.size > maxEnded {
		t.Errorf("%d entries", table.size)
	}
	for p := Fingerprint(1); p < next; p++ {
		if got := table.DecideObserved(epoch, p); got.Action != Allow {
			t.Fatalf("request %d: %+v", p, got)
		}
	}
	sent := 0
	for at := epoch; at.Before(epoch.Add(10 * time.Second)); at = at.Add(90 * time.Millisecond) {
		sent += len(table.GossipObserved(at, 256))
	}
	if most := gossipBurstBytes + 10*gossipBytesPerSecond; sent > most {
		t.Errorf("%d bytes sent in 10 s, want at most %d", sent, most)
	}
	account.Expire(epoch.Add(evidenceWindow))
	if account.size != 0 || len(account.upstreams) != 0 {
		t.Errorf("%d lost requests and %d upstreams are kept", account.size, len(account.upstreams))
	}
}

// Guards against the newest of many requests at a crash, which are its likeliest cause, being left out.
func TestLatestRequestsOfACrashAreRecorded(t *testing.T) {
	table := New("", 0)
	var lost []RunningRequest
	for i := range 3 * maxSuspectsPerCrash {
		lost = append(lost, RunningRequest{Fingerprint: Fingerprint(i + 1), Started: epoch.Add(time.Duration(i) * time.Millisecond)})
	}
	slices.Reverse(lost)
	if n := table.RecordObservedCrash(epoch.Add(time.Second), "upstream-1", epoch.Add(time.Second), lost); n != maxSuspectsPerCrash {
		t.Errorf("%d recorded", n)
	}
	if !table.WasLostAt(epoch, 3*maxSuspectsPerCrash, "upstream-1") {
		t.Error("the newest one is not recorded")
	}
}

// Guards against a router that starts after a request was convicted and knows nothing of it.
func TestConvictionsAreRepeatedForRoutersThatStart(t *testing.T) {
	table := New("", 0)
	for i := range 3 {
		table.RecordObservedCrash(epoch, fmt.Sprint("upstream-", i), epoch, lostNow(epoch, 7))
	}
	table.RecordObservedCrash(epoch, "upstream-9", epoch, lostNow(epoch, 8))
	at := epoch
	for at.Before(epoch.Add(2 * gossipPeriod)) {
		table.GossipObserved(at, 256)
		at = at.Add(90 * time.Millisecond)
	}
	started := New("", 0)
	for until := at.Add(2 * maxRepeat); at.Before(until); at = at.Add(90 * time.Millisecond) {
		tell(t, at, table, started, 256)
	}
	if got := started.DecideObserved(at, 7); got.Action != Refuse {
		t.Errorf("%+v", got)
	}
	if len(started.restrictions) != 1 || started.size > 0 {
		t.Errorf("%d restrictions, %d entries, want that of the conviction only", len(started.restrictions), started.size)
	}
}

// crashedTogether records so many crashes at each of which all the fingerprints were lost.
func crashedTogether(table *Table, crashes int, fingerprints ...Fingerprint) {
	for i := range crashes {
		table.RecordObservedCrash(epoch, fmt.Sprint("shared-", i), epoch, lostNow(epoch, fingerprints...))
	}
}

// tried returns a request that was tried alone, and lost.
func tried(p Fingerprint) []RunningRequest {
	lost := lostNow(epoch, p)
	lost[0].Tried = true
	return lost
}

// Several requests were at the same crashes, more than one of them the cause. Guards against each of them being
// taken for a bystander of the others, and against refusing a bystander without a trial.
func TestRequestsAtTheSameCrashesAreTried(t *testing.T) {
	const cause, another, bystander = 7, 8, 9
	table := New("", 0)
	crashedTogether(table, 3, cause, another, bystander)
	crashedTogether(table, 5, cause)
	for _, p := range []Fingerprint{cause, another, bystander} {
		if got := table.DecideObserved(epoch, p); got.Action != Try || got.SuspectedCrashes() != 2 {
			t.Errorf("request %d before its trial: %+v", p, got)
		}
	}
	table.RecordObservedCrash(epoch, "upstream-1", epoch, tried(cause))
	table.RecordObservedCrash(epoch, "upstream-2", epoch, tried(another))
	table.RecordServed(epoch, bystander)
	for p, want := range map[Fingerprint]Action{cause: Refuse, another: Refuse, bystander: Allow} {
		if got := table.DecideObserved(epoch, p); got.Action != want {
			t.Errorf("request %d after its trial: %+v", p, got)
		}
	}
}

// Two requests are tried at one upstream, which crashes. Guards against taking both for causes.
func TestSharedTrialTellsNothing(t *testing.T) {
	table := New("", 0)
	crashedTogether(table, 3, 7, 8)
	table.RecordObservedCrash(epoch, "upstream-1", epoch, append(tried(7), tried(8)...))
	for _, p := range []Fingerprint{7, 8} {
		if got := table.DecideObserved(epoch, p); got.Action != Try {
			t.Errorf("request %d: %+v", p, got)
		}
	}
}

// Guards against two requests that are tried at one upstream, and against requests or upstreams that are left out.
func TestEachUpstreamHasOneTrial(t *testing.T) {
	table := New("", 0)
	requests := []Fingerprint{7, 8, 9}
	crashedTogether(table, 3, requests...)
	upstreams := make(map[Fingerprint]int)
	for i := range 60 {
		n := 0
		for _, p := range requests {
			if table.MayTryAt(epoch, []Fingerprint{p})(fmt.Sprint("upstream-", i)) {
				n++
				upstreams[p]++
			}
		}
		if n != 1 {
			t.Errorf("%d requests may be tried at upstream %d", n, i)
		}
	}
	for _, p := range requests {
		if upstreams[p] < 10 {
			t.Errorf("request %d may be tried at %d of 60 upstreams", p, upstreams[p])
		}
	}
	table.RecordServed(epoch, 8)
	table.RecordServed(epoch, 9)
	if may := table.MayTryAt(epoch, []Fingerprint{7}); !may("upstream-1") || !may("upstream-2") {
		t.Error("the only one left may not be tried everywhere")
	}
}

// Two causes are at the same crashes in a small pool, and when one of them is tried a copy of the other is lost with it.
// Guards against trials that prove nothing, one after the other, each of which costs an upstream.
func TestTrialsThatProveNothingAreFew(t *testing.T) {
	table := New("", 0)
	crashedTogether(table, 3, 7, 8)
	now := epoch
	late := 0 // trials later than stableTime after the third crash, of which three are allowed
	const stableTime, maxLate = 3 * time.Second, 3
	for i := range 40 {
		now = now.Add(time.Second)
		if d := table.DecideObserved(now, 7); d.Action != Try {
			if d.Action != Refuse {
				t.Fatalf("%+v", d)
			}
			continue
		}
		if now.After(epoch.Add(stableTime)) {
			late++
		}
		table.RecordObservedCrash(now, fmt.Sprint("upstream-", i), now, append(tried(7), lostNow(now, 8)...))
	}
	if late > maxLate {
		t.Errorf("%d late trials in %v", late, now.Sub(epoch))
	}
	now = now.Add(maxTrialPause / 2)
	if d := table.DecideObserved(now, 7); d.Action != Try {
		t.Errorf("it may be a bystander, and %v later %+v", maxTrialPause/2, d)
	}
	table.RecordServed(now, 7)
	if d := table.DecideObserved(now, 7); d.Action != Allow {
		t.Errorf("it was served: %+v", d)
	}
}
