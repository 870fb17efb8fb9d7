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

// sharingMessage is what routers tell each other beside the sets that they follow.
type sharingMessage struct {
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
	// reportInterval is for how long what a router knows is not put together anew: messages to
	// many routers leave at the same moment.
	reportInterval = 20 * time.Millisecond
	// maxSharingBytes bounds what is shared in one message, in bytes: it travels as one
	// datagram. A pool's part takes at most 1,000.
	maxSharingBytes = 1000
	// maxLeavingShared bounds how many upstreams that leave one message names, 9 bytes each: those
	// that said so last. The others were named before.
	maxLeavingShared = 24
	// reportBytesPerSecond is how much of that a router is told, in bytes a second: of the 4 KB that
	// control may take, beats and what it tells itself need 1.2.
	reportBytesPerSecond = 2800
)

// reportForFollowers returns what this router tells those that rely on it: of all pools, or of those
// whose turn it is if they do not fit into one message; nil: nothing for now.
func (m *mesh) reportForFollowers(now time.Time) []byte {
	if now.Sub(m.lastReportAt) < reportInterval {
		return m.lastReport
	}
	if now.Before(m.nextReportAt) {
		return nil
	}
	m.lastReportAt = now
	pools := m.collectPools(func(p *Pool) balance.SharedState { return p.tracker.PackKnown(now, p.serving) })
	leaving := m.leavingUpstreams(true)
	if len(pools) == 0 && len(leaving) == 0 {
		m.lastReport = nil
		return nil
	}
	n := 0
	if len(pools) > 0 {
		m.nextPool %= len(pools)
		pools = append(pools[m.nextPool:], pools[:m.nextPool]...)
		n = fittingPools(pools)
		m.nextPool += n
	}
	m.lastReport = m.encodeSharing(pools[:n], leaving)
	m.nextReportAt = now.Add(time.Duration(len(m.lastReport)) * time.Second / reportBytesPerSecond)
	return m.lastReport
}

// reportsForReader returns what this router tells the one that it relies on, in messages.
func (m *mesh) reportsForReader(now time.Time) [][]byte {
	after := m.sharedAt
	m.sharedAt = now
	pools := m.collectPools(func(p *Pool) balance.SharedState { return p.tracker.PackObserved(now, after, p.serving) })
	leaving := m.leavingUpstreams(false)
	var out [][]byte
	for len(pools) > 0 || len(leaving) > 0 {
		n := fittingPools(pools)
		out = append(out, m.encodeSharing(pools[:n], leaving))
		pools, leaving = pools[n:], nil
	}
	return out
}

// leavingUpstreams returns the upstreams that have said that they leave, and of which the list does not
// say so: to this router, or also to those that have told it.
func (m *mesh) leavingUpstreams(includeReported bool) []uint64 {
	vms := m.router.View().VMs
	var out []uint64
	for _, id := range m.router.conditions.Leaving(includeReported) {
		if vm, listed := vms[id]; listed && !vm.Leaving && len(out) < maxLeavingShared {
			out = append(out, xxh3.HashString(id))
		}
	}
	return out
}

// mergeLeaving takes in which upstreams have told another router that they leave.
func (m *mesh) mergeLeaving(now time.Time, leaving []uint64) {
	if len(leaving) == 0 {
		return
	}
	for id := range m.router.View().VMs {
		if slices.Contains(leaving, xxh3.HashString(id)) {
			m.router.conditions.RecordReportedLeaving(now, id)
		}
	}
}

// collectPools returns what is to be told of each pool, in the order of their names.
func (m *mesh) collectPools(collect func(*Pool) balance.SharedState) []sharedPool {
	enabled := m.router.policy()
	pools := m.router.View().Pools
	var out []sharedPool
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		shared := collect(pools[name]).Allowed(enabled)
		if !shared.Empty() {
			out = append(out, sharedPool{Pool: shortHash(name), Loads: shared.Loads, Outcomes: shared.Outcomes, Speeds: shared.Speeds})
		}
	}
	return out
}

// sharedOverhead is what a pool takes in a message beside its entries, in bytes.
const sharedOverhead = 16

// fittingPools returns how many of the first pools fit into one message, one at least.
func fittingPools(pools []sharedPool) int {
	size := 0
	for i, p := range pools {
		size += sharedOverhead + len(p.Loads) + len(p.Outcomes) + len(p.Speeds)
		if size > maxSharingBytes && i > 0 {
			return i
		}
	}
	return len(pools)
}

// encodeSharing returns pools and those that leave as they travel.
func (m *mesh) encodeSharing(pools []sharedPool, leaving []uint64) []byte {
	b, err := cbor.Marshal(sharingMessage{Pools: pools, Leaving: leaving, Routers: m.router.coldStart.routerCount(1)})
	if err != nil {
		slog.Error("what is shared between routers cannot be encoded", "error", err)
		return nil
	}
	return b
}

// shareSource is who has told.
type shareSource uint8

const (
	fromReader   shareSource = iota // the router that this one relies on
	fromFollower                    // one that relies on this one
)

// mergeSharing takes in what another router has told. What cannot be read is of a router of
// another release, and only makes loads less well known.
func (m *mesh) mergeSharing(now time.Time, b []byte, from shareSource) {
	if len(b) == 0 {
		return
	}
	var s sharingMessage
	if err := cbor.Unmarshal(b, &s); err != nil {
		meshMalformed.Inc()
		return
	}
	if from == fromReader && s.Routers > 0 {
		m.router.coldStart.reportedRouters.Store(int64(s.Routers))
	}
	m.mergeLeaving(now, s.Leaving)
	byHash := make(map[uint32]*Pool)
	for name, p := range m.router.View().Pools {
		byHash[shortHash(name)] = p
	}
	for _, shared := range s.Pools {
		p := byHash[shared.Pool]
		if p == nil {
			continue
		}
		merge := p.tracker.MergeKnown
		if from == fromFollower {
			merge = p.tracker.MergeObserved
		}
		if err := merge(now, p.serving, balance.SharedState{Loads: shared.Loads, Outcomes: shared.Outcomes, Speeds: shared.Speeds}); err != nil {
			meshMalformed.Inc()
		}
	}
}

func shortHash(s string) uint32 {
	return uint32(xxh3.HashString(s))
}
