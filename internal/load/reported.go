package load

import (
	"maps"
	"time"
)

// reportedSlowdownTTL is how long a reported slowdown is returned. It changes several times a second
// on a machine that is shared with others.
const reportedSlowdownTTL = time.Second

// ReportedSlowdowns holds what upstreams have reported last about the speed of their machines. It is
// not safe for concurrent use.
type ReportedSlowdowns struct {
	last map[VM]reportedSlowdown
}

type reportedSlowdown struct {
	factor float64
	at     time.Time
}

// NewReportedSlowdowns returns empty ReportedSlowdowns.
func NewReportedSlowdowns() *ReportedSlowdowns {
	return &ReportedSlowdowns{last: make(map[VM]reportedSlowdown)}
}

// Record records that work on an upstream's machine takes factor times as long as usual.
func (r *ReportedSlowdowns) Record(now time.Time, vm VM, factor float64) {
	r.last[vm] = reportedSlowdown{factor: factor, at: now}
}

// Get returns the slowdown that an upstream has reported lately, or zero if there is none.
func (r *ReportedSlowdowns) Get(now time.Time, vm VM) float64 {
	last, known := r.last[vm]
	if !known || now.Sub(last.at) > reportedSlowdownTTL {
		return 0
	}
	return last.factor
}

// Keep drops all upstreams that are not in members.
func (r *ReportedSlowdowns) Keep(members []VM) {
	kept := SetOf(members)
	maps.DeleteFunc(r.last, func(vm VM, _ reportedSlowdown) bool { return !kept[vm] })
}
