package model

import "time"

// scheduleFaults schedules the beginning and the end of each configured fault.
func (f *fleet) scheduleFaults() {
	for _, fault := range f.config.Faults {
		n := max(1, int(fault.UpstreamShare*float64(len(f.upstreams))+0.5))
		for _, i := range f.random.Perm(len(f.upstreams))[:n] {
			u := f.upstreams[i]
			f.clock.After(fault.At, func() { u.setFault(fault, true) })
			f.clock.After(fault.At+fault.Duration, func() { u.setFault(fault, false) })
		}
	}
}

// setFault begins or ends a fault.
func (u *upstream) setFault(fault Fault, active bool) {
	share := fault.RequestShare
	if share == 0 {
		share = 1
	}
	if !active {
		share = 0
	}
	switch fault.Kind {
	case Slow:
		u.slowdown = 1
		if active {
			u.slowdown = fault.SlowdownFactor
		}
	case Refuse:
		u.refuseShare, u.rest = share, fault.Rest
	case Fail:
		u.failShare = share
	case Hang:
		u.hangShare = share
	case Crash:
		u.refuseShare = share // rejects requests until the end of the fault
		if active {
			u.crash()
		}
	}
}

// secondIndex returns the number of whole seconds between the start of the run and an arrival.
func secondIndex(arrivedAt time.Time) int {
	return int(arrivedAt.Sub(startTime) / time.Second)
}
