package config

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

var chatRef = topo.Ref{Kind: topo.KindProfile, Name: "chat"}

func chatAt(v topo.Version) topo.Object {
	return topo.Object{Ref: chatRef, Version: v, Value: value(int(v))}
}

// A router has read its configuration from the store and serves callers when it learns
// of another one that reads for all. Until it has heard that one it would be ready no
// more, and refuse them for some milliseconds.
func TestStaysReadyWhenAnotherRouterReadsStore(t *testing.T) {
	f, now := NewFollower(1, DefaultTiming()), time.Unix(0, 0)
	f.Step(Ticked{Now: now})
	f.Step(Listed{Now: now, Objects: []topo.Object{chatAt(2)}, Version: 2})
	if !f.Ready() {
		t.Fatal("not ready after a listing")
	}
	f.Step(PeersChanged{Now: now, Peers: []Peer{"reader"}})
	f.Step(StoreReadingSwitched{Now: now})
	if !f.Ready() {
		t.Error("not ready any more")
	}
}

// The store is down and a router starts. The first sidecar that it asks has
// been cut off for an hour, and callers are served by the rules of an hour ago
// until the router happens to ask another. It is ready only when it has
// compared a few.
func TestReadyAfterComparingPeers(t *testing.T) {
	f, now := NewFollower(1, DefaultTiming()), time.Unix(0, 0)
	held := map[Peer]topo.Version{"cut": 3, "a": 9, "b": 9, "c": 9}
	f.peers = []Peer{"cut", "a", "b", "c"}
	f.startPull(now, "cut", 0)
	for !f.Ready() {
		if f.pull == nil {
			now = now.Add(TickInterval)
			f.Step(Ticked{Now: now})
			continue
		}
		v := held[f.pull.peer]
		d := Delta{Objects: []topo.Object{chatAt(v)}, Summary: Summary{Version: v, CompleteUpTo: v}}
		f.Step(QueryAnswered{Now: now, Peer: f.pull.peer, Delta: d})
	}
	if have := f.set.HeldVersion(chatRef); have != 9 {
		t.Errorf("ready at version %d although peers have 9", have)
	}
}

// A profile is deleted from the store by hand, made again and deleted again. A
// peer that has seen the first deletion and a later listing sends the first
// deletion. The profile that a router has read in between must not stay.
func TestObjectDeletedAgainIsRemoved(t *testing.T) {
	f, now := NewFollower(1, DefaultTiming()), time.Unix(0, 0)
	f.Step(SummaryReceived{Now: now, Peer: "a", Summary: Summary{Version: 1}})
	f.Step(Listed{Now: now, Objects: []topo.Object{chatAt(2)}, Version: 2})
	gone := topo.Object{Ref: chatRef, Version: 1, Deleted: true}
	f.Step(QueryAnswered{Now: now, Peer: "a", Delta: Delta{Objects: []topo.Object{gone}, DeletionHorizon: 3, Summary: Summary{Version: 1, CompleteUpTo: 3}}})
	if o, ok := f.set.Get(chatRef); ok {
		t.Errorf("version %d is still in force", o.Version)
	}
}

// The watches of two routers of three leave out a change. The third has not
// been told yet when it hears from a sidecar, which one of the two has brought
// up to date, that there is nothing new. If it then watched from there, the
// change would be in force nowhere.
func TestPeersDoNotMoveTheWatch(t *testing.T) {
	f, now := NewFollower(1, DefaultTiming()), time.Unix(0, 0)
	f.peers = []Peer{"a"}
	f.Step(Listed{Now: now, Objects: []topo.Object{chatAt(2)}, Version: 5})
	f.startPull(now, "a", 2)
	f.Step(QueryAnswered{Now: now, Peer: "a", Delta: Delta{Summary: Summary{Version: 2, CompleteUpTo: 9}}})
	if f.set.CompleteUpTo() != 9 {
		t.Fatalf("complete up to %d, want what the peer claims", f.set.CompleteUpTo())
	}
	for _, e := range f.Step(Watched{Now: now, Since: 5, Page: topo.Page{Version: 5}}) {
		if w, ok := e.(Watch); ok && w.Since != 5 {
			t.Errorf("watches from %d, want from what the store has told", w.Since)
		}
	}
}

