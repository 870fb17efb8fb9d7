package outlier

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

// In a large fleet, a router sends a request to each upstream only every few seconds, and sees
// failures even less often. Each router therefore reports its outcomes to its parent, the router
// that it subscribes to, which publishes the combined counts. Reports and summaries consist of
// entries: the short name of an upstream (2 bytes, big-endian), the count of its failures and that
// of all its outcomes (1 byte each).
const (
	entrySize = 4
	// maxReported is the maximum number of upstreams in a report: those with the most failures.
	maxReported = 96
	// maxSummarized is the maximum number of upstreams in a summary, and minSummarizedFailures
	// the weight of failures from which an upstream is included.
	maxSummarized, minSummarizedFailures = 32, 0.5
	// summaryScale is the encoded value of a count of one; the largest encodable count is 31.
	summaryScale = 8
)

// ErrMalformed is returned for a message that cannot be decoded.
var ErrMalformed = errors.New("outlier: malformed message")

// Report returns the outcomes recorded since the last report, to be sent to the parent, or nil if
// there are none.
func (d *Detector) Report(members []load.VM) []byte {
	b := pack(members, d.unreported, 1, maxReported)
	clear(d.unreported)
	return b
}

// MergeReport adds the outcomes reported by a subscriber. They are included in the next Report.
func (d *Detector) MergeReport(now time.Time, members []load.VM, b []byte) error {
	return forEachEntry(b, members, 1, func(vm load.VM, c outcomeCount) { d.add(now, vm, c) })
}

// Summary returns the counts of upstreams with failures, to be published to subscribers, or nil
// if there are none.
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

// MergeSummary replaces the fleet's counts with a summary published by the parent.
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

// pack encodes the counts of at most limit members: those with the most failures.
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

// forEachEntry decodes b and calls f for each entry of a member.
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
