package relay

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "600")
}

const (
	bound = 2 * time.Second
	step  = 20 * time.Millisecond
	// hop is how long a message or a pull takes.
	hop = step
	// watch is how long a watch of the store waits; it answers at once on news.
	watch = time.Second
	// refusedRetry is the pause after a refused call.
	refusedRetry = 250 * time.Millisecond
	// storeTimeout is how long a call of a store that does not answer takes.
	storeTimeout = 1300 * time.Millisecond
)

// world is routers that play by their States, a store, and what lies between.
type world struct {
	now     time.Time
	version topo.Version
	written []time.Time // when each version was accepted, by version
	nodes   []*testNode
	cut     map[[2]string]bool
	queue   []delivery
	loss    func() bool
	turns   int            // how often a router began or ceased to read the store
	shares  map[string]int // how often each router has shared what it heard; nil: not counted
	told    map[string]int // what routers that are relied on know, by who is told
}

// testNode is a router in the world.
type testNode struct {
	state   *State
	node    Router
	version topo.Version // that it knows, of both sets
	relies  Router
	reading bool

	frozen    bool
	mute      bool      // nobody can pull from it
	blind     bool      // it cannot reach the store
	refused   bool      // the store answers it at once that it will not serve it
	failures  int       // of calls in a row
	answered  time.Time // when the store answered it last
	calling   time.Time // when its present call of the store ends in a timeout; zero: none
	calls     int
	troubled  time.Time // when anything befell it last
	since     topo.Version
	watchedAt time.Time
}

type delivery struct {
	at time.Time
	to string
	e  func(now time.Time) Event
}

func newWorld(n, domains int) *world {
	w := &world{now: time.Unix(1000, 0), version: 1, cut: make(map[[2]string]bool), loss: func() bool { return false }}
	w.written = []time.Time{w.now, w.now}
	for i := range n {
		node := Router{Name: fmt.Sprintf("front-%d", i), Addr: fmt.Sprint(i), Domain: fmt.Sprintf("r/%d", i%domains)}
		w.nodes = append(w.nodes, &testNode{node: node, state: New(node, TimingFor(bound)), reading: true})
	}
	for _, n := range w.nodes {
		w.register(n)
	}
	return w
}

func (w *world) register(n *testNode) {
	var all []Router
	for _, o := range w.nodes {
		all = append(all, o.node)
	}
	w.act(n, n.state.Step(Registered{Now: w.now, Routers: all}))
}

func (w *world) find(name string) *testNode {
	for _, n := range w.nodes {
		if n.node.Name == name {
			return n
		}
	}
	return nil
}

func (w *world) act(n *testNode, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case SendHeartbeat:
			w.send(n, e.To, func(now time.Time) Event { return HeartbeatReceived{Now: now, Heartbeat: e.Heartbeat} })
		case SendSubscribe:
			w.send(n, e.To, func(now time.Time) Event { return SubscribeReceived{Now: now, Subscribe: e.Subscribe} })
		case SendReport:
			switch {
			case w.shares == nil:
			case e.Report.IsSummary:
				w.told[e.To.Name]++
			case e.To.Name == n.relies.Name:
				w.shares[n.node.Name]++
			}
		case SwitchStoreReading:
			n.reading = e.On
			w.turns++
			n.since = 0 // a listing, then watches
		case SetParent:
			n.relies = e.Parent
		case ParentProgress:
			w.pull(n, e)
		}
	}
}

