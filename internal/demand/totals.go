package demand

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// ownDemand returns this router's present demand. All organisations are named, in the order of
// own, including those whose work has become negligible, which have no classes.
func (a *Account) ownDemand(now time.Time) *message {
	scale := 1 / (a.clock.Weight(now) * rateDecay.Seconds())
	m := &message{accepted: a.accepted * scale, rejected: a.rejected * scale, orgs: make([]organisation, len(a.own))}
	for i := range a.own {
		sums := &a.own[i]
		o := &m.orgs[i]
		o.id, o.priority, o.weight = sums.id, sums.priority, sums.weight
		for set := sums.classes; set != 0; set &= set - 1 {
			class := bits.TrailingZeros32(set)
			if rate := sums.offered[class] * scale; rate >= minRate {
				o.add(class, rate)
			}
		}
	}
	return m
}

// presentDemand returns a merger with this router's own demand and the current reports.
func (a *Account) presentDemand(now time.Time) *merger {
	g := newMerger(a.ownDemand(now), a.index)
	for _, r := range a.currentReports(now) {
		g.add(r)
	}
	return g
}

// currentReports returns the reports that have not expired, ordered by sender so that sums do not
// depend on the order of a map.
func (a *Account) currentReports(now time.Time) []*message {
	senders := make([]string, 0, len(a.reports))
	for from, r := range a.reports {
		if now.Sub(r.at) < messageTTL {
			senders = append(senders, from)
		}
	}
	slices.SortFunc(senders, cmp.Compare[string])
	current := make([]*message, 0, len(senders))
	for _, from := range senders {
		current = append(current, a.reports[from].message)
	}
	return current
}

// isScarce returns whether this router or, by a current report, one below it sees the pool as
// scarce.
func (a *Account) isScarce(now time.Time) bool {
	if !a.scarceAt.IsZero() && now.Sub(a.scarceAt) < messageTTL {
		return true
	}
	for _, r := range a.reports {
		if now.Sub(r.at) < messageTTL && r.message.flags&flagScarce != 0 {
			return true
		}
	}
	return false
}

func (a *Account) hasSummary(now time.Time) bool {
	return a.summary.message != nil && now.Before(a.summary.expiresAt)
}

// hasCompleteSummary returns whether the current summary covers all routers. That of a parent
// which is cut off from the root does not.
func (a *Account) hasCompleteSummary(now time.Time) bool {
	return a.hasSummary(now) && a.summary.message.flags&flagComplete != 0
}

func anyOrganisation(uint32, float64) bool { return true }

// present returns the demand of this router and its subscribers, reduced to what fits into a
// message.
func (a *Account) present(now time.Time) *message {
	return a.presentDemand(now).reduced(anyOrganisation)
}

// replaced returns the demand of all routers: the current summary with this router's contribution
// replaced by the present demand. An organisation that the summary does not name is part of its
// combined rates, at this router as at the others, unless this router alone offers more of it
// than of one that is named: then it is new, and is named so that it does not lower the fraction
// of the others.
func (a *Account) replaced(now time.Time) *message {
	g := a.presentDemand(now)
	g.add(a.summary.rest)
	lowest := a.summary.message.lowestNamed()
	return g.reduced(func(id uint32, work float64) bool {
		return work >= lowest || a.summary.message.named(id) != nil
	})
}

// Totals returns the demand of all routers with current reports. A router that has no current summary of
// the root, and a root that hears no reports, which may be cut off, returns its own demand alone: the
// caller then uses its part of the pool. Complete totals name the same organisations as a summary, and
// combine the others, so that all routers allocate from the same data. A combined rate has no Org; its
// Weight is the mean of its organisations. Otherwise all organisations are named. The cost grows with
// the number of this router's classes; it is meant to be called about every 100 ms.
func (a *Account) Totals(now time.Time) Totals {
	switch {
	case a.isRoot && len(a.currentReports(now)) > 0:
		return a.present(now).totals(true)
	case !a.isRoot && a.hasCompleteSummary(now):
		t := a.replaced(now).totals(true)
		t.ReceivedAt = a.summary.receivedAt
		return t
	}
	return a.Own(now)
}

// Own returns this router's own demand, which is not complete. It is the result of Totals for all pools
// that no router reports as scarce, so it is computed without the copies that merging needs.
func (a *Account) Own(now time.Time) Totals {
	scale := 1 / (a.clock.Weight(now) * rateDecay.Seconds())
	t := Totals{Accepted: a.accepted * scale, Rejected: a.rejected * scale, Rates: make([]Rate, 0, a.classes)}
	for i := range a.own {
		o := &a.own[i]
		for set := o.classes; set != 0; set &= set - 1 {
			class := bits.TrailingZeros32(set)
			if rate := o.offered[class] * scale; rate >= minRate {
				t.Rates = append(t.Rates, Rate{Class: newClass(o.id, o.priority, class, o.weight), Orgs: 1, Offered: rate})
			}
		}
	}
	return t
}

func (m *message) totals(complete bool) Totals {
	t := Totals{Accepted: m.accepted, Rejected: m.rejected, Complete: complete}
	t.Rates = make([]Rate, 0, 2*len(m.orgs)+len(m.combined))
	for i := range m.orgs {
		o := &m.orgs[i]
		for set := o.classes; set != 0; set &= set - 1 {
			class := bits.TrailingZeros32(set)
			if o.offered[class] > 0 {
				c := newClass(o.id, o.priority, class, o.weight)
				t.Rates = append(t.Rates, Rate{Class: c, Orgs: 1, Offered: o.offered[class]})
			}
		}
	}
	for _, r := range m.combined {
		c := newClass(0, r.priority, int(r.class), r.weight)
		t.Rates = append(t.Rates, Rate{Class: c, Orgs: r.orgs, Offered: r.offered})
	}
	return t
}

func newClass(org uint32, priority uint8, class int, weight uint16) Class {
	return Class{Org: org, OrgPriority: priority, Rank: uint8(class / 2), Returning: class%2 == 1, Weight: weight}
}
