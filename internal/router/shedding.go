package router

import (
	"sync"
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

// shedder returns the Pool that decides whether the request is sent; nil: the request's pool is not shared.
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
// be sent, it returns the error for its caller. A stream that resumes is never rejected for this: the
// work already done for it would be lost.
func (resp *Response) shed(now time.Time) error {
	s := resp.shedder()
	if s == nil || resp.req.resumesStream() {
		return nil
	}
	d := s.Admit(now, resp.shedRequest(), func() shedding.Situation { return resp.router.situation(resp.view.Pools[resp.poolName]) })
	resp.router.shortages.announce(now, resp.poolName, s)
	if d.Admit {
		return nil
	}
	left := resp.req.directPlan(resp.router.policy(), 0).Deadline.Sub(now)
	return refuseForShares(d.Cause, resp.poolName).WithRetryAfter(resp.router.retries.Reject(now, resp.poolName, left))
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

// situation returns the state of a pool for the decision on its requests.
func (r *Router) situation(p *Pool) shedding.Situation {
	s := shedding.Situation{Upstreams: len(p.serving), Places: p.tracker.Slots(), Routers: max(r.coldStart.routerCount(1), 1)}
	s.MeanLoad = p.tracker.MeanLoad(len(p.serving), 0)
	s.Root = r.isReportRoot()
	return s
}

// isReportRoot reports whether all other routers report to this one.
func (r *Router) isReportRoot() bool {
	return r.mesh == nil || r.mesh.isRoot(r.coldStart.routerCount(1))
}

// isRoot reports whether the demand of all other routers is reported to this one. While the store does not answer,
// several routers try to read it, some of which follow each other, and each has a few subscribers or none. If these
// took the demand that is reported to them for that of all routers, they would take the few requests that they know of
// for the capacity of the pool, and hold to it after the tree has a root again. A router that reads the store without
// subscribers, although there are other routers, is cut off from them.
func (m *mesh) isRoot(routers int) bool {
	if routers <= 1 {
		return m.readsStore.Load()
	}
	return m.readsStore.Load() && m.followed.Load() && !m.follows.Load() && !m.storeFails.Load()
}

// shortages holds the pools that were announced as short, so that their end is announced as well
// when they get no requests any more: their traffic has ended, they have left the view, or the sharing
// of pools was switched off. The zero value is ready to use. It is safe for concurrent use.
type shortages struct {
	mu    sync.Mutex
	pools map[*shedding.Pool]string // their names
}

// announce announces that a pool has become short or has ceased to be.
func (s *shortages) announce(now time.Time, name string, p *shedding.Pool) {
	status, changed := p.Transition(now)
	if !changed {
		return
	}
	announceShort(name, status.Short, status.Capacity, status.Used)
	if status.Short {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.pools == nil {
			s.pools = make(map[*shedding.Pool]string)
		}
		s.pools[p] = name
	}
}

// announceEnded announces which pools have ceased to be short without a request.
func (s *shortages) announceEnded(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p, name := range s.pools {
		status, changed := p.Transition(now)
		if changed {
			announceShort(name, status.Short, status.Capacity, status.Used)
		}
		if !status.Short {
			delete(s.pools, p)
		}
	}
}

// recordAccepted records whether an upstream accepted an attempt. A request that reached another
// upstream than the one that was called says nothing about the pool. The pool of the Response is not
// used: target replaces it while attempts are under way.
func (d directTransport) recordAccepted(at *attempt, signal exchange.Signal) {
	if at.shedder != nil && !signal.Misdirected {
		at.shedder.RecordAttempt(time.Now(), !signal.NotRun)
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
