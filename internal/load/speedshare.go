package load

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// Routers tell each other how fast engines work as they tell loads. An entry is the short
// name of an engine (2 bytes, big-endian), events (1) and how long their pauses were, in
// parts of the usual one (1).
const (
	speedEntrySize = 4
	// maxReportedSpeeds is how many engines a report names, those with most events.
	maxReportedSpeeds = 96
	// maxSummarySpeeds is how many engines are told to all, the slowest, and slowTold from how
	// many times the usual pause on one is told.
	maxSummarySpeeds   = 48
	minSummarySlowdown = 1.5
	// intervalScale is how many steps of a told pause make the usual one.
	intervalScale = 15
)

// Report returns what was seen since the last report, for the router that this one
// relies on; nil: nothing.
func (s *Speed) Report(members []VM) []byte {
	var seen []VM
	for _, vm := range members {
		if s.unreported[vm].count > 0 {
			seen = append(seen, vm)
		}
	}
	slices.SortStableFunc(seen, func(a, b VM) int { return cmp.Compare(s.unreported[b].count, s.unreported[a].count) })
	var b []byte
	for _, vm := range seen[:min(len(seen), maxReportedSpeeds)] {
		b = appendEvents(b, vm, s.unreported[vm])
	}
	clear(s.unreported)
	return b
}

// MergeReport takes in what another router reports. It goes on with the next Report.
func (s *Speed) MergeReport(now time.Time, members []VM, packed []byte) error {
	return forEachEntry(packed, members, func(vm VM, e eventTotals) { s.add(now, vm, e) })
}

// Summary returns what the routers that rely on this one are to know: the engines that are
// slow; nil: none.
func (s *Speed) Summary(now time.Time, members []VM) []byte {
	slowdown := make(map[VM]float64)
	var slow []VM
	for _, vm := range members {
		if x := s.Slowdown(now, vm); x > minSummarySlowdown {
			slowdown[vm] = x
			slow = append(slow, vm)
		}
	}
	slices.SortStableFunc(slow, func(a, b VM) int { return cmp.Compare(slowdown[b], slowdown[a]) })
	weight := s.clock.Weight(now)
	var b []byte
	for _, vm := range slow[:min(len(slow), maxSummarySpeeds)] {
		b = appendEvents(b, vm, s.totals(vm).scaled(1/weight))
	}
	return b
}

// MergeSummary takes in what the router tells that this one relies on. It takes the place
// of what was told before.
func (s *Speed) MergeSummary(now time.Time, members []VM, packed []byte) error {
	s.rebase(now)
	weight := s.clock.Weight(now)
	fleet := make(map[VM]eventTotals)
	if err := forEachEntry(packed, members, func(vm VM, e eventTotals) { fleet[vm] = e.scaled(weight) }); err != nil {
		return err
	}
	s.fleet = fleet
	return nil
}

func appendEvents(b []byte, vm VM, e eventTotals) []byte {
	b = binary.BigEndian.AppendUint16(b, vm.ShortName())
	return append(b, ToByte(e.count), ToByte(intervalScale*e.intervals/e.count))
}

// ToByte returns the number nearest to x that a byte holds.
func ToByte(x float64) byte {
	return byte(min(max(x+0.5, 0), 255))
}

func forEachEntry(packed []byte, members []VM, f func(VM, eventTotals)) error {
	if len(packed)%speedEntrySize != 0 {
		return ErrMalformed
	}
	byName := ShortNames(members)
	for b := packed; len(b) > 0; b = b[speedEntrySize:] {
		if vm, ok := byName[binary.BigEndian.Uint16(b)]; ok {
			count := float64(b[2])
			f(vm, eventTotals{count: count, intervals: count * float64(b[3]) / intervalScale})
		}
	}
	return nil
}
