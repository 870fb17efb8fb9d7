// Package relay lets few routers read the platform's store for many. The routers
// of a region agree without a vote on who reads: the first of a fixed order that
// is alive. The others subscribe to it, directly or through one of their failure
// domain, and hear in small messages how far the reader is and how old that
// knowledge is. Who hears nothing fresh reads the store itself, so that being
// wrong about who is alive costs calls and never time.
//
// State is the reducer of one router. It is pure: the role that runs it sends its
// messages, reads the store when told to, and pulls what it lacks from the parent
// that it is told of. What it may assume of a message: a fresh one comes from a
// router whose knowledge was true at most Age before it was sent.
package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Set names one of the sets of objects that routers follow.
type Set uint8

// The sets.
const (
	SetConfig Set = iota
	SetMembers
	setCount
)

// Sets is something for each of the sets.
type Sets[T any] [setCount]T

// Router is a router as others know it.
type Router struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Addr   string `cbor:"2,keyasint" json:"addr"` // of its messages and calls, host:port
	Domain string `cbor:"3,keyasint" json:"domain"`
	// Capacity is a rough measure of the router's processor and link. The strongest
	// read the store: a large configuration costs the reader as much as hundreds of
	// requests, and goes over its link once for each that pulls it.
	Capacity int `cbor:"4,keyasint" json:"capacity"`
}

// Progress is how far a router follows one set.
type Progress struct {
	Summary config.Summary `cbor:"1,keyasint"`
	// Age is how long ago the store confirmed that nothing newer existed, in
	// milliseconds; negative: not known.
	Age int64 `cbor:"2,keyasint"`
	// SinceRecovery is how long ago the store answered again after an outage, in
	// milliseconds; negative: there was none lately.
	SinceRecovery int64 `cbor:"3,keyasint"`
}

// Heartbeat is what a router tells its subscribers.
type Heartbeat struct {
	From Router `cbor:"1,keyasint"`
	// Path names the routers that the ages have come through since they were read
	// from the store, the one that read them first; empty: the sender itself. Without
	// it routers that lost the store would rely on each other in a circle, until what
	// one of them knew before has grown too old.
	Path []string `cbor:"4,keyasint,omitempty"`
	// StoreFailing tells that the store does not answer the sender, which is to read it, and
	// nobody else does in its place: what it knows only grows older. Those who only
	// pass that on do not say so, or a whole region would read at once.
	StoreFailing bool           `cbor:"5,keyasint,omitempty"`
	Progress     Sets[Progress] `cbor:"2,keyasint"`
}

// Subscribe asks a router for its beats. One without Wanted only makes its sender
// known.
type Subscribe struct {
	From           Router `cbor:"1,keyasint"`
	WantHeartbeats bool   `cbor:"2,keyasint"`
}

// Report tells what the sender has heard beside the sets, to the router that it relies
// on, or what it knows, to its subscribers. A State does not look at it.
type Report struct {
	From    string `cbor:"1,keyasint"`
	Payload []byte `cbor:"2,keyasint"`
	// IsSummary tells that the sender is relied on.
	IsSummary bool `cbor:"3,keyasint,omitempty"`
}

// Timing is the times of a State.
type Timing struct {
	// HeartbeatInterval is how often subscribers hear of what has not changed.
	HeartbeatInterval time.Duration
	// ReportInterval is how often routers tell each other what they know beside the sets.
	ReportInterval time.Duration
	// HeartbeatTimeout is after how long without a beat a parent counts as gone.
	HeartbeatTimeout time.Duration
	// PullTimeout is for how long a parent may know what this router has not pulled from it.
	PullTimeout time.Duration
	// MaxAge is how old knowledge may be of which a router relies on a parent.
	MaxAge time.Duration
	// Stagger is added to Fresh and Silence for those that are not the next to read,
	// once, twice or three times. Without it all would give up a reader at the same
	// moment, and each would list the whole store.
	Stagger time.Duration
	// RenewInterval is how often a subscription is renewed. It lasts three times as long.
	RenewInterval time.Duration
	// SuspectTime is how long a router that did not answer is not tried again.
	SuspectTime time.Duration
}

// maxReportInterval is how often routers tell each other what they know beside the sets. It goes
// over four hops in a region of several failure domains, and loads change within a second
// or two: at a hop each half second they were known so late that routers believed in three
// times the mean of what ran, five seconds after a surge.
const maxReportInterval = 90 * time.Millisecond

