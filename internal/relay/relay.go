// Package relay lets a few routers read the platform's store on behalf of many. The
// routers of a region choose the reader without an election: it is the first live
// router in a fixed ranking. The others subscribe to it, directly or through one router
// of their failure domain, and receive small heartbeats that say how far the reader has
// followed the store and how old that state is. A router that receives nothing fresh
// reads the store itself, so a wrong view of which routers are alive costs extra store
// calls but never delays configuration.
//
// State is the reducer of one router. It is pure: its caller sends the messages, reads
// the store when told to, and pulls missing objects from the parent that State chooses.
// State may assume of a fresh message that the sender's state was confirmed by the
// store at most Age before the message was sent.
package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/parsleyfront/parsleyfront/internal/config"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Set identifies one of the sets of objects that routers follow.
type Set uint8

// The sets.
const (
	SetConfig Set = iota
	SetMembers
	setCount
)

// Sets holds one value for each Set.
type Sets[T any] [setCount]T

// Router identifies a router to other routers.
type Router struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Addr   string `cbor:"2,keyasint" json:"addr"` // for messages and calls, host:port
	Domain string `cbor:"3,keyasint" json:"domain"`
	// Capacity is a rough measure of the router's processor and link. The strongest
	// routers read the store: reading a large configuration costs as much as hundreds
	// of requests, and the reader sends it over its link once for each router that
	// pulls it.
	Capacity int `cbor:"4,keyasint" json:"capacity"`
}

// Progress is how far a router has followed one set.
type Progress struct {
	Summary config.Summary `cbor:"1,keyasint"`
	// Age is the time since the store confirmed that nothing newer existed, in
	// milliseconds. Negative: unknown.
	Age int64 `cbor:"2,keyasint"`
	// SinceRecovery is the time since the store answered again after an outage, in
	// milliseconds. Negative: no recent outage.
	SinceRecovery int64 `cbor:"3,keyasint"`
}

// Heartbeat is the message that a router sends to its subscribers.
type Heartbeat struct {
	From Router `cbor:"1,keyasint"`
	// Path lists the routers that the ages have passed through since they were read
	// from the store, starting with the router that read them. It is empty if the
	// sender read them itself. Without Path, routers that have lost the store would
	// follow each other in a cycle until the state known to one of them exceeds MaxAge.
	Path []string `cbor:"4,keyasint,omitempty"`
	// StoreFailing is set by a sender that is to read the store and gets no answer from
	// it, while no other router reads in its place, so its state only ages. Routers
	// that merely relay that state don't set it; otherwise the whole region would start
	// to read at once.
	StoreFailing bool           `cbor:"5,keyasint,omitempty"`
	Progress     Sets[Progress] `cbor:"2,keyasint"`
}

// Subscribe requests heartbeats from a router. Without WantHeartbeats it only announces
// its sender.
type Subscribe struct {
	From           Router `cbor:"1,keyasint"`
	WantHeartbeats bool   `cbor:"2,keyasint"`
	// AtOnce requests the first heartbeat at once, also from a router that takes the sender
	// for a subscriber already: the sender may have restarted since it subscribed.
	AtOnce bool `cbor:"3,keyasint,omitempty"`
}

// Report carries data other than the sets. A subscriber sends what it has observed to
// its parent; a parent sends its summary to its subscribers. State does not inspect the
// payload.
type Report struct {
	From    string `cbor:"1,keyasint"`
	Payload []byte `cbor:"2,keyasint"`
	// IsSummary is set on a report from a parent to a subscriber.
	IsSummary bool `cbor:"3,keyasint,omitempty"`
}

