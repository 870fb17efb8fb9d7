package sidecar

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// listNoticeTTL is how long a notice that stems from the list of VMs is valid. The
	// list has no versions, so an old reading of it cannot be distinguished from a
	// new one. Routers repeat the notice while the VM is listed as leaving. When they
	// stop, it expires.
	listNoticeTTL = 2 * time.Minute
	// exportTimeout limits the duration of an export of cached prefixes.
	exportTimeout = 20 * time.Second
)

// drainState is the state of draining the upstream, whichever reason State.draining
// finds for it.
type drainState struct {
	notice          wire.Notice // with the highest version so far; from an operators' order to drain
	listNoticeUntil time.Time   // until when a notice from the list of VMs is valid
	begun           bool        // this drain has started: the queued requests have been withdrawn
	exports         int         // exports in progress
	exportBy        time.Time   // limit of the wait for them
	stopping        bool
	stopBy          time.Time
	exited          bool // Exit has been emitted
}

// draining reports whether no new requests are admitted: because of a stop, an
// order of the controller, or a notice that the VM leaves.
func (s *State) draining(now time.Time) bool {
	return s.drain.stopping || s.orderDrain.on || s.drain.notice.Leaving || now.Before(s.drain.listNoticeUntil)
}

// handleNotice applies a notice. A notice from an operators' order has a version, so
// an outdated one that arrives late is ignored. A notice without a version is from the
// list of VMs.
func (s *State) handleNotice(e NoticeReceived) []Effect {
	s.applyNotice(e.Notice)
	if e.Notice.Version == 0 && e.Notice.Leaving {
		s.drain.listNoticeUntil = e.Now.Add(listNoticeTTL)
		s.timers.add(s.drain.listNoticeUntil, token.Nonce{})
	}
	return s.reply(e.Now, e.Ticket, wire.Admission{})
}

// applyNotice applies a notice with a version, unless a later one has been applied.
func (s *State) applyNotice(n wire.Notice) {
	if n.Version > s.drain.notice.Version {
		s.drain.notice = n
	}
}

// exporting reports whether exports are in progress and have not timed out.
func (d *drainState) exporting(now time.Time) bool {
	return d.exports > 0 && now.Before(d.exportBy)
}

func (s *State) beginStop(now time.Time) {
	if s.drain.stopping {
		return
	}
	s.drain.stopping = true
	s.drain.stopBy = now.Add(s.settings.StopTimeout)
	s.timers.add(s.drain.stopBy, token.Nonce{})
}

// advanceDrain carries out draining: it withdraws queued requests, exports the
// cached prefixes, and, on a stop, exits when no request is in flight.
func (s *State) advanceDrain(now time.Time) []Effect {
	d := &s.drain
	if !s.draining(now) {
		d.begun = false
		return nil
	}
	var effects []Effect
	if !d.begun {
		d.begun = true
		effects = append(s.withdrawQueued(now, verdict.ReasonDraining, "the upstream is leaving"),
			s.export(now, s.transferable(now)))
	}
	if d.stopping && !d.exited && s.mayExit(now) {
		d.exited = true
		effects = append(effects, Exit{})
	}
	return effects
}

// mayExit reports whether the process can exit without interrupting a response. All
// exports of prefixes must have ended or timed out. Each response must have ended and
// have no reader, and must have been sent completely to a router, unless DetachGrace
// has passed since its end. From stopBy on, mayExit always reports true.
func (s *State) mayExit(now time.Time) bool {
	if !now.Before(s.drain.stopBy) {
		return true
	}
	if s.drain.exporting(now) {
		return false
	}
	for _, r := range s.requests {
		mayBeClaimed := !r.delivered && now.Before(r.endedAt.Add(s.settings.DetachGrace))
		if r.phase != ended || r.readers > 0 || mayBeClaimed {
			return false
		}
	}
	return true
}
