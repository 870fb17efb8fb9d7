package router

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/demand"
	"github.com/parsleyfront/parsleyfront/internal/exchange"
	"github.com/parsleyfront/parsleyfront/internal/pace"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/shedding"
)

// sheds reports whether requests to a pool are shed while it is short.
func (r *Router) sheds(p *Pool) bool {
	switch r.tuning.Load().SharePools {
	case ShareAlways:
		return true
	case ShareNever:
		return false
	}
	return p.tracker.ReportsSlowdowns()
}

// shedder returns what decides on requests while the pool of the request is short; nil: nothing.
func (resp *Response) shedder() *shedding.Pool {
	if resp.pool == nil || !resp.router.sheds(resp.pool) {
		return nil
	}
	return resp.pool.shedder
}

// orderUrgency sets the urgency of a request to a pool that may be short: upstreams take the more
// urgent kinds of request of equal organisations first.
func (resp *Response) orderUrgency() {
	if resp.shedder() != nil {
		resp.req.Urgency = resp.view.urgencies.urgency(resp.orgRank(), rankOf(resp.req.Profile.Priority))
	}
}

// shed counts what the request offers to its pool. If the pool is short and the request is not to
// be sent, it returns the error for its caller. A stream that goes on is never turned away for this:
// the work already done for it would be lost.
func (resp *Response) shed(now time.Time) error {
	s := resp.shedder()
	if s == nil || resp.req.LastEventID != "" {
		return nil
	}
	d := s.Admit(now, resp.shedRequest(), func() shedding.Situation { return resp.router.situation(resp.view.Pools[resp.poolName]) })
	announceTransition(resp.poolName, s)
	if d.Admit {
		return nil
	}
	plan := resp.req.directPlan(resp.router.policy(), 0)
	return refuseForShares(d.Cause, resp.poolName).WithRetryAfter(resp.router.retries.Request(now, resp.poolName).RetryAfter(time.Until(plan.Deadline)))
}

// shedRequest returns the request as package shedding sees it.
func (resp *Response) shedRequest() shedding.Request {
	p := resp.req.Profile
	out := shedding.Request{
		Class:       demand.Class{OrgPriority: resp.orgRank(), Rank: rankOf(p.Priority), Returning: resp.isLikelyRetry},
		Kind:        p.Name,
		Requirement: pace.Requirement{Objective: p.Objective.Std(), Deadline: p.Deadline.Std(), MaxPause: p.MaxPause.Std()},
	}
	if o := resp.req.Org; o != nil {
		out.Organisation = o.Name
		out.Class.Org = shortHash(o.Name)
		out.Class.Weight = uint16(min(max(o.Weight, 1), maxWeight))
	}
	return out
}

const (
	// lowestRank is the rank of the least urgent work.
	lowestRank = 9
	// maxWeight is the greatest weight of an organisation that counts.
	maxWeight = 1000
)

// rankOf returns the rank of a priority: 0 for those of zero and above, and one more for each step below.
func rankOf(priority int) uint8 {
	return uint8(min(max(-priority, 0), lowestRank))
}

// orgRank returns the rank of an organisation's priority; 0 if it has none.
func orgRank(o *profile.Organisation) uint8 {
	if o.Priority == nil {
		return 0
	}
	return rankOf(*o.Priority)
}

// orgRank returns the rank of the priority of the request's organisation.
func (resp *Response) orgRank() uint8 {
	if resp.req.Org == nil {
		return 0
	}
	return orgRank(resp.req.Org)
}

// situation returns what is known of a pool for the decision on its requests.
func (r *Router) situation(p *Pool) shedding.Situation {
	s := shedding.Situation{Upstreams: len(p.serving), Places: p.tracker.Slots(), Routers: max(r.coldStart.routerCount(1), 1)}
	s.MeanLoad = p.tracker.MeanLoad(len(p.serving), 0)
	s.Root = r.mesh == nil || r.mesh.isRoot(s.Routers)
	return s
}

// isRoot reports whether the demand of all other routers is reported to this one. While the store does not answer,
// several routers try to read it, some of which follow each other, and each has a few subscribers or none. If these
// took the demand that is reported to them for that of all routers, they would take the few requests that they know of
// for the capacity of the pool, and hold to it after the tree has a root again.
func (m *mesh) isRoot(routers int) bool {
	if routers == 1 {
		return m.readsStore.Load()
	}
	return m.readsStore.Load() && m.followed.Load() && !m.follows.Load() && !m.storeFails.Load()
}

// announceTransition announces that a pool has become short or has ceased to be.
func announceTransition(name string, p *shedding.Pool) {
	if s, changed := p.Transition(); changed {
		announceShort(name, s.Short, s.Capacity, s.Used)
	}
}

// recordAccepted records whether an upstream accepted an attempt. A request that reached another
// upstream than the one that was called says nothing about the pool.
func (d directTransport) recordAccepted(signal exchange.Signal) {
	if s := d.shedder(); s != nil && !signal.Misdirected {
		s.RecordAttempt(time.Now(), !signal.NotRun)
	}
}

// observePace records the pace of n events that have arrived at the given time.
func (s *directStream) observePace(now time.Time, n int) {
	s.events += n
	if s.shedder != nil {
		s.shedder.RecordEvents(now, s.tracker.Load(now, s.vm), n, now.Sub(s.lastEventAt))
	}
}

// observeAnswer records the length of a complete stream.
func (s *directStream) observeAnswer(now time.Time) {
	if s.shedder != nil && !s.resumed {
		s.shedder.RecordAnswer(now, s.profile, s.events, s.firstBytesAt.Sub(s.sentAt))
	}
}
