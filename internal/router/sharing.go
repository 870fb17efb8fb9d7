package router

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"github.com/parsleyfront/parsleyfront/internal/balance"
)

// sharing is what routers tell each other beside the sets that they follow.
type sharing struct {
	Pools []sharedPool `cbor:"1,keyasint,omitempty"`
	// Leaving are upstreams that have said in answers that they leave, by hashes of their ids.
	Leaving []uint64 `cbor:"3,keyasint,omitempty"`
	// Routers is how many routers of the region the sender knows.
	Routers int `cbor:"2,keyasint,omitempty"`
}

// sharedPool is the loads of one pool's upstreams.
type sharedPool struct {
	Pool  uint32 `cbor:"1,keyasint"` // hash of its name
	Loads []byte `cbor:"3,keyasint,omitempty"`
	// Outcomes is how requests went at upstreams.
	Outcomes []byte `cbor:"4,keyasint,omitempty"`
	// Speeds is how fast engines work.
	Speeds []byte `cbor:"5,keyasint,omitempty"`
}

const (
	// tellEvery is for how long what a router knows is not put together anew: messages to
	// many routers leave at the same moment.
	tellEvery = 20 * time.Millisecond
	// sharingMost bounds what is shared in one message, in bytes: it travels as one
	// datagram. A pool's part takes at most 1,000.
	sharingMost = 1000
	// leavingMost bounds how many upstreams that leave one message names, 9 bytes each: those
	// that said so last. The others were named before.
	leavingMost = 24
	// tellRate is how much of that a router is told, in bytes a second: of the 4 KB that
	// control may take, beats and what it tells itself need 1.2.
	tellRate = 2800
)

// known returns what this router tells those that rely on it: of all pools, or of those
// whose turn it is if they do not fit into one message; nil: nothing for now.
func (m *mesh) known(now time.Time) []byte {
	if now.Sub(m.toldAt) < tellEvery {
		return m.told
	}
	if now.Before(m.tellNext) {
		return nil
	}
	m.toldAt = now
	pools := m.pools(func(p *Pool) balance.SharedState { return p.tracker.PackKnown(now, p.serving) })
	leaving := m.leaving(true)
	if len(pools) == 0 && len(leaving) == 0 {
		m.told = nil
		return nil
	}
	n := 0
	if len(pools) > 0 {
		m.turn %= len(pools)
		pools = append(pools[m.turn:], pools[:m.turn]...)
		n = fitting(pools)
		m.turn += n
	}
	m.told = m.pack(pools[:n], leaving)
	m.tellNext = now.Add(time.Duration(len(m.told)) * time.Second / tellRate)
	return m.told
}

// heard returns what this router tells the one that it relies on, in messages.
func (m *mesh) heard(now time.Time) [][]byte {
	after := m.sharedAt
	m.sharedAt = now
	pools := m.pools(func(p *Pool) balance.SharedState { return p.tracker.PackObserved(now, after, p.serving) })
	leaving := m.leaving(false)
	var out [][]byte
	for len(pools) > 0 || len(leaving) > 0 {
		n := fitting(pools)
		out = append(out, m.pack(pools[:n], leaving))
		pools, leaving = pools[n:], nil
	}
	return out
}

// leaving returns the upstreams that have said that they leave, and of which the list does not
// say so: to this router, or also to those that have told it.
func (m *mesh) leaving(told bool) []uint64 {
	vms := m.router.View().VMs
	var out []uint64
	for _, id := range m.router.conditions.Leaving(told) {
		if vm, listed := vms[id]; listed && !vm.Leaving && len(out) < leavingMost {
			out = append(out, xxh3.HashString(id))
		}
	}
	return out
}

// takeLeaving takes in which upstreams have told another router that they leave.
func (m *mesh) takeLeaving(now time.Time, leaving []uint64) {
	if len(leaving) == 0 {
		return
	}
	for id := range m.router.View().VMs {
		if slices.Contains(leaving, xxh3.HashString(id)) {
			m.router.conditions.RecordReportedLeaving(now, id)
		}
	}
}

// pools returns what is to be told of each pool, in the order of their names.
func (m *mesh) pools(of func(*Pool) balance.SharedState) []sharedPool {
	on := m.router.policy()
	pools := m.router.View().Pools
	var out []sharedPool
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		shared := of(pools[name]).Allowed(on)
		if !shared.Empty() {
			out = append(out, sharedPool{Pool: shortHash(name), Loads: shared.Loads, Outcomes: shared.Outcomes, Speeds: shared.Speeds})
		}
	}
	return out
}

// sharedOverhead is what a pool takes in a message beside its entries, in bytes.
const sharedOverhead = 16

// fitting returns how many of the first pools fit into one message, one at least.
func fitting(pools []sharedPool) int {
	size := 0
	for i, p := range pools {
		size += sharedOverhead + len(p.Loads) + len(p.Outcomes) + len(p.Speeds)
		if size > sharingMost && i > 0 {
			return i
		}
	}
	return len(pools)
}

// pack returns pools and those that leave as they travel.
func (m *mesh) pack(pools []sharedPool, leaving []uint64) []byte {
	b, err := cbor.Marshal(sharing{Pools: pools, Leaving: leaving, Routers: m.router.warming.routers(1)})
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
	if from == fromReader && s.Routers > 0 {
		m.router.warming.told.Store(int64(s.Routers))
	}
	m.takeLeaving(now, s.Leaving)
	byHash := make(map[uint32]*Pool)
	for name, p := range m.router.View().Pools {
		byHash[shortHash(name)] = p
	}
	for _, told := range s.Pools {
		p := byHash[told.Pool]
		if p == nil {
			continue
		}
		merge := p.tracker.MergeKnown
		if from == fromFollower {
			merge = p.tracker.MergeObserved
		}
		if err := merge(now, p.serving, balance.SharedState{Loads: told.Loads, Outcomes: told.Outcomes, Speeds: told.Speeds}); err != nil {
			meshMalformed.Inc()
		}
	}
}

func shortHash(s string) uint32 {
	return uint32(xxh3.HashString(s))
}
