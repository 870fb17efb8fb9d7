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

// A router that serves callers with its own configuration learns of another router that
// reads the store for all. If it became unready until it had received a summary from that
// router, it would refuse callers for some milliseconds.
func TestStaysReadyWhenAnotherRouterReadsStore(t *testing.T) {
	f, now := NewFollower(1, DefaultTiming()), time.Unix(0, 0)
	f.Step(Ticked{Now: now})
	f.Step(Listed{Now: now, Objects: []topo.Object{chatAt(2)}, Version: 2})
	if !f.Ready() {
		t.Fatal("the router is not ready after a listing")
	}
	f.Step(PeersChanged{Now: now, Peers: []Peer{"reader"}})
	f.Step(StoreReadingSwitched{Now: now})
	if !f.Ready() {
		t.Error("the router is no longer ready")
	}
}

// A router starts while the store is down, and the first sidecar that it queries has been
// disconnected for an hour. If the router were ready before it had compared several peers,
// it would serve callers by rules that are an hour old.
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

// A profile is deleted from the store by hand, created again and deleted again. A router lists
// the store between the two deletions. Its peer has seen the first deletion and, after the second
// one, a listing; when the router pulls all objects, it sends only the first deletion. If that
// counted as an object that the peer holds, the deleted profile would stay in force.
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

// The watches of routers A and B miss a change. Before the watch of router C has returned it, a
// sidecar that has its configuration from A reports to C that it is complete up to a version
// after the change, and sends no objects. If C continued its watch from that version, the change
// would be in force nowhere.
func TestPeersDoNotMoveTheWatch(t *testing.T) {
	f, now := NewFollower(1, DefaultTiming()), time.Unix(0, 0)
	f.peers = []Peer{"a"}
	f.Step(Listed{Now: now, Objects: []topo.Object{chatAt(2)}, Version: 5})
	f.startPull(now, "a", 2)
	f.Step(QueryAnswered{Now: now, Peer: "a", Delta: Delta{Summary: Summary{Version: 2, CompleteUpTo: 9}}})
	if f.set.CompleteUpTo() != 9 {
		t.Fatalf("complete up to %d, want the version that the peer claims", f.set.CompleteUpTo())
	}
	for _, e := range f.Step(Watched{Now: now, Since: 5, Page: topo.Page{Version: 5}}) {
		if w, ok := e.(Watch); ok && w.Since != 5 {
			t.Errorf("watches from %d, want from the version that the store has returned", w.Since)
		}
	}
}

// A router that has its configuration from another one begins to read a store that keeps
// everything in one object and does not report deletions. A route that is missing there must
// be removed, or callers would be served by a rule that operators have withdrawn. Unchanged
// objects keep their versions, because nodes compare by version.
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
		t.Error("an object that the store does not hold is in force")
	}
	if v := f.set.HeldVersion(ref("stays")); v != 3 {
		t.Errorf("the unchanged object is at version %d, want 3", v)
	}
	if v := f.set.HeldVersion(ref("new")); v != 9 || f.set.CompleteUpTo() != 9 {
		t.Errorf("the new object is at version %d and the set is complete up to %d, want 9", v, f.set.CompleteUpTo())
	}
	f.phase = phaseWatching
	f.Step(Watched{Now: now, Since: 9, Page: topo.Page{Version: 12, Whole: true}})
	if _, ok := f.set.Get(ref("stays")); !ok || f.set.CompleteUpTo() != 12 {
		t.Error("a watch without changes removed an object")
	}
}

// An operator adds hundreds of routes in one change. They all have the same version, and are
// more than the usual size of a piece of a pull. If the piece ended between them, the next one
// would begin after their version: callers of the other routes would get 404 for as long as the
// router runs.
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
	effects := to.Step(PeersChanged{Now: now, Peers: []Peer{"from"}})
	for range many {
		var next []Effect
		for _, e := range effects {
			if query, ok := e.(SendQuery); ok {
				next = append(next, to.Step(QueryAnswered{Now: now, Peer: "from", Delta: from.set.Answer(query.Query)})...)
			}
		}
		effects = next
	}
	if n := to.set.Len(); n != many {
		t.Errorf("%d of %d objects were pulled", n, many)
	}
}

