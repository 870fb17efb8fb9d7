package origins

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// copies is the number of holders of a stream. With two, two thirds of the streams of a fleet are
	// known to a router that is left when 60% of the routers are lost at once.
	copies = 2
	// askedPeers is how many routers that seem to be up are asked for a stream, and maxAsked how many in
	// all: routers that differ on which others are up, or that run in another failure domain than the one
	// that told, rank the holders a few places apart.
	askedPeers = 8
	maxAsked   = 16
	// checkInterval is how long nothing may be heard from a router before it is asked for a reply, and
	// replyTimeout how long that may take. Between routers of a busy fleet no reply need be asked for.
	checkInterval = 20 * time.Second
	replyTimeout  = time.Second
	// keeperCheckInterval is how often the keeper is asked for a reply, while it is sent records.
	keeperCheckInterval = 500 * time.Millisecond
)

// Peer is another router.
type Peer struct {
	Name, Addr, Domain string
}

// Peers ranks the other routers for each stream. Routers that know the same others, and find the same
// ones up, agree on the holders of a stream. It is safe for concurrent use.
type Peers struct {
	name   string // of this router
	domain string // the failure domain of this router

	mu     sync.Mutex
	byAddr map[string]*peer
}

// peer is what is known of another router.
type peer struct {
	Peer
	seed            uint64
	heardAt         time.Time // when something was last heard from it; zero: never
	checkedAt       time.Time // when it was last asked for a reply; zero: never
	unansweredSince time.Time // when it was first asked for the reply that is missing; zero: none is
}

// NewPeers returns the Peers of a router with a name in a failure domain, which knows no others yet.
func NewPeers(name, domain string) *Peers {
	return &Peers{name: name, domain: domain, byAddr: make(map[string]*peer)}
}

// Set replaces the routers that are known.
func (p *Peers) Set(routers []Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byAddr := make(map[string]*peer, len(routers))
	for _, r := range routers {
		known := p.byAddr[r.Addr]
		if known == nil || known.Peer != r {
			known = &peer{Peer: r, seed: xxh3.HashString(r.Name)}
		}
		byAddr[r.Addr] = known
	}
	p.byAddr = byAddr
}

// Len returns the number of other routers that are known.
func (p *Peers) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byAddr)
}

// Keeper returns the router that has records written to the store, and whether it is this one.
func (p *Peers) Keeper(now time.Time) (keeper Peer, isSelf bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := peer{Peer: Peer{Name: p.name, Domain: p.domain}, seed: xxh3.HashString(p.name)}
	first := place{peer: &own, score: own.score(keeperStream)}
	for _, q := range p.byAddr {
		candidate := place{peer: q, score: q.score(keeperStream)}
		if !q.isDown(now) && candidate.compare(first) < 0 {
			first = candidate
		}
	}
	return first.peer.Peer, first.peer == &own
}

// CheckKeeper reports whether the keeper at an address is to be asked for a reply now, and records that it is.
func (p *Peers) CheckKeeper(now time.Time, addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byAddr[addr]
	return known != nil && known.checkAfter(now, keeperCheckInterval)
}

// Heard records that something was heard from the router at an address.
func (p *Peers) Heard(now time.Time, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.byAddr[addr]; known != nil {
		known.heardAt, known.unansweredSince = now, time.Time{}
	}
}

// Tell returns the addresses of the holders of a stream, and of each whether it is to be asked for a reply.
// They are in other failure domains than this router, if there are enough that are up.
func (p *Peers) Tell(now time.Time, s Stream) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first []place // at most copies, in order
	for _, q := range p.byAddr {
		candidate := place{peer: q, reluctance: p.reluctance(now, q), score: q.score(s)}
		i, _ := slices.BinarySearchFunc(first, candidate, place.compare)
		if i < copies {
			first = slices.Insert(first, i, candidate)
			first = first[:min(copies, len(first))]
		}
	}
	out := make(map[string]bool, copies)
	for _, holder := range first {
		out[holder.peer.Addr] = holder.peer.check(now)
	}
	return out
}

// place is the place of a router in the order of a stream.
type place struct {
	peer       *peer
	reluctance int // see Peers.reluctance; zero in the order in which routers are asked
	score      uint64
}

func (a place) compare(b place) int {
	return cmp.Or(cmp.Compare(a.reluctance, b.reluctance), cmp.Compare(a.score, b.score), cmp.Compare(a.peer.Addr, b.peer.Addr))
}

// score returns the rank of the router for a stream; the lowest is the first.
func (q *peer) score(s Stream) uint64 {
	var key [streamBytes]byte
	binary.BigEndian.PutUint64(key[:], uint64(s))
	return xxh3.HashSeed(key[:], q.seed)
}

// reluctance orders the routers that may hold a stream: first those that are up in other failure domains.
func (p *Peers) reluctance(now time.Time, q *peer) int {
	switch {
	case q.isDown(now):
		return 2
	case q.Domain == p.domain:
		return 1
	default:
		return 0
	}
}

// Ask returns the addresses of the routers to ask for a stream.
func (p *Peers) Ask(now time.Time, s Stream) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	up := 0
	for _, q := range p.ranked(s) {
		if up == askedPeers || len(out) == maxAsked {
			break
		}
		if !q.isDown(now) {
			up++
		}
		out = append(out, q.Addr)
	}
	return out
}

// ranked returns all routers in the order of a stream.
func (p *Peers) ranked(s Stream) []*peer {
	places := make([]place, 0, len(p.byAddr))
	for _, q := range p.byAddr {
		places = append(places, place{peer: q, score: q.score(s)})
	}
	slices.SortFunc(places, place.compare)
	out := make([]*peer, len(places))
	for i, at := range places {
		out[i] = at.peer
	}
	return out
}

// isDown reports whether the router has left a question for a reply unanswered.
func (q *peer) isDown(now time.Time) bool {
	return !q.unansweredSince.IsZero() && now.Sub(q.unansweredSince) > replyTimeout
}

// check reports whether the router is to be asked for a reply now, and records that it is.
func (q *peer) check(now time.Time) bool {
	return now.Sub(q.heardAt) >= checkInterval && q.checkAfter(now, checkInterval)
}

// checkAfter is check for a router that may have been heard since, and was not asked within the interval.
func (q *peer) checkAfter(now time.Time, interval time.Duration) bool {
	if now.Sub(q.checkedAt) < interval {
		return false
	}
	q.checkedAt = now
	if q.unansweredSince.IsZero() {
		q.unansweredSince = now
	}
	return true
}
