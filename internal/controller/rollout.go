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

// maxPrepared limits how many upstreams of the fleet drain, or have drained and
// wait for the weight store. Preparing more would only keep them out of service
// for longer.
const maxPrepared = 4

// rollOut returns the orders that the weight store and the pools allow now.
func (s *State) rollOut(now time.Time) []Send {
	return append(s.prepare(now), s.startLoad(now)...)
}

// prepare orders upstreams to drain, without exceeding a pool's limit of
// unavailable upstreams.
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

// startLoad orders one prepared upstream to load, at most one per loadInterval.
// An order counts against that rate once it is sent, whatever its outcome.
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

// needsPrepare reports whether an upstream is to be prepared now: it is known
// to have something other than the desired model loaded and to work on no
// order, or it is prepared for an order that is no longer desired.
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

// isServing reports whether the upstream serves requests, so that an order
// would make it unavailable to its pool.
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

// countUpstreams returns, for each pool, the number of unavailable upstreams and
// the number of all, and for the fleet the number of upstreams that count towards
// maxPrepared. An unreachable upstream counts as unavailable, whatever the
// reason, and one that rejects all orders counts as available. An upstream whose
// order is pending counts as prepared.
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

// maxUnavailable returns how many upstreams of a pool may be unavailable at a
// time. It is at least 1, because otherwise a small pool could never be
// updated.
func maxUnavailable(p profile.Pool, total int) int {
	return max(1, int(p.MaxUnavailable*float64(total)))
}

func desiredSpec(p profile.Pool) wire.ModelSpec {
	return wire.ModelSpec{Model: p.Model, Version: p.Version, Adapters: p.Adapters, Role: string(p.Role)}
}

// matches reports whether an upstream has the desired model loaded. A field
// that the pool leaves empty matches any value.
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

// orderID derives the id of an order from the upstream, the desired model and
// the number of earlier attempts. A holder that repeats an order of its
// predecessor, or an order whose response was lost, uses the same id, so that
// the upstream loads only once.
func orderID(u *upstream, w wire.ModelSpec) string {
	sum := xxh3.HashString(strings.Join(append([]string{u.vm.ID, w.Model, w.Version, w.Role}, w.Adapters...), "\x00"))
	base := fmt.Sprintf("%016x", sum)
	lastBase, lastAttempt, _ := strings.Cut(u.status.ID, ".")
	attempt := 0
	if lastBase == base {
		_, _ = fmt.Sscan(lastAttempt, &attempt)
	}
	if lastBase == base && u.isIdle() && u.status.Phase != wire.PhaseNone {
		attempt++ // the last attempt failed, or succeeded and was reverted since
	}
	return fmt.Sprintf("%s.%d", base, attempt)
}