// answerAll answers the queries of a follower from another one until it sends no more.
func answerAll(to, from *Follower, now time.Time, effects []Effect) {
	for len(effects) > 0 {
		effects = answerOnce(to, from, now, effects)
	}
}

// answerOnce answers the queries of a follower from another one and returns the effects of
// the answers.
func answerOnce(to, from *Follower, now time.Time, effects []Effect) []Effect {
	var next []Effect
	for _, e := range effects {
		if query, ok := e.(SendQuery); ok {
			next = append(next, to.Step(QueryAnswered{Now: now, Peer: query.Peer, Delta: from.set.Answer(query.Query)})...)
		}
	}
	return next
}

// Three upstreams are removed from the store one after the other, and each time another
// router has taken over as the parent. It detects the removal in its listing, which contains no
// deletions. Its subscribers must learn of each removal at once: if the bound on pulls of all
// objects delayed them, they would send requests to removed upstreams for up to a minute. The
// same holds if the peer that is queried for all objects stops answering.
func TestRemovalsFoundByListingArePulledAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	upstream := func(i int, v topo.Version) topo.Object {
		return topo.Object{Ref: topo.Ref{Kind: "upstreams", Name: fmt.Sprint(i)}, Version: v, Value: value(i)}
	}
	timing := DefaultTiming()
	timing.Relayed = true
	parent, to := NewFollower(1, timing), NewFollower(2, timing)
	parent.Step(Listed{Now: now, Objects: []topo.Object{upstream(1, 1), upstream(2, 2), upstream(3, 3), upstream(4, 4)}, Version: 4})
	to.Step(Ticked{Now: now})
	to.Step(StoreReadingSwitched{Now: now})
	answerAll(to, parent, now, to.Step(PeersChanged{Now: now, Peers: []Peer{"reader"}}))
	left := []topo.Object{upstream(2, 2), upstream(3, 3), upstream(4, 4)}
	for gone := 1; gone <= 3; gone++ {
		now = now.Add(2 * time.Second)
		version := topo.Version(4 + gone)
		parent.Step(Listed{Now: now, Objects: left, Version: version})
		parent.set.Apply(Batch{Objects: []topo.Object{upstream(4, version)}, Claim: &Claim{To: version}})
		left = left[1:]
		summary := parent.set.Summary()
		first := to.Step(SummaryReceived{Now: now, Peer: "lost", Summary: summary})
		answerOnce(to, parent, now, first) // the query for all objects that follows is not answered
		to.Step(QueryFailed{Now: now, Peer: "lost"})
		now = now.Add(timing.PullInterval)
		answerAll(to, parent, now, to.Step(SummaryReceived{Now: now, Peer: "reader", Summary: summary}))
		if _, listed := to.set.Get(upstream(gone, 1).Ref); listed {
			t.Errorf("upstream %d is still listed", gone)
		}
		if to.set.Version() != summary.Version {
			t.Errorf("after removal %d: up to version %d, want %d", gone, to.set.Version(), summary.Version)
		}
	}
}

// After a power failure of all routers, two of them, "before" and "after", read the whole
// configuration from the store, just before and just after a change that removes a route.
// "after" has never held that route and has no deletion to send. A third router has pulled from
// "before" and now pulls from "after": the route must be removed, or callers are served by it
// indefinitely. Unchanged routes must be the same at all routers that read the store, so that
// nothing is pulled because of them.
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
		t.Fatalf("%d routes from the first reader, want 2", n)
	}
	now = now.Add(time.Second)
	answerAll(to, after, now, to.Step(SummaryReceived{Now: now, Peer: "after", Summary: after.set.Summary()}))
	if _, held := to.set.Get(route("goes", 0, 0).Ref); held {
		t.Error("a removed route is in force")
	}
	late := NewFollower(4, timing)
	late.Step(Listed{Now: now, Whole: true, Version: 230, Objects: []topo.Object{route("stays", 2, 224)}})
	if late.set.Summary().Digest != after.set.Summary().Digest {
		t.Error("two readers of the same configuration have different digests")
	}
}

