package controller

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// maxPrepared bounds the upstreams of the fleet that are prepared and wait for
// the weight store: to prepare more would only keep them out for longer.
const maxPrepared = 4

// rollOut gives the orders that the weight store and the pools allow now.
func (s *State) rollOut(now time.Time) []Send {
	return append(s.prepare(now), s.startLoad(now)...)
}

// prepare orders upstreams to be emptied, no more of a pool at a time than it
// allows to be out.
func (s *State) prepare(now time.Time) []Send {
	var sends []Send
	unavailable, total, prepared := s.countUpstreams()
	for _, u := range s.sorted {
		p := s.pools[u.vm.Pool]
		if prepared >= maxPrepared {
			break
		}
		if !s.needsPrepare(now, u, p) || (u.isServing() && unavailable[p.Name] >= maxUnavailable(p, total[p.Name])) {
			continue
		}
		if u.isServing() {
			unavailable[p.Name]++
		}
		prepared++
		sends = append(sends, s.send(u, s.newOrder(u, p, wire.OrderPrepare)))
	}
	return sends
}

// startLoad orders one prepared upstream to startLoad, at the weight store's rate. The
// order is counted when it is sent, whatever becomes of it.
func (s *State) startLoad(now time.Time) []Send {
	if now.Before(s.nextLoad) {
		return nil
	}
	for _, u := range s.sorted {
		if !u.reachable || u.inFlight || u.pending || u.status.Phase != wire.PhaseReady {
			continue
		}
		o := s.newOrder(u, s.pools[u.vm.Pool], wire.OrderLoad)
		if u.status.ID != o.ID {
			continue
		}
		s.nextLoad = now.Add(s.loadInterval)
		return []Send{s.send(u, o)}
	}
	return nil
}

// needsPrepare reports whether an upstream is to be prepared now: it is known to have
// something else loaded than is wanted, and to work on no order, or to be
// prepared for one that is no longer wanted.
func (s *State) needsPrepare(now time.Time, u *upstream, p profile.Pool) bool {
	if !u.reachable || !u.managed || u.inFlight || u.pending || p.Model == "" || matches(desiredSpec(p), u.status.Loaded) {
		return false
	}
	switch u.status.Phase {
	case wire.PhaseRunning:
		return false
	case wire.PhaseDraining, wire.PhaseReady:
		return u.status.ID != s.newOrder(u, p, wire.OrderPrepare).ID
	case wire.PhaseFailed:
		return now.Sub(u.failedAt) >= orderRetryDelay
	default:
		return true
	}
}

func (s *State) newOrder(u *upstream, p profile.Pool, a wire.OrderAction) wire.Order {
	return wire.Order{ID: orderID(u, desiredSpec(p)), Token: s.token, Action: a, Want: desiredSpec(p)}
}

// isServing reports whether an order would take the upstream out of its pool.
func (u *upstream) isServing() bool {
	return u.reachable && !u.pending && u.isIdle() && u.status.Loaded.Model != ""
}

// isIdle reports whether the upstream works on no order.
func (u *upstream) isIdle() bool {
	switch u.status.Phase {
	case wire.PhaseDraining, wire.PhaseReady, wire.PhaseRunning:
		return false
	default:
		return true
	}
}

// countUpstreams returns, for each pool, the upstreams that do not serve and all, and
// how many of the fleet wait for the weight store. One that can't be reached
// counts as out, whatever the reason.
func (s *State) countUpstreams() (unavailable, total map[string]int, prepared int) {
	unavailable, total = make(map[string]int), make(map[string]int)
	for _, u := range s.sorted {
		total[u.vm.Pool]++
		if !u.queried || (u.managed && !u.isServing()) {
			unavailable[u.vm.Pool]++
		}
		if u.pending || !u.isIdle() && u.status.Phase != wire.PhaseRunning {
			prepared++
		}
	}
	return unavailable, total, prepared
}

// maxUnavailable is how many upstreams of a pool may be out at a time. One may always
// be, or a small pool would never change.
func maxUnavailable(p profile.Pool, total int) int {
	return max(1, int(p.MaxUnavailable*float64(total)))
}

func desiredSpec(p profile.Pool) wire.ModelSpec {
	return wire.ModelSpec{Model: p.Model, Version: p.Version, Adapters: p.Adapters, Role: string(p.Role)}
}

// matches reports whether an upstream has what is wanted. What the pool leaves
// open may be anything.
func matches(want, have wire.ModelSpec) bool {
	unsetOrEqual := func(w, h string) bool { return w == "" || w == h }
	return unsetOrEqual(want.Model, have.Model) && unsetOrEqual(want.Version, have.Version) && unsetOrEqual(want.Role, have.Role) &&
		sameAdapters(want.Adapters, have.Adapters)
}

func sameAdapters(want, have []string) bool {
	if len(want) != len(have) {
		return false
	}
	return len(want) == 0 || slices.Equal(slices.Sorted(slices.Values(want)), slices.Sorted(slices.Values(have)))
}

// orderID names an order by what it asks and of whom, and by how often that has
// failed. A holder that repeats an order of its predecessor, or one whose
// answer was lost, uses the same id, and the upstream loads once.
func orderID(u *upstream, w wire.ModelSpec) string {
	sum := xxh3.HashString(strings.Join(append([]string{u.vm.ID, w.Model, w.Version, w.Role}, w.Adapters...), "\x00"))
	base := fmt.Sprintf("%016x", sum)
	lastBase, lastAttempt, _ := strings.Cut(u.status.ID, ".")
	attempt := 0
	if lastBase == base {
		_, _ = fmt.Sscan(lastAttempt, &attempt)
	}
	if lastBase == base && u.isIdle() && u.status.Phase != wire.PhaseNone {
		attempt++ // it has failed, or was done and undone since
	}
	return fmt.Sprintf("%s.%d", base, attempt)
}
