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
	speedSize = 4
	// speedReported is how many engines a report names, those with most events.
	speedReported = 96
	// speedTold is how many engines are told to all, the slowest, and slowTold from how
	// many times the usual pause on one is told.
	speedTold = 48
	slowTold  = 1.5
	// pauseScale is how many steps of a told pause make the usual one.
	pauseScale = 15
)

// Report returns what was seen since the last report, for the router that this one
// relies on; nil: nothing.
func (s *Speed) Report(members []VM) []byte {
	var seen []VM
	for _, vm := range members {
		if s.news[vm].count > 0 {
			seen = append(seen, vm)
		}
	}
	slices.SortStableFunc(seen, func(a, b VM) int { return cmp.Compare(s.news[b].count, s.news[a].count) })
	var b []byte
	for _, vm := range seen[:min(len(seen), speedReported)] {
		b = appendEvents(b, vm, s.news[vm])
	}
	clear(s.news)
	return b
}

// MergeReport takes in what another router reports. It goes on with the next Report.
func (s *Speed) MergeReport(now time.Time, members []VM, packed []byte) error {
	return eachEvents(packed, members, func(vm VM, e events) { s.add(now, vm, e) })
}

// Summary returns what the routers that rely on this one are to know: the engines that are
// slow; nil: none.
func (s *Speed) Summary(now time.Time, members []VM) []byte {
	slowness := make(map[VM]float64)
	var slow []VM
	for _, vm := range members {
		if x := s.Slowdown(now, vm); x > slowTold {
			slowness[vm] = x
			slow = append(slow, vm)
		}
	}
	slices.SortStableFunc(slow, func(a, b VM) int { return cmp.Compare(slowness[b], slowness[a]) })
	weight := s.clock.Weight(now)
	var b []byte
	for _, vm := range slow[:min(len(slow), speedTold)] {
		b = appendEvents(b, vm, s.known(vm).times(1/weight))
	}
	return b
}

// MergeSummary takes in what the router tells that this one relies on. It takes the place
// of what was told before.
func (s *Speed) MergeSummary(now time.Time, members []VM, packed []byte) error {
	s.rebase(now)
	weight := s.clock.Weight(now)
	told := make(map[VM]events)
	if err := eachEvents(packed, members, func(vm VM, e events) { told[vm] = e.times(weight) }); err != nil {
		return err
	}
	s.told = told
	return nil
}

func appendEvents(b []byte, vm VM, e events) []byte {
	b = binary.BigEndian.AppendUint16(b, vm.ShortName())
	return append(b, ToByte(e.count), ToByte(pauseScale*e.pauses/e.count))
}

// ToByte returns the number nearest to x that a byte holds.
func ToByte(x float64) byte {
	return byte(min(max(x+0.5, 0), 255))
}

func eachEvents(packed []byte, members []VM, f func(VM, events)) error {
	if len(packed)%speedSize != 0 {
		return ErrMalformed
	}
	named := ShortNames(members)
	for b := packed; len(b) > 0; b = b[speedSize:] {
		if vm, ok := named[binary.BigEndian.Uint16(b)]; ok {
			count := float64(b[2])
			f(vm, events{count: count, pauses: count * float64(b[3]) / pauseScale})
		}
	}
	return nil
}