// A router has its configuration from another one when it begins to read the
// store itself. The store keeps everything in one object and tells no deletions: a
// route that is missing there must go, or its callers are served by a rule that
// the operators have taken back. What has not changed keeps its version, since
// nodes compare by versions.
func TestWholeSourceRemovesMissingObjects(t *testing.T) {
	f, now := NewFollower(1, DefaultTiming()), time.Unix(0, 0)
	f.Step(Ticked{Now: now})
	ref := func(name string) topo.Ref { return topo.Ref{Kind: topo.KindProfile, Name: name} }
	f.set.Apply(Batch{
		Objects: []topo.Object{{Ref: ref("stays"), Version: 3, Value: value(1)}, {Ref: ref("goes"), Version: 4, Value: value(2)}},
		Claim:   &Claim{To: 5},
	})
	page := topo.Page{Version: 9, Whole: true, Objects: []topo.Object{{Ref: ref("stays"), Value: value(1)}, {Ref: ref("new"), Value: value(3)}}}
	f.phase = phaseWatching
	f.Step(Watched{Now: now, Since: 5, Page: page})
	if _, ok := f.set.Get(ref("goes")); ok {
		t.Error("what the store does not hold is in force")
	}
	if v := f.set.HeldVersion(ref("stays")); v != 3 {
		t.Errorf("what has not changed is at version %d", v)
	}
	if v := f.set.HeldVersion(ref("new")); v != 9 || f.set.CompleteUpTo() != 9 {
		t.Errorf("what is new is at version %d, complete up to %d", v, f.set.CompleteUpTo())
	}
	f.phase = phaseWatching
	f.Step(Watched{Now: now, Since: 9, Page: topo.Page{Version: 12, Whole: true}})
	if _, ok := f.set.Get(ref("stays")); !ok || f.set.CompleteUpTo() != 12 {
		t.Error("a watch without news took something away")
	}
}

// The operator adds hundreds of routes with one change. They have one version and
// do not fit into one piece of what a router pulls from another; those of the
// second piece must come too, or their callers get 404 for as long as the router
// lives.
func TestManyObjectsOfOneVersionAreAllPulled(t *testing.T) {
	const many = 500
	from, to := NewFollower(1, DefaultTiming()), NewFollower(2, DefaultTiming())
	b := Batch{Claim: &Claim{To: 7}}
	for i := range many {
		ref := topo.Ref{Kind: topo.KindProfile, Name: fmt.Sprint(i)}
		b.Objects = append(b.Objects, topo.Object{Ref: ref, Version: 7, Value: append(value(i), make([]byte, 500)...)})
	}
	from.set.Apply(b)
	now := time.Unix(0, 0)
	to.Step(Ticked{Now: now})
	to.Step(StoreReadingSwitched{Now: now})
	asks := to.Step(PeersChanged{Now: now, Peers: []Peer{"from"}})
	for range many {
		var next []Effect
		for _, e := range asks {
			if ask, ok := e.(SendQuery); ok {
				next = append(next, to.Step(QueryAnswered{Now: now, Peer: "from", Delta: from.set.Answer(ask.Query)})...)
			}
		}
		asks = next
	}
	if n := to.set.Len(); n != many {
		t.Errorf("%d of %d objects were pulled", n, many)
	}
}

// answerAll has a follower ask another one until it has nothing more to ask.
func answerAll(to, from *Follower, now time.Time, asks []Effect) {
	for len(asks) > 0 {
		asks = answerOnce(to, from, now, asks)
	}
}

// answerOnce has a follower's questions answered by another one, and returns what it
// wants then.
func answerOnce(to, from *Follower, now time.Time, asks []Effect) []Effect {
	var next []Effect
	for _, e := range asks {
		if ask, ok := e.(SendQuery); ok {
			next = append(next, to.Step(QueryAnswered{Now: now, Peer: ask.Peer, Delta: from.set.Answer(ask.Query)})...)
		}
	}
	return next
}

