package sidecar

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/upstream"
)

// handoverInterval is how long after a hand-over to a VM another one is not begun:
// the sidecar that asks for it may be restarting all the time.
const handoverInterval = time.Minute

// joinState is what is known of upstreams that have joined.
type joinState struct {
	announced bool                 // this one
	handovers map[string]time.Time // others, within welcomeAgain
}

// announceOnce announces this upstream once it serves.
func (s *State) announceOnce(state upstream.State) []Effect {
	if s.join.announced || state != upstream.Up {
		return nil
	}
	s.join.announced = true
	return []Effect{AnnounceJoin{}}
}

// handleVMJoined begins a hand-over to another upstream that has joined.
func (s *State) handleVMJoined(e VMJoined) []Effect {
	j := &s.join
	if j.handovers == nil {
		j.handovers = make(map[string]time.Time)
	}
	for vm, at := range j.handovers {
		if e.Now.Sub(at) >= handoverInterval {
			delete(j.handovers, vm)
		}
	}
	if _, recent := j.handovers[e.VM]; recent || e.VM == s.settings.VM {
		return nil
	}
	j.handovers[e.VM] = e.Now
	return []Effect{ExportTo{VM: e.VM, Sessions: s.recent.mostRecent()}}
}
