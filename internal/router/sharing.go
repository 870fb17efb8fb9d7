package router

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"github.com/parsleyfront/parsleyfront/internal/balance"
	"github.com/parsleyfront/parsleyfront/internal/suspects"
)

// sharingMessage is the state that routers share with each other, apart from the objects that
// they follow (the configuration and the entries of upstreams).
type sharingMessage struct {
	Pools []sharedPool `cbor:"1,keyasint,omitempty"`
	// Leaving holds the hashes of the ids of upstreams that have announced in responses that
	// they are leaving.
	Leaving []uint64 `cbor:"3,keyasint,omitempty"`
	// Crashes holds entries of crashes of upstreams with sidecars, as encoded by package quarantine.
	Crashes []byte `cbor:"4,keyasint,omitempty"`
	// Observed holds entries of crashes of upstreams without sidecars.
	Observed []byte `cbor:"5,keyasint,omitempty"`
	// Restrictions holds the requests that are refused or tried at upstreams without sidecars.
	Restrictions []byte `cbor:"7,keyasint,omitempty"`
	// Routers is the number of routers of the region that the sender knows.
	Routers int `cbor:"2,keyasint,omitempty"`
}

// sharedPool is the shared state of one pool's upstreams.
type sharedPool struct {
	Pool  uint32 `cbor:"1,keyasint"` // hash of its name
	Loads []byte `cbor:"3,keyasint,omitempty"`
	// Outcomes holds the outcomes of requests at upstreams.
	Outcomes []byte `cbor:"4,keyasint,omitempty"`
	// Speeds holds the stream slowdown of engines.
	Speeds []byte `cbor:"5,keyasint,omitempty"`
	// Demand holds what callers offer to the pool, as encoded by package demand.
	Demand []byte `cbor:"6,keyasint,omitempty"`
}

const (
	// reportInterval is how long a report is reused before it is built again: messages to many
	// routers are sent at the same moment.
	reportInterval = 20 * time.Millisecond
	// maxSharingBytes is up to how many bytes of pools are put into one message, because a
	// message is one datagram. A single pool always fits: it takes at most 1,000 bytes.
	maxSharingBytes = 1000
	// maxLeavingShared bounds how many leaving upstreams one message names, at 9 bytes each: the
	// latest ones. The others were named in earlier messages.
	maxLeavingShared = 24
	// maxCrashBytes bounds the entries of crashes in one message, and maxLeavingBesideCrashes the
	// leaving upstreams in such a message, so that it fits into one datagram.
	maxCrashBytes           = 200
	maxLeavingBesideCrashes = 8
	// demandReuse is how long messages with the demand for pools are reused: shorter than the
	// interval of reports to one subscriber, and longer than reports to all of them take.
	demandReuse = 80 * time.Millisecond
	// reportBytesPerSecond bounds the rate of reports to each subscriber. Of the 4 KB a second
	// that its control traffic may take, beats and its own reports need 1.2 KB.
	reportBytesPerSecond = 2800
)

