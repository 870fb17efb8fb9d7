package load

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"
)

// Routers exchange the speed of engines as they exchange loads. An entry is the short name of the
// engine (2 bytes, big-endian), the number of events (1) and their mean interval as a multiple of
// the typical one, in units of 1/intervalScale (1).
const (
	speedEntrySize = 4
	// maxReportedSpeeds is the maximum number of engines in a report: those with the most events.
	maxReportedSpeeds = 96
	// maxSummarySpeeds is the maximum number of engines in a summary: the slowest.
	// minSummarySlowdown is the slowdown above which an engine is included.
	maxSummarySpeeds   = 48
	minSummarySlowdown = 1.5
	// intervalScale is the encoded value of the typical interval.
	intervalScale = 15
)

// Report returns the events recorded since the last report, to be sent to the parent, or nil if
// there are none.
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

// MergeReport adds the events reported by a subscriber. They are included in the next Report.
func (s *Speed) MergeReport(now time.Time, members []VM, packed []byte) error {
	return forEachEntry(packed, members, func(vm VM, e eventTotals) { s.add(now, vm, e) })
}

// Summary returns the slow engines, to be published to subscribers, or nil if there are none.
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

// MergeSummary replaces the fleet's totals with a summary published by the parent.
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

// ToByte returns x rounded to the nearest integer and limited to the range of a byte.
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
