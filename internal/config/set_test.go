package config

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "1500")
	_ = flag.Set("rapid.steps", "60")
}

// world simulates a store with its whole history, and nodes that read it and query one another.
type world struct {
	t       *rapid.T
	now     time.Time
	log     []topo.Object // log[i] has version i+1
	nodes   []*Follower
	queries []pendingQuery
	inForce []map[topo.Ref]topo.Version // the highest version in force, by node
	hasGaps bool                        // watches may leave out changes
}

// sidecar is the index of the node without access to the store.
const sidecar = 1

// pendingQuery is a SendQuery that has not been delivered yet.
type pendingQuery struct {
	from  int
	query SendQuery
}

func newWorld(t *rapid.T, nodes int) *world {
	w := &world{t: t, now: time.Unix(0, 0)}
	for i := range nodes {
		f := NewFollower(uint64(i), DefaultTiming())
		if i == sidecar {
			f = NewSidecarFollower(uint64(i))
		}
		f.set.maxTombstones = 2
		f.set.maxPieceBytes = 3 * objectOverheadBytes
		w.nodes = append(w.nodes, f)
		w.inForce = append(w.inForce, make(map[topo.Ref]topo.Version))
	}
	return w
}

func value(id int) json.RawMessage {
	b, _ := Revision{Change: Change{ID: ChangeID(fmt.Sprint(id))}, Spec: json.RawMessage(`1`)}.Encode()
	return b
}

func (w *world) write() {
	ref := topo.Ref{Kind: topo.KindProfile, Name: fmt.Sprint(rapid.IntRange(0, 7).Draw(w.t, "object"))}
	o := topo.Object{Ref: ref, Version: topo.Version(len(w.log) + 1)}
	switch rapid.IntRange(0, 4).Draw(w.t, "write") {
	case 0:
		o.Deleted = true
	case 1:
		o.Value, _ = Revision{Change: Change{ID: "deletion"}}.Encode()
	default:
		o.Value = value(len(w.log))
	}
	w.log = append(w.log, o)
}

// at returns the objects that the store holds at a version.
func (w *world) at(v topo.Version) map[topo.Ref]topo.Object {
	out := make(map[topo.Ref]topo.Object)
	for _, o := range w.log[:v] {
		out[o.Ref] = o
		if o.Deleted {
			delete(out, o.Ref)
		}
	}
	return out
}

func (w *world) node() int {
	return rapid.IntRange(0, len(w.nodes)-1).Draw(w.t, "node")
}

func (w *world) router() int {
	return rapid.SampledFrom([]int{0, 2}).Draw(w.t, "router")
}

// replicaVersion draws a version of the store that a lagging replica may have.
func (w *world) replicaVersion() topo.Version {
	return topo.Version(rapid.IntRange(0, len(w.log)).Draw(w.t, "replica"))
}

func (w *world) list(i int, v topo.Version) {
	var objects []topo.Object
	for _, o := range w.at(v) {
		objects = append(objects, o)
	}
	w.step(i, Listed{Now: w.now, Objects: objects, Version: v})
}

func (w *world) watch(i int, v topo.Version) {
	since := w.nodes[i].set.CompleteUpTo()
	page := topo.Page{Version: v}
	if v > since {
		page.Objects = rapid.Permutation(w.log[since:v]).Draw(w.t, "events")
		if w.hasGaps && rapid.Bool().Draw(w.t, "gap") {
			page.Objects = page.Objects[len(page.Objects)/2:]
		}
	}
	w.step(i, Watched{Now: w.now, Since: since, Page: page})
}

// replay delivers old objects again, without a claim.
func (w *world) replay(i int) {
	if len(w.log) == 0 {
		return
	}
	from := rapid.IntRange(0, len(w.log)-1).Draw(w.t, "from")
	objects := slices.Clone(w.log[from:])
	slices.Reverse(objects)
	w.nodes[i].set.Apply(Batch{Objects: objects[:len(objects)/2], Raw: true})
}

// overtake applies a batch whose claim may begin after the version up to which the node is
// complete, as if the answer before it were still on its way.
func (w *world) overtake(i int) {
	from := w.replicaVersion()
	to := max(from, w.replicaVersion())
	w.nodes[i].set.Apply(Batch{Objects: w.log[from:to], Claim: &Claim{From: from, To: to}, Raw: true})
}

func (w *world) sendSummary(i, from int) {
	m := w.nodes[from].set.Summary()
	w.step(i, SummaryReceived{Now: w.now, Peer: peerOf(from), Summary: m})
}

func peerOf(i int) Peer { return Peer(fmt.Sprint(i)) }