// Three runners are removed from the store, one after the other, and each time another
// router has begun to read for all meanwhile: it knows the removal from its listing,
// which tells no deletions. Those that rely on it must hear of each of them, or they
// send requests to runners that are gone for as long as a minute. That holds also where
// the router that is asked for everything ceases to answer then.
func TestRemovalsFoundByListingArePulledAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	upstream := func(i int, v topo.Version) topo.Object {
		return topo.Object{Ref: topo.Ref{Kind: "runners", Name: fmt.Sprint(i)}, Version: v, Value: value(i)}
	}
	timing := DefaultTiming()
	timing.Relayed = true
	reader, to := NewFollower(1, timing), NewFollower(2, timing)
	reader.Step(Listed{Now: now, Objects: []topo.Object{upstream(1, 1), upstream(2, 2), upstream(3, 3), upstream(4, 4)}, Version: 4})
	to.Step(Ticked{Now: now})
	to.Step(StoreReadingSwitched{Now: now})
	answerAll(to, reader, now, to.Step(PeersChanged{Now: now, Peers: []Peer{"reader"}}))
	left := []topo.Object{upstream(2, 2), upstream(3, 3), upstream(4, 4)}
	for gone := 1; gone <= 3; gone++ {
		now = now.Add(2 * time.Second)
		version := topo.Version(4 + gone)
		reader.Step(Listed{Now: now, Objects: left, Version: version})
		reader.set.Apply(Batch{Objects: []topo.Object{upstream(4, version)}, Claim: &Claim{To: version}})
		left = left[1:]
		summary := reader.set.Summary()
		first := to.Step(SummaryReceived{Now: now, Peer: "lost", Summary: summary})
		answerOnce(to, reader, now, first) // then it asks for everything, in vain
		to.Step(QueryFailed{Now: now, Peer: "lost"})
		now = now.Add(timing.PullInterval)
		answerAll(to, reader, now, to.Step(SummaryReceived{Now: now, Peer: "reader", Summary: summary}))
		if _, listed := to.set.Get(upstream(gone, 1).Ref); listed {
			t.Errorf("runner %d is still listed", gone)
		}
		if to.set.Version() != summary.Version {
			t.Errorf("after removal %d: up to version %d, want %d", gone, to.set.Version(), summary.Version)
		}
	}
}

// All routers lose power. Two of them read the whole configuration from the store when
// they are back, one just before a change that takes a route away and one just after
// it, which has never known that route. A third has pulled from the first and now pulls
// from the second: the route must go, or its callers are served by it for good. What
// has not changed is the same at both, so that nothing is pulled for the sake of it.
func TestRouteUnknownToNewReaderIsRemoved(t *testing.T) {
	now := time.Unix(0, 0)
	route := func(name string, n int, v topo.Version) topo.Object {
		return topo.Object{Ref: topo.Ref{Kind: topo.KindProfile, Name: name}, Version: v, Value: value(n)}
	}
	timing := DefaultTiming()
	timing.Relayed = true
	before, after, to := NewFollower(1, timing), NewFollower(2, timing), NewFollower(3, timing)
	before.Step(Listed{Now: now, Whole: true, Version: 223, Objects: []topo.Object{route("goes", 1, 220), route("stays", 2, 220)}})
	after.Step(Listed{Now: now, Whole: true, Version: 225, Objects: []topo.Object{route("stays", 2, 224)}})
	to.Step(Ticked{Now: now})
	to.Step(StoreReadingSwitched{Now: now})
	answerAll(to, before, now, to.Step(PeersChanged{Now: now, Peers: []Peer{"before"}}))
	if n := to.set.Len(); n != 2 {
		t.Fatalf("%d routes from the first reader", n)
	}
	now = now.Add(time.Second)
	answerAll(to, after, now, to.Step(SummaryReceived{Now: now, Peer: "after", Summary: after.set.Summary()}))
	if _, held := to.set.Get(route("goes", 0, 0).Ref); held {
		t.Error("a route that was taken away is in force")
	}
	late := NewFollower(4, timing)
	late.Step(Listed{Now: now, Whole: true, Version: 230, Objects: []topo.Object{route("stays", 2, 224)}})
	if late.set.Summary().Digest != after.set.Summary().Digest {
		t.Error("two readers of the same configuration take each other for different")
	}
}

// A router has lost the store, and waits for its next try. Another of its calls is
// answered meanwhile: it tries again at once, since a change may be in force that it
// has not heard of.
func TestReachableStoreIsCalledAtOnce(t *testing.T) {
	f, now := NewFollower(1, DefaultTiming()), time.Unix(0, 0)
	f.Step(Listed{Now: now, Objects: []topo.Object{chatAt(2)}, Version: 2})
	for range 5 {
		f.phase = phaseWatching
		f.Step(StoreFailed{Now: now})
	}
	now = now.Add(time.Millisecond)
	if effects := f.Step(Ticked{Now: now}); len(effects) > 0 {
		t.Fatalf("no pause after failures: %v", effects)
	}
	if effects := f.Step(StoreReachable{Now: now}); len(effects) != 1 {
		t.Errorf("effects %v, want a call", effects)
	}
	f.Step(Watched{Now: now, Since: 2, Page: topo.Page{Version: 2}})
	if effects := f.Step(StoreReachable{Now: now}); len(effects) > 0 {
		t.Errorf("a watch that works is disturbed: %v", effects)
	}
}

