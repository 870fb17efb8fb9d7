package config

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// wholeWorld simulates a store with a configuration that is written and read as a whole, and
// routers that read it or pull it from one another.
type wholeWorld struct {
	t       *rapid.T
	now     time.Time
	history []configuration // history[i] is in force at version i; nil routes: none yet
	written []topo.Version  // when it was written
	nodes   []*Follower
	reads   []topo.Version // the store's version at the last reading, by node
	queries []pendingQuery
	delayed []delayedAnswer
}

// delayedAnswer is the answer to a query that has not arrived yet.
type delayedAnswer struct {
	to     int
	answer QueryAnswered
}

func newWholeWorld(t *rapid.T, nodes int) *wholeWorld {
	w := &wholeWorld{t: t, now: time.Unix(0, 0), history: []configuration{{}}, written: []topo.Version{0}}
	timing := DefaultTiming()
	timing.Relayed = true
	for i := range nodes {
		f := NewFollower(uint64(i), timing)
		f.set.maxPieceBytes = 3 * objectOverheadBytes
		w.nodes = append(w.nodes, f)
		w.reads = append(w.reads, 0)
	}
	return w
}

func (w *wholeWorld) version() topo.Version { return topo.Version(len(w.history) - 1) }

// write changes, adds or removes a few routes, often back to what they were.
func (w *wholeWorld) write() {
	last := w.history[w.version()]
	next := configuration{edition: last.edition + 2, routes: make(map[string]string)}
	for i := range 3 {
		name := fmt.Sprint("route-", i)
		switch rapid.IntRange(0, 4).Draw(w.t, name) {
		case 0:
		case 1:
			next.routes[name] = "1"
		case 2:
			next.routes[name] = "2"
		default:
			if value, ok := last.routes[name]; ok {
				next.routes[name] = value
			}
		}
	}
	if last.drained == nil && rapid.IntRange(0, 3).Draw(w.t, "drain") == 0 {
		next.drained = []string{"a"}
	}
	w.history = append(w.history, next)
	w.written = append(w.written, w.version())
}

// writeElsewhere changes what is no part of the configuration.
func (w *wholeWorld) writeElsewhere() {
	w.history = append(w.history, w.history[w.version()])
	w.written = append(w.written, w.written[len(w.written)-1])
}

func (w *wholeWorld) node() int { return rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, "node") }

// read delivers the configuration at a version since the last reading: the answer to a watch may
// leave out what was replaced before it was sent.
func (w *wholeWorld) read() {
	i := w.node()
	v := topo.Version(rapid.IntRange(int(w.reads[i]), int(w.version())).Draw(w.t, "version"))
	objects := w.history[v].objects(w.written[v])
	if w.written[v] == 0 {
		return
	}
	if w.reads[i] == 0 || rapid.Bool().Draw(w.t, "list") {
		w.step(i, Listed{Now: w.now, Objects: objects, Version: v, Whole: true})
	} else {
		page := topo.Page{Version: v}
		if w.written[v] > w.reads[i] {
			page.Whole, page.Objects = true, objects
		}
		w.step(i, Watched{Now: w.now, Since: w.reads[i], Page: page})
	}
	w.reads[i] = v
}

func (w *wholeWorld) hear() {
	i, from := w.node(), w.node()
	if i != from {
		w.step(i, SummaryReceived{Now: w.now, Peer: peerOf(from), Summary: w.nodes[from].set.Summary()})
	}
}

// send lets a peer answer a query. The answer arrives later.
func (w *wholeWorld) send() {
	if len(w.queries) == 0 {
		return
	}
	q := w.queries[0]
	w.queries = w.queries[1:]
	for i, f := range w.nodes {
		if peerOf(i) == q.query.Peer {
			answer := QueryAnswered{Peer: q.query.Peer, Delta: f.set.Answer(q.query.Query)}
			w.delayed = append(w.delayed, delayedAnswer{to: q.from, answer: answer})
		}
	}
}

// receive delivers or drops an answer.
func (w *wholeWorld) receive() {
	if len(w.delayed) == 0 {
		return
	}
	d := w.delayed[0]
	w.delayed = w.delayed[1:]
	if rapid.IntRange(0, 9).Draw(w.t, "lost") == 0 {
		w.step(d.to, QueryFailed{Now: w.now, Peer: d.answer.Peer})
		return
	}
	d.answer.Now = w.now
	w.step(d.to, d.answer)
}

func (w *wholeWorld) step(i int, e Event) {
	w.now = w.now.Add(TickInterval)
	for _, effect := range w.nodes[i].Step(e) {
		if query, ok := effect.(SendQuery); ok {
			w.queries = append(w.queries, pendingQuery{from: i, query: query})
		}
	}
}

