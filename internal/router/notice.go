package router

import (
	"context"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// noticeConnectors is how many routers connect to a sidecar in order to send it
	// a notice, so that at least one of them succeeds.
	noticeConnectors = 3
	// noticeRetryInterval is the pause before a notice that was not accepted is sent again.
	noticeRetryInterval = time.Second
	// noticeRepeatInterval is the pause before a notice from the list of VMs is
	// repeated. It has no version, so sidecars let it expire.
	noticeRepeatInterval = 30 * time.Second
	// noticeTimeout bounds the call that sends a notice.
	noticeTimeout = 2 * time.Second
)

var notices = telemetry.NewCounter("router_notices_total",
	"Notices to sidecars that their VM is to leave or to stay, repeats included.")

// Notify is an Effect: send a sidecar the notice that its VM is to leave or to
// stay. NoticeAccepted follows unless the call fails.
type Notify struct {
	VM      topo.VM
	Notice  wire.Notice
	Connect bool // open a connection if there is none; else the notice is only sent over an existing one
}

// NoticeAccepted is an Event: a sidecar has accepted a notice, or this router need not
// send it, because it is not connected to the sidecar and other routers are to connect.
type NoticeAccepted struct {
	VM     string
	Notice wire.Notice
}

// NoticeLost is an Event: a sidecar takes new work although it accepted a notice
// to leave, because it has restarted since.
type NoticeLost struct {
	VM string
}

func (Notify) isEffect()        {}
func (NoticeAccepted) isEvent() {}
func (NoticeLost) isEvent()     {}

// sentNotice is a notice that was sent, and whether it was accepted.
type sentNotice struct {
	notice   wire.Notice
	at       time.Time
	accepted bool
}

// computeNotices returns the notice that each VM of the list should have, by its
// id.
func (s *State) computeNotices() map[string]wire.Notice {
	out := make(map[string]wire.Notice)
	for _, vm := range s.vms.Entries {
		if vm.Role != topo.RoleUpstream {
			continue
		}
		if o, ok := s.orders.Lookup(vm.ID, vm.FailureDomain); ok {
			out[vm.ID] = wire.Notice{Leaving: o.Leave, Version: o.Version}
		}
		if vm.Leaving && !out[vm.ID].Leaving {
			out[vm.ID] = wire.Notice{Leaving: true}
		}
	}
	return out
}

// takeDueNotices returns the notices that are due, and records them as sent.
func (s *State) takeDueNotices(now time.Time) []Effect {
	var effects []Effect
	for _, vm := range s.vms.Entries {
		n, ok := s.desiredNotices[vm.ID]
		if !ok || !s.isNoticeDue(now, vm.ID, n) {
			continue
		}
		s.sentNotices[vm.ID] = sentNotice{notice: n, at: now}
		effects = append(effects, Notify{VM: vm, Notice: n, Connect: s.mustConnect(vm.ID)})
	}
	return effects
}

// isNoticeDue reports whether a notice is new, was not accepted, or has to be
// repeated.
func (s *State) isNoticeDue(now time.Time, vm string, n wire.Notice) bool {
	previous, ok := s.sentNotices[vm]
	switch {
	case !ok || previous.notice != n:
		return true
	case !previous.accepted:
		return now.Sub(previous.at) >= noticeRetryInterval
	default:
		return n.Version == 0 && now.Sub(previous.at) >= noticeRepeatInterval
	}
}

// mustConnect reports whether this router has to connect to a VM's sidecar in order to send
// it a notice: whether it is among the noticeConnectors that rank highest for the VM. Routers
// with the same list agree on which these are. A router that is not in the list need not
// connect, unless the list has no routers at all.
func (s *State) mustConnect(vm string) bool {
	ownRank, listed, higher, routers := noticeRank(s.vm, vm), false, 0, 0
	for _, r := range s.vms.Entries {
		if r.Role != topo.RoleRouter || r.Leaving {
			continue
		}
		routers++
		listed = listed || r.ID == s.vm
		if noticeRank(r.ID, vm) > ownRank {
			higher++
		}
	}
	return routers == 0 || listed && higher < noticeConnectors
}

// noticeRank returns the rank of a router for a VM.
func noticeRank(router, vm string) uint64 {
	return placement.Seed(router + "\x00" + vm)
}

func (s *State) onNoticeAccepted(e NoticeAccepted) {
	if previous, ok := s.sentNotices[e.VM]; ok && previous.notice == e.Notice {
		previous.accepted = true
		s.sentNotices[e.VM] = previous
	}
}

// onNoticeLost makes a notice due again, but not before noticeRetryInterval has
// passed since it was sent: replies that left the sidecar before the notice
// arrived still say that it takes work.
func (s *State) onNoticeLost(e NoticeLost) {
	if previous, ok := s.sentNotices[e.VM]; ok {
		previous.accepted = false
		s.sentNotices[e.VM] = previous
	}
}

// sendNotice sends a notice in the background.
func (r *Router) sendNotice(e Notify) {
	go func() {
		peer := r.peer(e.VM)
		if e.Connect || peer.Connected() {
			ctx, cancel := context.WithTimeout(r.ctx, noticeTimeout)
			defer cancel()
			notices.Inc()
			if peer.Call(ctx, wire.MethodNotice, e.Notice, nil) != nil {
				return // it is due again after noticeRetryInterval
			}
		}
		r.loop.Post(NoticeAccepted{VM: e.VM.ID, Notice: e.Notice})
	}()
}
