package sidecar

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/upstream"
)

// welcomeAgain is how long after a hand-over to a VM another one is not begun:
// the sidecar that asks for it may be restarting all the time.
const welcomeAgain = time.Minute

// join is what is known of upstreams that have joined.
type join struct {
	announced bool                 // this one
	welcomed  map[string]time.Time // others, within welcomeAgain
}

// reviewJoin announces this upstream once it serves.
func (s *State) reviewJoin(is upstream.State) []Effect {
	if s.join.announced || is != upstream.Up {
		return nil
	}
	s.join.announced = true
	return []Effect{Announce{}}
}

// welcomed begins a hand-over to another upstream that has joined.
func (s *State) welcomed(e Welcomed) []Effect {
	j := &s.join
	if j.welcomed == nil {
		j.welcomed = make(map[string]time.Time)
	}
	for vm, at := range j.welcomed {
		if e.Now.Sub(at) >= welcomeAgain {
			delete(j.welcomed, vm)
		}
	}
	if _, again := j.welcomed[e.VM]; again || e.VM == s.settings.VM {
		return nil
	}
	j.welcomed[e.VM] = e.Now
	return []Effect{Welcome{VM: e.VM, Sessions: s.recent.latest()}}
}