// Timing holds the intervals and timeouts of a State.
type Timing struct {
	// HeartbeatInterval is the interval of heartbeats to subscribers while nothing
	// changes.
	HeartbeatInterval time.Duration
	// ReportInterval is the interval at which routers send each other Reports.
	ReportInterval time.Duration
	// HeartbeatTimeout is the time without a heartbeat after which a parent counts as
	// lost.
	HeartbeatTimeout time.Duration
	// PullTimeout is how long a parent may be ahead of this router before it is given
	// up because pulls from it bring nothing.
	PullTimeout time.Duration
	// MaxAge is the greatest age of a parent's state at which this router still follows
	// it.
	MaxAge time.Duration
	// Stagger is added once, twice or three times to MaxAge, HeartbeatTimeout and
	// PullTimeout on routers that are not the next in rank to read the store. Without
	// it all routers would give up a reader at the same moment, and each would list the
	// whole store.
	Stagger time.Duration
	// RenewInterval is how often a subscription is renewed. A subscription lasts three
	// times as long.
	RenewInterval time.Duration
	// SuspectTime is how long a router that did not answer is not tried again.
	SuspectTime time.Duration
	// StartWait is how long a router that has just started waits for another one to follow
	// before it reads the store. A router that finds itself among the first candidatesAtOnce
	// in rank waits for a shorter time, the first one not at all.
	StartWait time.Duration
}

// maxReportInterval limits the interval of Reports. In a region with several failure
// domains, a report takes four hops, and loads change within one or two seconds. With
// half a second at each hop, load reports arrived so late that routers assumed three
// times the mean running load five seconds after a surge.
const maxReportInterval = 90 * time.Millisecond

// TimingFor returns the Timing with which a change accepted by the store is in force
// within bound. A parent that stops sending heartbeats is given up after
// HeartbeatTimeout, a third of the bound, and a parent whose state grows old after
// MaxAge, nearly three quarters. Reading the store then takes some hundredths of a
// second. If this router follows another parent instead and pulls from that one fail,
// PullTimeout, a fifth of the bound, is added to MaxAge: a pull takes milliseconds, and
// a tenth of a second on a small VM that applies a thousand routes. A reader gets an
// answer from the store at least every half of the bound and sends it on within
// HeartbeatInterval, an eighth of the bound. StartWait covers the listing of the store by
// the first router in rank and two pulls, to the first routers of the failure domains and
// to the others.
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
		StartWait:         bound / 10,
	}
}

// maxFlatRouters is the greatest number of routers in a region that all subscribe to
// the reader directly. In a larger region the routers of a failure domain share one
// subscription, so that a router sends to no more than the other routers of its failure
// domain and the first of each failure domain.
const maxFlatRouters = 33

// rank is a router's position in the order in which routers are to read the store: the
// highest capacity first, then by a hash of the name. All routers compute the same
// order.
type rank struct {
	capacity int
	hash     uint64
	name     string
}

func rankOf(router Router) rank {
	return rank{capacity: router.Capacity, hash: xxh3.HashString(router.Name), name: router.Name}
}

// compare returns a negative number if a router of rank r reads the store in preference
// to one of rank other.
func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(other.capacity, r.capacity), cmp.Compare(r.hash, other.hash), cmp.Compare(r.name, other.name))
}

// peer is another router and its last known state.
type peer struct {
	router          Router
	rank            rank
	heartbeat       Heartbeat
	heartbeatAt     time.Time // zero: no heartbeat was received
	lastSeen        time.Time // when it last sent a message or was first listed
	subscribedAt    time.Time // when the last subscription was sent to it
	unansweredSince time.Time // time of the oldest subscription without a heartbeat; zero: none
	unpulledSince   time.Time // since when it is ahead of this router; zero: it is not
	suspectUntil    time.Time // it is not tried until then
	subscribedUntil time.Time // its subscription to this router ends then
}

// byRank compares peers by rank.
func byRank(a, b *peer) int {
	return a.rank.compare(b.rank)
}

// State is one router's view of the other routers of its region.
type State struct {
	self   Router
	rank   rank
	timing Timing
	peers  map[string]*peer // of the router's region, by name
	sorted []*peer          // all peers, by rank
	// listVersion is the number of changes to the list of peers.
	listVersion int

	startedAt     time.Time       // time of the first event
	parent        *peer           // the router that this one follows; nil: none
	registerRead  bool            // the register of routers was read
	reading       bool            // this router reads the store
	storeFailing  bool            // the store does not answer this router
	own           Sets[Progress]  // of this router; the ages are those of its own reading of the store
	ownAsOf       time.Time       // when own was last updated; its ages are relative to this time
	confirmed     Sets[time.Time] // when the store confirmed that the state held here was the newest; zero: never
	resumedAt     time.Time       // end of the last suspension; ages from before are invalid
	nextHeartbeat time.Time
	nextReport    time.Time
	published     Sets[config.Summary] // in the last heartbeat
	publishedAt   Sets[time.Time]      // when published was confirmed to be the newest; zero: never
}

