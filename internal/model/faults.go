package model

import "time"

// schedule lets the faults of the configuration begin and end.
func (f *fleet) schedule() {
	for _, fault := range f.config.Faults {
		n := max(1, int(fault.Share*float64(len(f.upstreams))+0.5))
		for _, i := range f.random.Perm(len(f.upstreams))[:n] {
			u := f.upstreams[i]
			f.clock.after(fault.At, func() { u.befall(fault, true) })
			f.clock.after(fault.At+fault.For, func() { u.befall(fault, false) })
		}
	}
}

// befall begins or ends a fault.
func (u *upstream) befall(fault Fault, begins bool) {
	part := fault.Part
	if part == 0 {
		part = 1
	}
	if !begins {
		part = 0
	}
	switch fault.Kind {
	case Slow:
		u.slow = 1
		if begins {
			u.slow = fault.Times
		}
	case Refuse:
		u.refuse, u.rest = part, fault.Rest
	case Fail:
		u.fail = part
	case Hang:
		u.hang = part
	case Crash:
		u.refuse = part // it takes no connection until it is back
		if begins {
			u.crash()
		}
	}
}

// window returns the number of the second in which a caller asked.
func window(asked time.Time) int {
	return int(asked.Sub(start) / time.Second)
}
