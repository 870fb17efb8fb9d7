package load

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// Routers that call upstreams directly exchange loads through their parent, the router that they
// subscribe to: each reports the loads that it has observed, and the parent publishes all that it
// knows. An entry is the short name of the upstream (2 bytes, big-endian), its load (1) and the
// age of the load (1).
//
// Entries name upstreams instead of numbering them by a list that both sides must have: during a
// rolling replacement of upstreams, routers have different lists much of the time.
const (
	// maxSharedEntries is the maximum number of loads in a message. For a larger pool, a message
	// contains the highest loads, which matter for the load bound, and the others in turn.
	maxSharedEntries = 160
	// sharedHighestLoads is the number of highest loads in each message about such a pool.
	sharedHighestLoads = 32
	// maxSharedAge is the age up to which a load is published.
	maxSharedAge = time.Second
	// ownReportPrecedence is how long a load that an upstream reported to this router takes
	// precedence over one from another router: about as long as that one took to arrive.
	ownReportPrecedence = 100 * time.Millisecond
	// sharedAgeUnit is the unit of the age of a load in messages.
	sharedAgeUnit = 10 * time.Millisecond

	sharedEntrySize   = 4
	maxSharedLoad     = 255
	maxSharedAgeUnits = 255
)

// ShortName returns the name of an upstream in messages between routers. Two upstreams of a pool
// rarely have the same short name. If they do, neither is included.
func (vm VM) ShortName() uint16 { return uint16(vm) }

// ShortNames returns the upstreams of a pool by short name, without those whose short name is not
// unique.
func ShortNames(members []VM) map[uint16]VM {
	byName := make(map[uint16]VM, len(members))
	var duplicates []uint16
	for _, vm := range members {
		if other, taken := byName[vm.ShortName()]; taken && other != vm {
			duplicates = append(duplicates, vm.ShortName())
		}
		byName[vm.ShortName()] = vm
	}
	for _, name := range duplicates {
		delete(byName, name)
	}
	return byName
}

// PackObserved returns the loads of members observed after the given time by this router or by
// its subscribers, or nil if there are none.
func (p *PoolLoad) PackObserved(now, after time.Time, members []VM) []byte {
	var observed []VM
	for _, vm := range members {
		if e := p.entries[vm]; e != nil && !e.fromParent && e.reportedAt.After(after) {
			observed = append(observed, vm)
		}
	}
	p.sortByLoad(now, observed)
	return p.pack(now, observed[:min(len(observed), maxSharedEntries)])
}

// PackKnown returns the known loads of members, or nil if there are none. If the pool does not
// fit into a message, it returns the highest loads, and of the others those that were sent least
// recently.
func (p *PoolLoad) PackKnown(now time.Time, members []VM) []byte {
	var known []VM
	for _, vm := range members {
		if e := p.entries[vm]; e != nil && !e.reportedAt.IsZero() && now.Sub(e.reportedAt) <= maxSharedAge {
			known = append(known, vm)
		}
	}
	if len(known) > maxSharedEntries {
		p.sortByLoad(now, known)
		slices.SortStableFunc(known[sharedHighestLoads:], func(a, b VM) int {
			return p.entries[a].sentAt.Compare(p.entries[b].sentAt)
		})
		known = known[:maxSharedEntries]
	}
	for _, vm := range known {
		p.entries[vm].sentAt = now
	}
	return p.pack(now, known)
}

func (p *PoolLoad) sortByLoad(now time.Time, vms []VM) {
	slices.SortStableFunc(vms, func(a, b VM) int { return cmp.Compare(p.Load(now, b), p.Load(now, a)) })
}

func (p *PoolLoad) pack(now time.Time, vms []VM) []byte {
	var b []byte
	for _, vm := range vms {
		e := p.entries[vm]
		age := min(max(now.Sub(e.reportedAt), 0)/sharedAgeUnit, maxSharedAgeUnits)
		b = binary.BigEndian.AppendUint16(b, vm.ShortName())
		b = append(b, e.sharedLoad(), byte(age))
	}
	return b
}

// sharedLoad returns the load as a byte, as it was when it was reported. The message contains its
// age, by which the receiver decays it.
func (e *upstreamLoad) sharedLoad() byte {
	return byte(min(max(e.own+e.others, 0), maxSharedLoad))
}

// MergeObserved records loads observed by a subscriber. They are included in PackObserved.
func (p *PoolLoad) MergeObserved(now time.Time, members []VM, packed []byte) error {
	return p.mergeEntries(now, members, packed, false)
}

// MergeKnown records loads published by the parent. A message with room for more names all
// upstreams that have reported a load within maxSharedAge, a full one only some of them.
func (p *PoolLoad) MergeKnown(now time.Time, members []VM, packed []byte) error {
	err := p.mergeEntries(now, members, packed, true)
	if err == nil && len(packed) > 0 && len(packed) < maxSharedEntries*sharedEntrySize {
		p.HearAll(now)
	}
	return err
}

func (p *PoolLoad) mergeEntries(now time.Time, members []VM, packed []byte, fromParent bool) error {
	if len(packed)%sharedEntrySize != 0 {
		return ErrMalformed
	}
	byName := ShortNames(members)
	for b := packed; len(b) > 0; b = b[sharedEntrySize:] {
		vm, ok := byName[binary.BigEndian.Uint16(b)]
		if !ok {
			continue
		}
		p.merge(now.Add(-time.Duration(b[3])*sharedAgeUnit), vm, int(b[2]), fromParent)
		if fromParent {
			p.hearSilence(now, p.entries[vm])
		}
	}
	p.recomputeTotals()
	return nil
}

// merge records a load observed at an earlier time, unless the known load is at least as new.
// Without the age, a load forwarded by three routers would replace a newer one.
func (p *PoolLoad) merge(at time.Time, vm VM, load int, fromParent bool) {
	e := p.entry(vm)
	if at.Sub(e.reportedAt) <= 0 || !e.fromParent && at.Sub(e.reportedAt) < ownReportPrecedence {
		return
	}
	p.Observe(at, vm, load)
	e.fromParent = fromParent
}