// New returns the State of a router that knows no other routers. Unless StartWait is
// positive, it starts by reading the store.
func New(self Router, t Timing) *State {
	s := &State{self: self, rank: rankOf(self), timing: t, peers: make(map[string]*peer), reading: t.StartWait <= 0}
	for i := range s.own {
		s.own[i] = Progress{Age: -1, SinceRecovery: -1}
	}
	return s
}

// Reading reports whether this router reads the store.
func (s *State) Reading() bool {
	return s.reading
}

// Parent returns the router that this one follows. It returns false if there is none.
func (s *State) Parent() (Router, bool) {
	if s.parent == nil {
		return Router{}, false
	}
	return s.parent.router, true
}

// ListedRouters returns the number of registered routers in the region, including this
// one, whether they answer or not. It returns zero until the register has been read.
func (s *State) ListedRouters() int {
	if !s.registerRead {
		return 0
	}
	return len(s.peers) + 1
}

// HasSubscribers reports whether another router is subscribed to this one.
func (s *State) HasSubscribers(now time.Time) bool {
	return slices.ContainsFunc(s.sorted, func(p *peer) bool { return now.Before(p.subscribedUntil) })
}

// StoreFails reports whether the store does not answer this router.
func (s *State) StoreFails() bool { return s.storeFailing }

// immediateSuccessors is how many routers, the next in rank, start to read the store as
// soon as the reader reports that the store does not answer it. The others wait until
// their state has grown old, so that only these few call a store that answers no router.
// If the store refuses a third of the routers, the reader and both successors are all
// refused once in 27 times.
const immediateSuccessors = 2

// forgetAfter is the time since a router was last seen after which it is removed.
// Hundreds of routers come and go in a day.
const forgetAfter = 10 * time.Minute

// forget removes peers that were not seen for forgetAfter, except the parent.
func (s *State) forget(now time.Time) {
	s.sorted = slices.DeleteFunc(s.sorted, func(p *peer) bool {
		expired := p != s.parent && now.Sub(p.lastSeen) > forgetAfter
		if expired {
			delete(s.peers, p.router.Name)
			s.listVersion++
		}
		return expired
	})
}

// recordPeer adds or updates the peer for n and marks it as seen. It returns nil for
// this router itself and for routers of other regions.
func (s *State) recordPeer(now time.Time, router Router) *peer {
	if router.Name == s.self.Name || topo.Region(router.Domain) != topo.Region(s.self.Domain) {
		return nil
	}
	p, newRank := s.peers[router.Name], rankOf(router)
	if p != nil && p.rank != newRank {
		s.sorted = slices.DeleteFunc(s.sorted, func(other *peer) bool { return other == p })
	}
	if p == nil {
		p = &peer{}
		s.peers[router.Name] = p
	}
	if p.rank != newRank {
		p.rank = newRank
		s.insertSorted(p)
	}
	if p.router != router {
		s.listVersion++
	}
	p.router, p.lastSeen = router, now
	return p
}

// ListVersion returns the number of changes that there have been to the result of Routers.
func (s *State) ListVersion() int {
	return s.listVersion
}

// Routers returns the other routers of the region that are known, whether they answer or not.
func (s *State) Routers() []Router {
	out := make([]Router, len(s.sorted))
	for i, p := range s.sorted {
		out[i] = p.router
	}
	return out
}

// insertSorted inserts a peer at the place of its rank. To sort all peers for each new one would take
// a router of a large fleet longer than the rest of its start.
func (s *State) insertSorted(p *peer) {
	at, _ := slices.BinarySearchFunc(s.sorted, p, byRank)
	s.sorted = slices.Insert(s.sorted, at, p)
}