// answer delivers or drops a pending query.
func (w *world) answer() {
	if len(w.queries) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.queries)-1).Draw(w.t, "question")
	q := w.queries[i]
	w.queries = slices.Delete(w.queries, i, i+1)
	if rapid.IntRange(0, 9).Draw(w.t, "lost") == 0 {
		w.step(q.from, QueryFailed{Now: w.now, Peer: q.query.Peer})
		return
	}
	w.deliver(q)
}

func (w *world) deliver(q pendingQuery) {
	for i, f := range w.nodes {
		if peerOf(i) == q.query.Peer {
			w.step(q.from, QueryAnswered{Now: w.now, Peer: q.query.Peer, Delta: f.set.Answer(q.query.Query)})
		}
	}
}

func (w *world) step(i int, e Event) {
	for _, effect := range w.nodes[i].Step(e) {
		if query, ok := effect.(SendQuery); ok {
			w.queries = append(w.queries, pendingQuery{from: i, query: query})
		}
	}
}

// check runs after every step: no object returns to an older version, and no node claims to
// be complete up to a version whose changes it lacks.
func (w *world) check(*rapid.T) {
	for i, f := range w.nodes {
		for ref := range w.inForce[i] {
			if o, ok := f.set.Get(ref); ok && o.Version < w.inForce[i][ref] {
				w.t.Fatalf("node %d: %s went back from %d to %d", i, ref, w.inForce[i][ref], o.Version)
			}
		}
		f.set.Objects(func(o topo.Object) { w.inForce[i][o.Ref] = o.Version })
		if w.hasGaps {
			continue
		}
		newest := make(map[topo.Ref]topo.Object)
		for _, o := range w.log[:f.set.CompleteUpTo()] {
			newest[o.Ref] = normalise(o)
		}
		for ref, o := range newest {
			_, ok := f.set.Get(ref)
			if f.set.HeldVersion(ref) > f.set.CompleteUpTo() {
				continue
			}
			if ok == o.Deleted || (ok && f.set.HeldVersion(ref) != o.Version) {
				w.t.Fatalf("node %d claims to be complete up to %d but holds %s at %d instead of %d", i, f.set.CompleteUpTo(), ref, f.set.HeldVersion(ref), o.Version)
			}
		}
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":         w.check,
		"write":    func(*rapid.T) { w.write() },
		"list":     func(*rapid.T) { w.list(w.router(), w.replicaVersion()) },
		"watch":    func(*rapid.T) { w.watch(w.router(), w.replicaVersion()) },
		"overtake": func(*rapid.T) { w.overtake(w.node()) },
		"replay":   func(*rapid.T) { w.replay(w.node()) },
		"hear":     func(*rapid.T) { w.sendSummary(w.node(), w.node()) },
		"answer":   func(*rapid.T) { w.answer() },
	}
}

// Routers receive their configuration from a lagging store, from watches whose events are
// repeated and in any order, and from peers that are behind. No former configuration may come
// back into force, and a node that claims to be complete must be, or an accepted change would
// be missing permanently.
func TestVersionsNeverDecreaseAndClaimsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		t.Repeat(w.actions())
	})
}

// A watch skips a change and continues as if nothing were missing. The change takes effect at
// most routers and, unless nodes compare their objects, never at one of them. Nodes at the same
// version must detect and repair the difference.
func TestGapsOfWatchesAreRepaired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3)
		w.hasGaps = true
		t.Repeat(w.actions())
		w.converge()
		want := w.at(topo.Version(len(w.log)))
		for i, f := range w.nodes {
			for ref, o := range want {
				if have, ok := f.set.Get(ref); ok == normalise(o).Deleted || (ok && have.Version != o.Version) {
					t.Fatalf("node %d has %s at %d, want %d", i, ref, have.Version, o.Version)
				}
			}
		}
	})
}

// converge lists the store at one router. Then all nodes compare with each other in turn, and
// the routers receive correct answers from the store: watches from where they are, and listings
// on request.
func (w *world) converge() {
	end := topo.Version(len(w.log))
	w.list(2, end)
	for range 4 * len(w.nodes) {
		w.now = w.now.Add(resyncInterval)
		for i, f := range w.nodes {
			for from := range w.nodes {
				w.sendSummary(i, from)
				for len(w.queries) > 0 {
					q := w.queries[0]
					w.queries = w.queries[1:]
					w.deliver(q)
				}
			}
			if i == sidecar {
				continue
			}
			since := f.set.CompleteUpTo()
			w.step(i, Watched{Now: w.now, Since: since, Page: topo.Page{Version: end, Objects: w.log[since:]}})
			if f.listNext || since == 0 {
				w.list(i, end)
			}
		}
	}
}
