package sidecar

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/upstream"
)

// joinExportInterval is the minimum time between two transfers of prefixes to the
// same VM. It limits the work for a sidecar that restarts repeatedly.
const joinExportInterval = time.Minute

// joinState records joins of this and other upstreams.
type joinState struct {
	announced   bool                 // this upstream has been announced
	lastExports map[string]time.Time // start of the latest transfer by VM, within handoverInterval
}

// announceOnce announces this upstream when it is up for the first time.
func (s *State) announceOnce(state upstream.State) []Effect {
	if s.join.announced || state != upstream.Up {
		return nil
	}
	s.join.announced = true
	return []Effect{AnnounceJoin{}}
}

// handleVMJoined starts a transfer of cached prefixes to an upstream that has
// joined.
func (s *State) handleVMJoined(e VMJoined) []Effect {
	j := &s.join
	if j.lastExports == nil {
		j.lastExports = make(map[string]time.Time)
	}
	for vm, at := range j.lastExports {
		if e.Now.Sub(at) >= joinExportInterval {
			delete(j.lastExports, vm)
		}
	}
	if _, recent := j.lastExports[e.VM]; recent || e.VM == s.settings.VM {
		return nil
	}
	j.lastExports[e.VM] = e.Now
	return []Effect{ExportTo{VM: e.VM, Sessions: s.recent.mostRecent()}}
}