func (w *world) send(from *testNode, to Router, e func(time.Time) Event) {
	if w.cut[pair(from.node.Name, to.Name)] || w.loss() {
		return
	}
	w.queue = append(w.queue, delivery{at: w.now.Add(hop), to: to.Name, e: e})
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// pull takes over what the parent has, unless the way is cut.
func (w *world) pull(n *testNode, e ParentProgress) {
	p := w.find(e.Parent.Name)
	if p.frozen || p.mute || w.cut[pair(n.node.Name, p.node.Name)] {
		return
	}
	if p.version > n.version {
		n.version = p.version
		w.followed(n)
	}
}

func (w *world) followed(n *testNode) {
	k := Progress{Summary: config.Summary{Version: n.version}, Age: -1, SinceRecovery: -1}
	if !n.answered.IsZero() {
		k.Age = w.now.Sub(n.answered).Milliseconds()
	}
	failing := n.reading && n.failures >= 2
	w.act(n, n.state.Step(ProgressUpdated{Now: w.now, Progress: Sets[Progress]{k, k}, StoreFailing: failing}))
}

// read plays a router's calls of the store.
func (w *world) read(n *testNode) {
	if !n.reading {
		n.calling, n.failures = time.Time{}, 0
		return
	}
	if n.calling.IsZero() {
		n.calls++
		n.calling = w.now.Add(storeTimeout)
		n.watchedAt = w.now
	}
	switch {
	case n.refused && w.now.Sub(n.watchedAt) >= refusedRetry, n.blind && !w.now.Before(n.calling):
		n.calling = time.Time{}
		n.failures++
	case n.refused, n.blind:
	case n.since == 0 || w.version > n.since || w.now.Sub(n.watchedAt) >= watch:
		n.since, n.version = w.version, max(n.version, w.version)
		n.answered, n.calling, n.failures = w.now, time.Time{}, 0
		w.followed(n)
	}
}

// advance lets the world go on for a step.
func (w *world) advance() {
	w.now = w.now.Add(step)
	due := w.queue
	w.queue = nil
	for _, d := range due {
		n := w.find(d.to)
		if w.now.Before(d.at) || n.frozen {
			w.queue = append(w.queue, d) // a frozen router reads it when it wakes
			continue
		}
		w.act(n, n.state.Step(d.e(w.now)))
	}
	for _, n := range w.nodes {
		if n.frozen {
			continue
		}
		w.read(n)
		w.followed(n)
		w.act(n, n.state.Step(Ticked{Now: w.now}))
	}
}

// stale returns a router that is in touch and does not know what the store
// accepted bound ago.
func (w *world) stale(calm time.Duration) *testNode {
	for _, n := range w.nodes {
		if n.frozen || n.blind || n.refused || w.now.Sub(n.troubled) < calm {
			continue
		}
		if next := int(n.version) + 1; next < len(w.written) && w.now.Sub(w.written[next]) > bound {
			return n
		}
	}
	return nil
}

func (w *world) write() {
	w.version++
	w.written = append(w.written, w.now)
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance()
	}
}

func (w *world) readers() int {
	n := 0
	for _, node := range w.nodes {
		if node.reading {
			n++
		}
	}
	return n
}

// On a calm day one router reads the store for all, and what is written is known
// everywhere at once. Were each to read it, calls would grow with the fleet and
// soon pass what the store serves.
func TestOneReadsForAll(t *testing.T) {
	for _, size := range []int{1, 2, 5, 28, 100} {
		w := newWorld(size, 4)
		w.run(5 * time.Second)
		if n := w.readers(); n != 1 {
			t.Errorf("%d of %d routers read the store", n, size)
		}
		w.write()
		w.run(10 * hop)
		for _, n := range w.nodes {
			if n.version != w.version {
				t.Errorf("%s of %d routers does not know after %v", n.node.Name, size, 10*hop)
			}
		}
	}
}

// Routers freeze and wake, lose their way to the store or to each other, and
// messages are lost, several at a time. A router that is in touch itself must
// know what the store has accepted within the bound, whoever it relied on: else
// its callers are served by routes and keys that were taken away.
func TestNobodyInTouchIsKeptInTheDark(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 7).Draw(t, "routers"), rapid.IntRange(1, 3).Draw(t, "domains"))
		lossy := rapid.IntRange(0, 10).Draw(t, "loss")
		luck := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "luck"), 0))
		w.loss = func() bool { return luck.IntN(100) < lossy }
		w.run(3 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "troubles") {
			w.trouble(t)
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				w.advance()
				if n := w.stale(3 * time.Second); n != nil {
					t.Fatalf("%s knows version %d, %d was written %v ago (reads: %v, relies on %q)",
						n.node.Name, n.version, n.version+1, w.now.Sub(w.written[n.version+1]), n.reading, n.relies.Name)
				}
			}
		}
	})
}