// A router whose calls to the store fail waits for its next attempt. When another of its
// calls is answered, it tries again at once, since a change that it lacks may be in force.
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
		t.Errorf("effects %v, want one call to the store", effects)
	}
	f.Step(Watched{Now: now, Since: 2, Page: topo.Page{Version: 2}})
	if effects := f.Step(StoreReachable{Now: now}); len(effects) > 0 {
		t.Errorf("a working watch is interrupted: %v", effects)
	}
}

// The router that reads the store for others pauses after each change, and its next watch
// finds nothing new. The store must not answer it less often than without the pause:
// otherwise the other routers would take it for disconnected and all read the store.
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
			t.Errorf("the store does not answer for %v, want at most %v", silence, timing.WatchWait)
		}
		return
	}
}

// A router begins to read the store, which refuses only this router, and learns from a peer
// that there is a change. If it waited for its own watch, as it does while the store answers it,
// it would keep an upstream that is about to leave in its list for two seconds (pullDelay).
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
	t.Error("the router does not query the peer for the change")
}

// A listing is empty, as from a store that has lost its data or serves another fleet. The
// configuration must stay in force: operators do not remove everything at once, and callers
// would be told that nothing is served here.
func TestEmptyListingRemovesNothing(t *testing.T) {
	f, now := NewFollower(1, DefaultTiming()), time.Unix(0, 0)
	f.Step(Listed{Now: now, Version: 1, Whole: true})
	if !f.Ready() {
		t.Error("the router is not ready with a store without configuration")
	}
	f.Step(Listed{Now: now, Objects: []topo.Object{chatAt(2)}, Version: 2, Whole: true})
	f.Step(Listed{Now: now, Version: 3, Whole: true})
	if f.set.Len() != 1 {
		t.Errorf("%d objects are in force, want 1", f.set.Len())
	}
}

// All routers start after a power failure, and the store holds a thousand routes, which take
// a small router's link half a second. The router learns of one with more capacity that has
// read them and sends them in a twentieth of the bytes. If its own listing continued, the
// transfer would take as long as the listing and its callers would wait or be refused.
func TestListingIsCancelledWhenAnotherRouterReads(t *testing.T) {
	f, now := NewFollower(1, DefaultTiming()), time.Unix(0, 0)
	now = now.Add(DefaultTiming().PeerWait)
	f.Step(Ticked{Now: time.Unix(0, 0)})
	if got := f.Step(Ticked{Now: now}); !slices.Contains(got, Effect(List{})) {
		t.Fatalf("no listing was started: %v", got)
	}
	if got := f.Step(StoreReadingSwitched{Now: now}); !slices.Contains(got, Effect(CancelCall{})) {
		t.Fatalf("the listing was not cancelled: %v", got)
	}
	f.Step(CallCancelled{Now: now})
	f.Step(PeersChanged{Now: now, Peers: []Peer{"reader"}})
	f.Step(SummaryReceived{Now: now, Peer: "reader", Summary: Summary{Version: 2, CompleteUpTo: 2}})
	f.Step(QueryAnswered{Now: now, Peer: "reader", Delta: Delta{Objects: []topo.Object{chatAt(2)}, Summary: Summary{Version: 2, CompleteUpTo: 2}}})
	if f.Set().HeldVersion(chatRef) != 2 || !f.Ready() {
		t.Errorf("version %d is held, want 2; ready: %v, want true", f.Set().HeldVersion(chatRef), f.Ready())
	}
	if got := f.Step(StoreReadingSwitched{Now: now, On: true}); !slices.Contains(got, Effect(List{})) {
		t.Errorf("the store is not listed when reading is switched on again: %v", got)
	}
}
