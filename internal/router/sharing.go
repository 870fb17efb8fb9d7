package router

import (
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"github.com/parsleyfront/parsleyfront/internal/balance"
)

// sharing is what routers tell each other beside the sets that they follow.
type sharing struct {
	Pools []sharedPool `cbor:"1,keyasint,omitempty"`
}

// sharedPool is the loads of one pool's upstreams.
type sharedPool struct {
	Pool uint32 `cbor:"1,keyasint"` // hash of its name
	// List is a hash of the upstreams that serve. Loads are told by places in that
	// list, and mean nothing to a router that has another one.
	List  uint32 `cbor:"2,keyasint"`
	Loads []byte `cbor:"3,keyasint,omitempty"`
	// Outcomes is how requests went at upstreams, by place as well.
	Outcomes []byte `cbor:"4,keyasint,omitempty"`
}

// tellEvery is for how long what a router knows is not put together anew: beats to
// many routers leave at the same moment.
const tellEvery = 20 * time.Millisecond

// known returns what this router tells those that rely on it.
func (m *mesh) known(now time.Time) []byte {
	if now.Sub(m.toldAt) < tellEvery {
		return m.told
	}
	m.toldAt = now
	m.told = m.pack(func(p *Pool) balance.Shared { return p.tracker.Known(now, p.serving) })
	return m.told
}

// heard returns what this router tells the one that it relies on.
func (m *mesh) heard(now time.Time) []byte {
	after := m.sharedAt
	m.sharedAt = now
	return m.pack(func(p *Pool) balance.Shared { return p.tracker.Seen(now, after, p.serving) })
}

func (m *mesh) pack(of func(*Pool) balance.Shared) []byte {
	var s sharing
	on := m.router.policy()
	for name, p := range m.router.View().Pools {
		shared := of(p).Allowed(on)
		if shared.Loads != nil || shared.Outcomes != nil {
			s.Pools = append(s.Pools, sharedPool{Pool: shortHash(name), List: p.list, Loads: shared.Loads, Outcomes: shared.Outcomes})
		}
	}
	if len(s.Pools) == 0 {
		return nil
	}
	b, err := cbor.Marshal(s)
	if err != nil {
		slog.Error("what is shared between routers cannot be encoded", "error", err)
		return nil
	}
	return b
}

// sharer is who has told.
type sharer uint8

const (
	fromReader   sharer = iota // the router that this one relies on
	fromFollower               // one that relies on this one
)

// merge takes in what another router has told. What cannot be read is of a router of
// another release, and only makes loads less well known.
func (m *mesh) merge(now time.Time, b []byte, from sharer) {
	if len(b) == 0 {
		return
	}
	var s sharing
	if err := cbor.Unmarshal(b, &s); err != nil {
		meshMalformed.Inc()
		return
	}
	byHash := make(map[uint32]*Pool)
	for name, p := range m.router.View().Pools {
		byHash[shortHash(name)] = p
	}
	for _, told := range s.Pools {
		p := byHash[told.Pool]
		if p == nil || p.list != told.List {
			continue
		}
		merge := p.tracker.MergeKnown
		if from == fromFollower {
			merge = p.tracker.MergeSeen
		}
		if err := merge(now, p.serving, balance.Shared{Loads: told.Loads, Outcomes: told.Outcomes}); err != nil {
			meshMalformed.Inc()
		}
	}
}

func shortHash(s string) uint32 {
	return uint32(xxh3.HashString(s))
}
