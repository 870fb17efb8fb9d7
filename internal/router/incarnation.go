package router

import (
	"context"
	"log/slog"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/membership"
	"github.com/parsleyfront/parsleyfront/internal/relay"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

var askedStarts = telemetry.NewFamily[startAnswer]("router_asked_starts_total", "answer",
	"Questions to upstreams whether they have started again, which the list can't show in an outage of the store, by the answer.")

// startAnswer is what an upstream has said of its start.
type startAnswer string

const (
	startSame    startAnswer = "same"  // as in the list
	startOther   startAnswer = "other" // another one: its next incarnation has answered
	startUnknown startAnswer = "none"  // nothing
)

// publishListCurrency publishes when the store has confirmed the list of upstreams.
func (r *Router) publishListCurrency() {
	before := r.listCurrency.Load()
	now := before.Confirm(r.state.relayState.relay.ConfirmedAt(relay.SetMembers))
	if now != *before {
		r.listCurrency.Store(&now)
	}
}

// newListCurrency returns the Currency of a list that follows the entries of upstreams through a mesh.
func newListCurrency(m Mesh) *membership.Currency {
	return &membership.Currency{MaxAge: m.Timing.MaxAge, Grace: m.MemberTiming.OutageGrace}
}

// mayListLackRestarts reports whether upstreams may have started again without the list showing it, because of an
// outage of the store that lasts or has just ended.
func (r *Router) mayListLackRestarts(now time.Time) bool {
	list := r.listCurrency.Load()
	return list != nil && list.MayLack(now, now)
}

// restartDoubt is how likely it is that an upstream is another incarnation than the one in the list.
type restartDoubt int

const (
	noDoubt     restartDoubt = iota
	mayBeUnseen              // it is asked; without an answer it counts as the one in the list
	isDoubted                // it is asked; without an answer it counts as another one
)

// doubt returns whether an upstream may have started again without the list showing it: all connections to it broke,
// and none proves that it goes on; or its next incarnation has answered.
func (r *Router) doubt(now time.Time, vm topo.VM) restartDoubt {
	list := r.listCurrency.Load()
	if list == nil {
		return noDoubt
	}
	ended, replaced := r.suspects.MayHaveEndedAt(vm.ID)
	switch {
	case !replaced.IsZero():
		return isDoubted
	case ended.IsZero() || !list.MayNotShow(ended) || r.config.Direct.HasOpenSince(vm, ended):
		return noDoubt
	case list.MayLack(now, ended):
		return isDoubted
	}
	return mayBeUnseen
}

// doubtAt is doubt for a call over a connection that was opened at a time. A router does not notice the end of an
// upstream that it has no connection to: in an outage of the store, a new connection may lead to another incarnation.
func (r *Router) doubtAt(now time.Time, vm topo.VM, opened time.Time) restartDoubt {
	d := r.doubt(now, vm)
	list := r.listCurrency.Load()
	if d != noDoubt || list == nil || !list.MayLack(now, opened) {
		return d
	}
	if same := r.suspects.SameAt(vm.ID); !same.IsZero() && r.config.Direct.HasOpenSince(vm, same) {
		return noDoubt // the connection over which it said so is still open
	}
	return mayBeUnseen
}

// mayContinueAt reports whether a stream of the upstream's version in the list may go on there, over a connection that
// was opened at a time. It asks the upstream if there is doubt.
func (r *Router) mayContinueAt(ctx context.Context, now time.Time, vm topo.VM, opened time.Time) bool {
	d := r.doubtAt(now, vm, opened)
	if d == noDoubt {
		return true
	}
	switch r.askStart(ctx, vm) {
	case startSame:
		return true
	case startOther:
		return false
	}
	return d != isDoubted
}

// resolve asks an upstream when it started, without waiting for the answer, if there is doubt: whether it is cold depends
// on that, and whether a stream that begins there can go on elsewhere.
func (r *Router) resolve(d restartDoubt, vm topo.VM) {
	if vm.StartedAt == 0 || d == noDoubt {
		return
	}
	if _, asking := r.askedNow.LoadOrStore(vm.ID, struct{}{}); asking {
		return
	}
	go func() {
		defer r.askedNow.Delete(vm.ID)
		r.askStart(r.ctx, vm)
	}()
}

// askStart asks an upstream when it started, and records what that shows.
func (r *Router) askStart(ctx context.Context, vm topo.VM) startAnswer {
	if vm.StartedAt == 0 {
		return startUnknown
	}
	answer := startUnknown
	at, err := r.config.Direct.AskStart(ctx, vm)
	switch now := time.Now(); {
	case err != nil:
	case at == vm.StartedAt:
		answer = startSame
		r.suspects.Same(now, vm.ID)
	default:
		answer = startOther
		if r.suspects.Replaced(now, vm.ID) {
			slog.Warn("upstream has started again, which the list does not show", "upstream", vm.ID, "addr", vm.Addr, "started", time.UnixMilli(at))
		}
	}
	askedStarts.Inc(answer)
	return answer
}
