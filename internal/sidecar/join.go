package sidecar

import (
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/upstream"
)

// joinExportInterval is the minimum time between two exports to the same VM that has
// joined. It limits the exports that another sidecar causes by restarting repeatedly.
const joinExportInterval = time.Minute

// joinState records whether this upstream has announced that it has joined the pool,
// and which others have.
type joinState struct {
	announced   bool                 // this upstream has been announced
	lastExports map[string]time.Time // start of the latest export by VM, within joinExportInterval
}

// joinedSince returns the VMs that have joined since a time, and no longer ago than
// joinExportInterval, in a fixed order.
func (j *joinState) joinedSince(now, since time.Time) []string {
	var vms []string
	for vm, at := range j.lastExports {
		if !at.Before(since) && now.Sub(at) < joinExportInterval {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// announceOnce announces this upstream when it is up for the first time.
func (s *State) announceOnce(state upstream.State) []Effect {
	if s.join.announced || state != upstream.Up {
		return nil
	}
	s.join.announced = true
	return []Effect{AnnounceJoin{}}
}

// handleVMJoined starts an export of cached prefixes to an upstream that has joined,
// unless one has started within joinExportInterval.
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
	return []Effect{ExportTo{VMs: []string{e.VM}, Sessions: s.transferable(e.Now)}}
}