// TimingFor returns the Timing that keeps what the store has accepted within
// bound of being in force. A parent that falls silent is noticed after a third of
// it, and one whose knowledge grows old after nearly three quarters; reading the
// store then takes some hundredths of a second. If the next parent cannot be pulled
// from, a fifth is left to find that out: a pull takes milliseconds, and a tenth of a
// second where a small machine takes in a thousand routes. A reader hears of the store at
// least every half of the bound and passes that on an eighth of it later.
func TimingFor(bound time.Duration) Timing {
	return Timing{
		HeartbeatInterval: bound / 8,
		ReportInterval:    min(bound/8, maxReportInterval),
		HeartbeatTimeout:  bound / 3,
		PullTimeout:       bound / 5,
		MaxAge:            bound * 70 / 100,
		Stagger:           bound * 6 / 100,
		RenewInterval:     bound / 2,
		SuspectTime:       3 * bound,
	}
}

// maxFlatRouters is up to how many routers of a region subscribe to its reader
// directly. Beyond it those of a failure domain share one subscription, so that no
// router sends to more than the others of its failure domain and the first of each.
const maxFlatRouters = 33

// rank ranks routers for who reads, the lowest first: by capacity, and then by a
// hash of their names. All routers agree on it.
type rank struct {
	capacity int
	hash     uint64
	name     string
}

func rankOf(n Router) rank {
	return rank{capacity: n.Capacity, hash: xxh3.HashString(n.Name), name: n.Name}
}

// compare returns a negative number if a router of order o is to read before one
// of order p.
func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(other.capacity, r.capacity), cmp.Compare(r.hash, other.hash), cmp.Compare(r.name, other.name))
}

// peer is another router and what has been heard of it.
type peer struct {
	router          Router
	rank            rank
	heartbeat       Heartbeat
	heartbeatAt     time.Time // zero: no beat was heard
	lastSeen        time.Time // when anything was heard of it
	subscribedAt    time.Time // when a subscription was sent last
	unansweredSince time.Time // since when one has brought no beat; zero: none is open
	unpulledSince   time.Time // since when it knows what this router could not pull; zero: it does not
	suspectUntil    time.Time // until when it is not tried
	subscribedUntil time.Time // until when it is subscribed to this router
}

// byRank sorts peers by who is to read first.
func byRank(a, b *peer) int {
	return a.rank.compare(b.rank)
}

// State is what one router knows of the others.
type State struct {
	self   Router
	rank   rank
	timing Timing
	peers  map[string]*peer // of the router's region, by name
	sorted []*peer

	parent        *peer // whom this router relies on; nil: its own reading
	registerRead  bool  // the register was read
	reading       bool  // the store is read by this router now
	storeFailing  bool  // and does not answer it
	own           Sets[Progress]
	ownAsOf       time.Time // when own was true
	nextHeartbeat time.Time
	nextReport    time.Time
	published     Sets[config.Summary] // in the last beat
	publishedAt   Sets[time.Time]      // when that was known to be the newest; zero: it was not
}

// New returns the State of a router that knows of no other. It reads the store.
func New(self Router, t Timing) *State {
	s := &State{self: self, rank: rankOf(self), timing: t, peers: make(map[string]*peer), reading: true}
	for i := range s.own {
		s.own[i] = Progress{Age: -1, SinceRecovery: -1}
	}
	return s
}

// Reading reports whether this router reads the store.
func (s *State) Reading() bool {
	return s.reading
}

// Parent returns the router that this one relies on, if it does.
func (s *State) Parent() (Router, bool) {
	if s.parent == nil {
		return Router{}, false
	}
	return s.parent.router, true
}

// ListedRouters is how many routers of the region are listed, this one included, whether they
// answer or not; zero: the register was not read yet.
func (s *State) ListedRouters() int {
	if !s.registerRead {
		return 0
	}
	return len(s.peers) + 1
}

// immediateSuccessors is how many routers, those next in order, take the place of a reader as soon
// as it says that the store does not answer it. If the store answers nobody, few have
// tried in vain; the others wait until what they know has grown old. Of nodes that a
// store refuses by thirds, all of three are among them once in 27 times.
const immediateSuccessors = 2

// forgetAfter is after how long without a word a router is forgotten. They come
// and go by the hundred in a day.
const forgetAfter = 10 * time.Minute

// forget drops the routers that have not been heard of for long.
func (s *State) forget(now time.Time) {
	s.sorted = slices.DeleteFunc(s.sorted, func(p *peer) bool {
		expired := p != s.parent && now.Sub(p.lastSeen) > forgetAfter
		if expired {
			delete(s.peers, p.router.Name)
		}
		return expired
	})
}

// recordPeer takes in that a router exists.
func (s *State) recordPeer(now time.Time, n Router) *peer {
	if n.Name == s.self.Name || topo.Region(n.Domain) != topo.Region(s.self.Domain) {
		return nil
	}
	p := s.peers[n.Name]
	if p == nil {
		p = &peer{}
		s.peers[n.Name] = p
		s.sorted = append(s.sorted, p)
	}
	if o := rankOf(n); p.rank != o {
		p.rank = o
		slices.SortFunc(s.sorted, byRank)
	}
	p.router, p.lastSeen = n, now
	return p
}