// reportForSubscribers returns the report to this router's subscribers; nil: none now. If the
// pools do not fit into one message, successive reports cover them in turn.
func (m *mesh) reportForSubscribers(now time.Time) []byte {
	if now.Sub(m.lastReportAt) < reportInterval {
		return m.lastReport
	}
	if now.Before(m.nextReportAt) {
		return nil
	}
	m.lastReportAt = now
	pools := m.collectPools(func(p *Pool) balance.SharedState { return p.tracker.Summary(now, p.serving) })
	leaving := m.leavingUpstreams(true)
	crashes := m.crashesToShare(now)
	if len(pools) == 0 && len(leaving) == 0 && crashes.IsEmpty() {
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
	m.lastReport = m.encodeSharing(pools[:n], leaving, crashes)
	m.nextReportAt = now.Add(time.Duration(len(m.lastReport)) * time.Second / reportBytesPerSecond)
	return m.lastReport
}

// reportsForParent returns the report to the parent, as one or more messages.
func (m *mesh) reportsForParent(now time.Time) [][]byte {
	after := m.sharedAt
	m.sharedAt = now
	pools := m.collectPools(func(p *Pool) balance.SharedState { return p.tracker.Report(now, after, p.serving) })
	leaving := m.leavingUpstreams(false)
	crashes := m.crashesToShare(now)
	var out [][]byte
	for len(pools) > 0 || len(leaving) > 0 || !crashes.IsEmpty() {
		n := fittingPools(pools)
		out = append(out, m.encodeSharing(pools[:n], leaving, crashes))
		pools, leaving, crashes = pools[n:], nil, suspects.News{}
	}
	return out
}

// crashesToShare returns the entries of crashes for a report. The reports of the same moment, to the
// parent and to the subscribers, carry the same ones.
func (m *mesh) crashesToShare(now time.Time) suspects.News {
	if now.Sub(m.crashesAt) >= reportInterval {
		m.crashesAt = now
		m.crashes = m.router.suspects.Gossip(now, maxCrashBytes)
	}
	return m.crashes
}

// leavingUpstreams returns the hashes of upstreams of which other routers can't tell from the list that they leave: those
// that have announced it to this router in answers, and those whose announcement the store has lost to an earlier write.
// With includeReported, it adds those that other routers have reported.
func (m *mesh) leavingUpstreams(includeReported bool) []uint64 {
	vms := m.router.View().VMs
	var out []uint64
	for _, vm := range vms {
		if vm.Overtaken && len(out) < maxLeavingShared {
			out = append(out, xxh3.HashString(vm.ID))
		}
	}
	for _, id := range m.router.conditions.Leaving(includeReported) {
		if vm, listed := vms[id]; listed && !vm.Leaving && len(out) < maxLeavingShared {
			out = append(out, xxh3.HashString(id))
		}
	}
	return out
}

// mergeLeaving records the leaving upstreams that another router has reported.
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

// collectPools returns the state to share of each pool, in the order of their names.
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

// sharedOverhead is the size of a pool in a message beside its entries, in bytes.
const sharedOverhead = 16

// fittingPools returns how many of the first pools fit into one message, at least one.
func fittingPools(pools []sharedPool) int {
	size := 0
	for i, p := range pools {
		size += sharedOverhead + len(p.Loads) + len(p.Outcomes) + len(p.Speeds) + len(p.Demand)
		if size > maxSharingBytes && i > 0 {
			return i
		}
	}
	return len(pools)
}

// encodeSharing returns the encoded message; nil if it can't be encoded.
func (m *mesh) encodeSharing(pools []sharedPool, leaving []uint64, crashes suspects.News) []byte {
	if !crashes.IsEmpty() {
		leaving = leaving[:min(len(leaving), maxLeavingBesideCrashes)]
	}
	b, err := cbor.Marshal(sharingMessage{Pools: pools, Leaving: leaving, Crashes: crashes.Crashes, Observed: crashes.Observed, Restrictions: crashes.Restrictions, Routers: m.router.coldStart.routerCount(1)})
	if err != nil {
		slog.Error("the state to share with other routers could not be encoded", "error", err)
		return nil
	}
	return b
}

// shareSource is the relation of this router to the sender of a sharingMessage.
type shareSource uint8

const (
	fromParent     shareSource = iota // the sender is the parent
	fromSubscriber                    // the sender is a subscriber
)

// mergeSharing adds the state that another router has sent. Data that can't be decoded comes
// from a router of another release and is ignored, which only makes the loads less accurate.
func (m *mesh) mergeSharing(now time.Time, sender string, b []byte, from shareSource) {
	if len(b) == 0 {
		return
	}
	var s sharingMessage
	if err := cbor.Unmarshal(b, &s); err != nil {
		meshMalformed.Inc()
		return
	}
	if from == fromParent && s.Routers > 0 {
		m.router.coldStart.reportedRouters.Store(int64(s.Routers))
	}
	m.mergeLeaving(now, s.Leaving)
	if err := m.router.suspects.MergeNews(now, suspects.News{Crashes: s.Crashes, Observed: s.Observed, Restrictions: s.Restrictions}); err != nil {
		meshMalformed.Inc()
	}
	m.router.applyDecisionChanges()
	byHash := make(map[uint32]*Pool)
	for name, p := range m.router.View().Pools {
		byHash[shortHash(name)] = p
	}
	for _, shared := range s.Pools {
		p := byHash[shared.Pool]
		if p == nil {
			continue
		}
		merge := p.tracker.MergeSummary
		if from == fromSubscriber {
			merge = p.tracker.MergeReport
		}
		if err := merge(now, p.serving, balance.SharedState{Loads: shared.Loads, Outcomes: shared.Outcomes, Speeds: shared.Speeds}); err != nil {
			meshMalformed.Inc()
		}
		if err := p.mergeDemand(now, sender, shared.Demand, from); err != nil {
			meshMalformed.Inc()
		}
	}
}

// demandForSubscribers returns the messages with the demand for pools to this router's subscribers.
// They are reused for all subscribers, because package demand returns each summary once.
func (m *mesh) demandForSubscribers(now time.Time) [][]byte {
	if now.Sub(m.lastDemandAt) >= demandReuse {
		m.lastDemandAt = now
		m.lastDemand = m.demandMessages(func(p *Pool) []byte { return p.shedder.Summary(now) })
	}
	return m.lastDemand
}

// demandForParent returns the messages with the demand for pools to the parent.
func (m *mesh) demandForParent(now time.Time) [][]byte {
	return m.demandMessages(func(p *Pool) []byte { return p.shedder.Report(now) })
}

// demandMessages returns messages with the demand for the pools that may be short, apart from the
// reports of loads: a message that is too long for a datagram would lose both. Unless the sharing of
// pools is off, this router passes on what others report also of pools of which it gets no requests
// itself: without a summary of the root, each router would use its part of the pool only.
func (m *mesh) demandMessages(collect func(*Pool) []byte) [][]byte {
	if m.router.tuning.Load().SharePools == ShareNever {
		return nil
	}
	pools, root := m.router.View().Pools, m.router.isReportRoot()
	var shared []sharedPool
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		pools[name].shedder.SetRoot(root)
		if b := collect(pools[name]); b != nil {
			shared = append(shared, sharedPool{Pool: shortHash(name), Demand: b})
		}
	}
	var out [][]byte
	for len(shared) > 0 {
		n := fittingPools(shared)
		out = append(out, m.encodeSharing(shared[:n], nil, suspects.News{}))
		shared = shared[n:]
	}
	return out
}

// mergeDemand records what another router has reported of the demand for the pool.
func (p *Pool) mergeDemand(now time.Time, sender string, offered []byte, from shareSource) error {
	switch {
	case len(offered) == 0:
		return nil
	case from == fromSubscriber:
		return p.shedder.MergeReport(now, sender, offered)
	default:
		return p.shedder.MergeSummary(now, offered)
	}
}

// hearsAllLoads reports whether all other routers of the region report loads to this one. The
// tree of reports has its root at the router that reads the store.
func (r *Router) hearsAllLoads() bool {
	return r.mesh == nil || r.mesh.readsStore.Load()
}

// shortHash returns the short hash that identifies a pool in messages.
func shortHash(s string) uint32 {
	return uint32(xxh3.HashString(s))
}