// check runs after every step: a node that claims to be complete holds exactly what the store
// held at that version, but for newer objects.
func (w *wholeWorld) check(*rapid.T) {
	for i, f := range w.nodes {
		upTo := f.set.CompleteUpTo()
		if upTo == 0 {
			continue
		}
		want := make(map[topo.Ref]string)
		for _, o := range w.history[upTo].objects(w.written[upTo]) {
			want[o.Ref] = string(o.Value)
		}
		for ref := range want {
			o, held := f.set.Get(ref)
			if f.set.HeldVersion(ref) <= upTo && (!held || string(o.Value) != want[ref]) {
				w.t.Fatalf("node %d claims to be complete up to %d but holds %s as %q at %d, want %q", i, upTo, ref, o.Value, f.set.HeldVersion(ref), want[ref])
			}
		}
		f.set.Objects(func(o topo.Object) {
			if _, exists := want[o.Ref]; !exists && o.Version <= upTo {
				w.t.Fatalf("node %d claims to be complete up to %d but holds %s at %d, which is gone", i, upTo, o.Ref, o.Version)
			}
		})
	}
}

// Routers read a configuration that is written as a whole, skip some of its versions, and pull
// from each other. A change that is taken back must end at all of them: if a router takes an
// object from a skipped version for the newest one, it serves callers by it until the object
// changes again.
func TestChangeThatIsTakenBackEndsAtAllRouters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWholeWorld(t, 3)
		t.Repeat(map[string]func(*rapid.T){
			"":          w.check,
			"write":     func(*rapid.T) { w.write() },
			"elsewhere": func(*rapid.T) { w.writeElsewhere() },
			"read":      func(*rapid.T) { w.read() },
			"hear":      func(*rapid.T) { w.hear() },
			"send":      func(*rapid.T) { w.send() },
			"receive":   func(*rapid.T) { w.receive() },
			"wait":      func(*rapid.T) { w.now = w.now.Add(fullPullInterval) },
		})
	})
}

// The router that reads the store stands still and misses a change, which another one reads.
// When it goes on, the change has been taken back. The other router follows it again and must
// not keep the change.
func TestRouterThatMissedAChangeDoesNotKeepItInForceElsewhere(t *testing.T) {
	former := configuration{edition: 5, routes: map[string]string{"book": `1`}}
	present := configuration{edition: 7, routes: map[string]string{"book": `2`}}
	again := configuration{edition: 9, routes: former.routes}
	first, second := newTestFollower(), newTestFollower()
	for _, f := range []*testFollower{first, second} {
		f.list(former, 5, 5)
	}
	second.list(present, 7, 7)
	first.list(again, 9, 9)
	pullAll := func(to, from *testFollower) {
		to.now = to.now.Add(fullPullInterval)
		answerAll(to.Follower, from.Follower, to.now, to.Step(SummaryReceived{Now: to.now, Peer: "peer", Summary: from.set.Summary()}))
	}
	second.Step(StoreReadingSwitched{Now: second.now})
	pullAll(second, first)
	second.check(t, again.routes)
	pullAll(first, second)
	first.check(t, again.routes)
	if first.set.Summary().Digest != second.set.Summary().Digest {
		t.Error("the two routers hold other objects")
	}
}

// Routers that follow the one that reads the store get each change as a difference. A pull of the
// whole configuration for each change would take the link of a small router.
func TestChangesThatNobodySkipsArePulledAlone(t *testing.T) {
	reader, to := newTestFollower(), newTestFollower()
	to.Step(StoreReadingSwitched{Now: to.now})
	sent := 0
	for i := range 6 {
		c := configuration{edition: int64(5 + 2*i), routes: map[string]string{"changed": fmt.Sprint(i % 2)}}
		for j := range 50 {
			c.routes[fmt.Sprint("route-", j)] = `1`
		}
		written := topo.Version(10 * (i + 1))
		if i == 0 {
			reader.list(c, written, written+3)
		} else {
			reader.Step(Watched{Now: reader.now, Since: written - 7, Page: topo.Page{Objects: c.objects(written), Version: written + 3, Whole: true}})
		}
		to.now = to.now.Add(time.Second)
		effects := to.Step(SummaryReceived{Now: to.now, Peer: "reader", Summary: reader.set.Summary()})
		for len(effects) > 0 {
			var next []Effect
			for _, e := range effects {
				query, ok := e.(SendQuery)
				if !ok {
					continue
				}
				d := reader.set.Answer(query.Query)
				if i > 0 {
					sent += len(d.Objects)
				}
				next = append(next, to.Step(QueryAnswered{Now: to.now, Peer: "reader", Delta: d})...)
			}
			effects = next
		}
		to.check(t, c.routes)
	}
	if want := 2 * 5; sent != want {
		t.Errorf("%d objects were sent for 5 changes of one route, want %d: the route and the edition", sent, want)
	}
}

// A drain order is withdrawn and given again while a router stands still. Its peers know of the
// withdrawal, so the order must be sent to them as new.
func TestOrderGivenAgainIsSentAsNew(t *testing.T) {
	f := newTestFollower()
	order := topo.Object{Ref: topo.Ref{Kind: topo.KindDomainDrain, Name: "a"}, Value: json.RawMessage(`{}`)}
	c := configuration{edition: 5, routes: map[string]string{"book": `1`}}
	list := func(order topo.Object, version topo.Version) {
		f.Step(Listed{Now: f.now, Objects: append(c.objects(5), order), Version: version, Whole: true})
	}
	order.Version = 6
	list(order, 6)
	order.Version = 8
	list(order, 9)
	if v := f.set.HeldVersion(order.Ref); v != 8 {
		t.Errorf("the order is held at version %d, want 8", v)
	}
}
