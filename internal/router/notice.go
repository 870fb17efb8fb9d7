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
	// noticeConnectors is how many routers connect to a sidecar for the sake of a
	// notice: enough that one of them gets through.
	noticeConnectors = 3
	// noticeRetryInterval is the pause before a notice that was not taken is sent again.
	noticeRetryInterval = time.Second
	// noticeRepeatInterval is the pause before word from the list of VMs is repeated. It
	// has no version, so sidecars let it lapse.
	noticeRepeatInterval = 30 * time.Second
	// noticeTimeout bounds the sending of a notice.
	noticeTimeout = 2 * time.Second
)

var notices = telemetry.NewCounter("router_notices_total",
	"Notices to sidecars that their VM is to leave or to stay, repeats included.")

// Notify tells a sidecar that its VM is to leave or to stay. NoticeTaken
// follows if it was told.
type Notify struct {
	VM      topo.VM
	Notice  wire.Notice
	Connect bool // connect on purpose; otherwise only if there is a connection
}

// NoticeAccepted is a sidecar that has taken a notice, or needs none of this router.
type NoticeAccepted struct {
	VM     string
	Notice wire.Notice
}

// NoticeLost is a sidecar that takes new work although it was told to leave: it
// has started anew since.
type NoticeLost struct {
	VM string
}

func (Notify) isEffect()        {}
func (NoticeAccepted) isEvent() {}
func (NoticeLost) isEvent()     {}

// sentNotice is a notice that is on its way or has arrived.
type sentNotice struct {
	notice   wire.Notice
	at       time.Time
	accepted bool
}

// computeNotices returns what each VM of the list is to be told.
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

// takeDueNotices returns the notices that are due.
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

// mustConnect reports whether this router is one of those that rank highest for a VM.
// Routers that agree on the list agree on who they are.
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

func noticeRank(router, vm string) uint64 {
	return placement.Seed(router + "\x00" + vm)
}

func (s *State) onNoticeAccepted(e NoticeAccepted) {
	if previous, ok := s.sentNotices[e.VM]; ok && previous.notice == e.Notice {
		previous.accepted = true
		s.sentNotices[e.VM] = previous
	}
}

// onNoticeLost makes a notice due again, a while after it was sent: replies that left
// the sidecar before the notice came still say that it takes work.
func (s *State) onNoticeLost(e NoticeLost) {
	if previous, ok := s.sentNotices[e.VM]; ok {
		previous.accepted = false
		s.sentNotices[e.VM] = previous
	}
}

// sendNotice sends a notice, in the background.
func (r *Router) sendNotice(e Notify) {
	go func() {
		peer := r.peer(e.VM)
		if e.Connect || peer.Connected() {
			ctx, cancel := context.WithTimeout(r.ctx, noticeTimeout)
			defer cancel()
			notices.Inc()
			if peer.Call(ctx, wire.MethodNotice, e.Notice, nil) != nil {
				return // it is due again after noticeRetry
			}
		}
		r.loop.Post(NoticeAccepted{VM: e.VM.ID, Notice: e.Notice})
	}()
}