// trouble lets something befall the world, or end.
func (w *world) trouble(t *rapid.T) {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "who")]
	switch rapid.IntRange(0, 6).Draw(t, "trouble") {
	case 0:
		n.frozen, n.troubled = !n.frozen, w.now
	case 1:
		n.blind, n.troubled = !n.blind, w.now
	case 2:
		other := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "other")]
		p := pair(n.node.Name, other.node.Name)
		w.cut[p] = !w.cut[p]
	case 3: // calls get nowhere, messages do
		n.mute = !n.mute
	case 4:
		n.refused, n.troubled = !n.refused, w.now
	default:
		w.write()
	}
}

// What routers have heard of loads goes up to the one that they rely on at its own pace,
// and what that one knows comes down to each at the same. A router that reads the store
// itself has nobody to tell.
func TestFollowersShareAtTheirPace(t *testing.T) {
	w := newWorld(5, 1)
	w.run(5 * time.Second)
	w.shares, w.told = make(map[string]int), make(map[string]int)
	const turns = 8
	w.run(turns * TimingFor(bound).ReportInterval)
	for _, n := range w.nodes {
		if got := w.shares[n.node.Name]; n.reading && got > 0 || !n.reading && (got < turns-1 || got > turns) {
			t.Errorf("%s shares %d times in %d turns (reads: %v)", n.node.Name, got, turns, n.reading)
		}
		if got := w.told[n.node.Name]; n.reading && got > 0 || !n.reading && (got < turns-1 || got > turns) {
			t.Errorf("%s is told %d times in %d turns (reads: %v)", n.node.Name, got, turns, n.reading)
		}
	}
}

// Operators want configuration in force within seven seconds, so that a beat a second is
// enough for it. Loads are old by then: a load goes from a router to the reader and from
// there to all within a second, over the four hops of a region with domains.
func TestLoadsArriveWithinASecondHoweverLongTheBound(t *testing.T) {
	const hops = 4
	for _, bound := range []time.Duration{time.Second, 4 * time.Second, 7 * time.Second} {
		if worst := hops * TimingFor(bound).ReportInterval; worst > time.Second {
			t.Errorf("a bound of %v: a load is %v on its way", bound, worst)
		}
	}
}

// The reader loses the store while it reaches the others. Another one reads for
// all, the former reader relies on it, and neither relies on itself through the
// other.
func TestReaderThatLosesTheStoreIsReplaced(t *testing.T) {
	w := newWorld(5, 1)
	w.run(5 * time.Second)
	reader := w.nodes[slices.IndexFunc(w.nodes, func(n *testNode) bool { return n.reading })]
	reader.blind = true
	w.run(5 * time.Second)
	w.write()
	w.run(time.Second)
	for _, n := range w.nodes {
		if n.version != w.version {
			t.Errorf("%s does not know", n.node.Name)
		}
	}
	if n := w.readers(); n != 2 {
		t.Errorf("%d routers read the store: the new reader, and the former that goes on trying, make two", n)
	}
	turns := w.turns
	w.run(10 * time.Second)
	if w.turns != turns {
		t.Errorf("routers began or ceased to read %d times while nothing changed", w.turns-turns)
	}
	reader.blind = false
	w.run(10 * time.Second)
	if n := w.readers(); n != 1 {
		t.Errorf("%d routers read the store after it is back", n)
	}
}

// The store turns a third of the routers away, the one that reads for all among them,
// and a runner says at that moment that it leaves. Its requests go on until the
// routers know. Those that are turned away learn it from others: nobody waits until
// what the reader knew has grown too old, and nobody relies in a circle on those who
// rely on it.
func TestRefusedReaderSaysSo(t *testing.T) {
	const soon = bound / 2
	for _, size := range []int{3, 5, 21, 28, 100} {
		most := 0
		for seed := range uint64(200 / size) {
			w := newWorld(size, 4)
			luck := rand.New(rand.NewPCG(seed, 0))
			w.run(5 * time.Second)
			for _, n := range w.nodes {
				n.refused = n.reading || luck.IntN(3) == 0
			}
			if !slices.ContainsFunc(w.nodes, func(n *testNode) bool { return !n.refused }) {
				continue // the store answers nobody
			}
			w.run(5 * hop)
			w.write()
			turns := w.turns
			told := 0
			for end := w.now.Add(bound); w.now.Before(end); {
				w.advance()
				if w.now.Sub(w.written[w.version]) <= soon {
					told = w.knowing()
				}
			}
			if known := w.knowing(); known < size {
				t.Errorf("seed %d: %d of %d routers know after %v", seed, known, size, bound)
			}
			if told < size*9/10 {
				t.Errorf("seed %d: %d of %d routers know after %v", seed, told, size, soon)
			}
			most = max(most, w.turns-turns)
			if most > 24 {
				t.Errorf("seed %d: %d routers began or ceased to read %d times", seed, size, most)
			}
		}
	}
}