// The router that reads the store for others pauses after each change, and its next
// watch finds nothing new. It hears of the store no less often than without the
// pause: the others would take it for cut off, and all read the store themselves.
func TestPauseIsPartOfTheWatch(t *testing.T) {
	timing := DefaultTiming()
	timing.Relayed = true
	f, now := NewFollower(1, timing), time.Unix(0, 0)
	f.Step(Listed{Now: now, Objects: []topo.Object{chatAt(2)}, Version: 2})
	f.Step(Watched{Now: now, Since: 2, Page: topo.Page{Version: 3, Objects: []topo.Object{chatAt(3)}}})
	lastAnswer := now
	for {
		now = now.Add(TickInterval)
		effects := f.Step(Ticked{Now: now})
		if len(effects) == 0 {
			continue
		}
		w, ok := effects[0].(Watch)
		if !ok {
			t.Fatalf("effects %v", effects)
		}
		if silence := now.Sub(lastAnswer) + w.Wait; silence > timing.WatchWait {
			t.Errorf("the store is silent for %v, want %v", silence, timing.WatchWait)
		}
		return
	}
}

// A router begins to read the store, which refuses it alone, and hears from another one
// that there is news. Waiting for its own watch, which is about to tell the same where
// the store answers, would leave a runner that is about to go in its list for two
// seconds.
func TestNewReaderPullsUntilTheStoreAnswers(t *testing.T) {
	f, now := NewFollower(1, DefaultTiming()), time.Unix(0, 0)
	f.Step(Listed{Now: now, Objects: []topo.Object{chatAt(2)}, Version: 2})
	f.Step(StoreReadingSwitched{Now: now, On: false})
	f.Step(StoreReadingSwitched{Now: now, On: true})
	for _, e := range f.Step(SummaryReceived{Now: now, Peer: "a", Summary: Summary{Version: 3, CompleteUpTo: 3}}) {
		if _, ok := e.(SendQuery); ok {
			return
		}
	}
	t.Error("the router does not ask for the news")
}

// A listing comes back empty, as from a store that has lost its memory or serves
// another fleet. What is in force stays in force: no operator takes everything back
// at once, and callers would be told that nothing is served here.
func TestEmptyListingRemovesNothing(t *testing.T) {
	f, now := NewFollower(1, DefaultTiming()), time.Unix(0, 0)
	f.Step(Listed{Now: now, Version: 1, Whole: true})
	if !f.Ready() {
		t.Error("a store without configuration keeps the router from following it")
	}
	f.Step(Listed{Now: now, Objects: []topo.Object{chatAt(2)}, Version: 2, Whole: true})
	f.Step(Listed{Now: now, Version: 3, Whole: true})
	if f.set.Len() != 1 {
		t.Errorf("%d objects are in force, want the one that was", f.set.Len())
	}
}

// All routers start after a loss of power, and a thousand routes lie in the store: half
// a second of a small router's link. It learns of a stronger one that has read them and
// hands them on in a twentieth. As long as its own listing goes on beside that, both
// take the whole time, and its callers wait or are refused.
func TestListingIsCancelledWhenAnotherRouterReads(t *testing.T) {
	f, now := NewFollower(1, DefaultTiming()), time.Unix(0, 0)
	now = now.Add(DefaultTiming().PeerWait)
	f.Step(Ticked{Now: time.Unix(0, 0)})
	if got := f.Step(Ticked{Now: now}); !slices.Contains(got, Effect(List{})) {
		t.Fatalf("no listing is begun: %v", got)
	}
	if got := f.Step(StoreReadingSwitched{Now: now}); !slices.Contains(got, Effect(CancelCall{})) {
		t.Fatalf("the listing goes on: %v", got)
	}
	f.Step(CallCancelled{Now: now})
	f.Step(PeersChanged{Now: now, Peers: []Peer{"reader"}})
	f.Step(SummaryReceived{Now: now, Peer: "reader", Summary: Summary{Version: 2, CompleteUpTo: 2}})
	f.Step(QueryAnswered{Now: now, Peer: "reader", Delta: Delta{Objects: []topo.Object{chatAt(2)}, Summary: Summary{Version: 2, CompleteUpTo: 2}}})
	if f.Set().HeldVersion(chatRef) != 2 || !f.Ready() {
		t.Errorf("version %d is held, ready %v", f.Set().HeldVersion(chatRef), f.Ready())
	}
	if got := f.Step(StoreReadingSwitched{Now: now, On: true}); !slices.Contains(got, Effect(List{})) {
		t.Errorf("it does not list the store when it is to read again: %v", got)
	}
}
