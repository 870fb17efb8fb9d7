package outlier

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

// A router of many sees an upstream every few seconds, and a failure of it less often.
// So each reports what it has seen to the router that it relies on, which tells all
// what comes of it. An entry is the short name of an upstream, in two bytes, and the two
// counts, a byte each.
const (
	entrySize = 4
	// maxReported is how many upstreams a report names, those with most failures.
	maxReported = 96
	// maxSummarized is how many are told to all, and minSummarizedFailures the weight of failures from
	// which one is.
	maxSummarized, minSummarizedFailures = 32, 0.5
	// summaryScale is how many steps of a told count make one; the largest is 31.
	summaryScale = 8
)

// ErrMalformed is a message that makes no sense.
var ErrMalformed = errors.New("outlier: malformed message")

// Report returns what was seen since the last report, for the router that this one
// relies on; nil: nothing.
func (d *Detector) Report(members []load.VM) []byte {
	b := pack(members, d.unreported, 1, maxReported)
	clear(d.unreported)
	return b
}

// MergeReport takes in what another router reports. It goes on with the next Report.
func (d *Detector) MergeReport(now time.Time, members []load.VM, b []byte) error {
	return forEachEntry(b, members, 1, func(vm load.VM, c outcomeCount) { d.add(now, vm, c) })
}

// Summary returns what the routers that rely on this one are to know; nil: nothing.
func (d *Detector) Summary(now time.Time, members []load.VM) []byte {
	if !d.hasFailures {
		return nil
	}
	counts := d.currentCounts(now)
	for vm, c := range counts {
		if c.failed < minSummarizedFailures {
			delete(counts, vm)
		}
	}
	return pack(members, counts, summaryScale, maxSummarized)
}

// MergeSummary takes in what the router tells that this one relies on. It takes the place
// of what was told before.
func (d *Detector) MergeSummary(now time.Time, members []load.VM, b []byte) error {
	d.rebase(now)
	weight := d.clock.Weight(now)
	fleet := make(map[load.VM]outcomeCount)
	err := forEachEntry(b, members, summaryScale, func(vm load.VM, c outcomeCount) { fleet[vm] = c.scaled(weight) })
	if err != nil {
		return err
	}
	d.fleet = fleet
	d.hasFailures = d.hasFailures || len(fleet) > 0
	return nil
}

// pack returns counts as entries, at most some, those with most failures.
func pack(members []load.VM, counts map[load.VM]outcomeCount, scale float64, limit int) []byte {
	counted := make([]load.VM, 0, len(counts))
	for _, vm := range members {
		if counts[vm].all > 0 {
			counted = append(counted, vm)
		}
	}
	slices.SortStableFunc(counted, func(a, b load.VM) int {
		return cmp.Compare(counts[b].failed, counts[a].failed)
	})
	var out []byte
	for _, vm := range counted[:min(len(counted), limit)] {
		c := counts[vm]
		out = binary.BigEndian.AppendUint16(out, vm.ShortName())
		out = append(out, load.ToByte(c.failed*scale), load.ToByte(c.all*scale))
	}
	return out
}

// forEachEntry calls f for forEachEntry entry.
func forEachEntry(b []byte, members []load.VM, scale float64, f func(load.VM, outcomeCount)) error {
	if len(b)%entrySize != 0 {
		return ErrMalformed
	}
	byName := load.ShortNames(members)
	for ; len(b) > 0; b = b[entrySize:] {
		failed, all := float64(b[2])/scale, float64(b[3])/scale
		if vm, ok := byName[binary.BigEndian.Uint16(b)]; ok {
			f(vm, outcomeCount{failed: failed, all: max(all, failed)})
		}
	}
	return nil
}