// The reader freezes for a moment, has lost its way to the store when it wakes, and
// nobody can pull from it, while its messages arrive. A router that relies on it waits
// until what it knew is too old, and then again until it is clear that nothing can be
// pulled: both together must fit into the bound.
func TestReaderThatIsOldAndMute(t *testing.T) {
	w := newWorld(4, 1)
	w.run(3040 * time.Millisecond)
	reader := w.nodes[slices.IndexFunc(w.nodes, func(n *testNode) bool { return n.reading })]
	reader.mute = true
	w.nodes[2].frozen, w.nodes[2].troubled = true, w.now
	w.run(2 * step)
	reader.frozen, reader.troubled = true, w.now
	w.write()
	w.run(3 * step)
	reader.blind = true
	w.run(2 * step)
	reader.frozen = false
	for range 2 * bound / step {
		w.advance()
		if n := w.stale(3 * time.Second); n != nil {
			t.Fatalf("%s does not know what was written %v ago", n.node.Name, w.now.Sub(w.written[n.version+1]))
		}
	}
}

// knowing counts the routers that know what was written last.
func (w *world) knowing() int {
	n := 0
	for _, node := range w.nodes {
		if node.version == w.version {
			n++
		}
	}
	return n
}

// The reader freezes just after it has told the others that all is well. A key is
// taken away at that moment; the others notice the silence long before what they
// know has grown too old.
func TestFrozenReaderIsNoticedByItsSilence(t *testing.T) {
	for phase := range 10 {
		w := newWorld(5, 1)
		w.run(5*time.Second + time.Duration(phase)*watch/10)
		reader := w.nodes[slices.IndexFunc(w.nodes, func(n *testNode) bool { return n.reading })]
		reader.frozen = true
		w.write()
		w.run(TimingFor(bound).HeartbeatTimeout + 5*hop)
		for _, n := range w.nodes {
			if n != reader && n.version != w.version {
				t.Fatalf("%s does not know after %v", n.node.Name, TimingFor(bound).HeartbeatTimeout+5*hop)
			}
		}
	}
}

// A thousand routers in twelve failure domains: none sends to more than those of
// its own domain and the first of each.
func TestFanOutIsBounded(t *testing.T) {
	const size, domains = 240, 12
	w := newWorld(size, domains)
	w.run(5 * time.Second)
	most := slices.MaxFunc(w.nodes, func(a, b *testNode) int { return cmp.Compare(a.subscribers(w.now), b.subscribers(w.now)) })
	if n := most.subscribers(w.now); n > size/domains+domains {
		t.Errorf("%s has %d subscribers", most.node.Name, n)
	}
}

func (n *testNode) subscribers(now time.Time) int {
	count := 0
	for _, p := range n.state.sorted {
		if now.Before(p.wants) {
			count++
		}
	}
	return count
}

// The router that reads the store for a large region is lost, or loses the store.
// Were all others to notice at the same moment, each would list the whole store.
// Few do, and everybody knows what is written meanwhile.
func TestLossOfTheReaderWakesFew(t *testing.T) {
	for _, size := range []int{5, 20, 28, 100} {
		for _, lost := range []string{"frozen", "blind"} {
			w := newWorld(size, 4)
			w.run(5 * time.Second)
			reader := w.nodes[slices.IndexFunc(w.nodes, func(n *testNode) bool { return n.reading })]
			reader.frozen, reader.blind = lost == "frozen", lost == "blind"
			before := w.turns
			w.write()
			w.run(bound)
			for _, n := range w.nodes {
				if n != reader && n.version != w.version {
					t.Errorf("%d routers, reader %s: %s does not know after %v", size, lost, n.node.Name, bound)
				}
			}
			w.run(3 * bound)
			if turns := w.turns - before; turns > 10 {
				t.Errorf("%d routers, reader %s: routers began or ceased to read %d times", size, lost, turns)
			}
		}
	}
}
