package demand

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/decay"
	"github.com/pkg/errors"
)

const (
	priorityCount = 10
	rankCount     = 10
	classCount    = 2 * rankCount // class index: twice the rank, plus 1 if Returning
	maxWeight     = 1000

	// rateDecay is the time in which the weight of offered work falls to 1/e.
	rateDecay = time.Second
	// minRate is the work per second below which a class is dropped. A request of work 1 is
	// below it after 7 s.
	minRate = 1e-3
	// maxClasses is the maximum number of classes of this router's own demand.
	maxClasses = 4096
	// evictedClasses is the number of classes with the least work that are evicted together once
	// there are more than maxClasses, so that not every new class costs a search.
	evictedClasses = maxClasses / 8

	// messageInterval is the minimum time between two reports, and between two summaries.
	messageInterval = 750 * time.Millisecond
	// messageTTL is how long a message is valid after it was received, and how long SetScarce is
	// valid.
	messageTTL = 2 * time.Second
	// summaryTTL is how long a summary is valid after the root created it. Without this limit,
	// routers two levels below the root would continue to report for up to 6 s after the root
	// has stopped, since each level keeps a summary for messageTTL.
	summaryTTL = 2300 * time.Millisecond
	// reportsComplete is the minimum time between the first summary of the root and the second.
	// A router below the root may report immediately after the first, before its own subscribers
	// have; its next report, 750 ms later, includes them. A second summary before that would
	// cover a part of the routers, and those would allocate the whole pool to themselves.
	reportsComplete = time.Second
	// firstSummaryWait is how long a router below the root waits for a summary of its parent
	// before it sends one of its own. If it sent that immediately, the parent's would have to wait
	// for messageInterval.
	firstSummaryWait = 300 * time.Millisecond
	// roundTrip is the time that a report takes to the parent and a summary back. A report sent
	// within that time before a summary arrives is not included in the summary.
	roundTrip = 50 * time.Millisecond
)

// Account holds the demand that is offered to one pool: this router's own, and that of other
// routers as far as they report it. It is not safe for concurrent use.
type Account struct {
	clock    decay.Clock
	own      []organisation // offered contains sums of weights of the clock
	index    map[uint32]int // of own
	classes  int            // number of classes in own
	accepted float64
	rejected float64

	scarceAt time.Time // time of the last SetScarce(true) without a later SetScarce(false)
	isRoot   bool

	reports  map[string]receivedReport // by sender
	summary  receivedSummary
	reported [2]sentReport // the last reports to the parent, newest first

	lastReport, lastSummary time.Time
	firstSummary            time.Time // at the root: time of the first one after a pause
	withoutSummarySince     time.Time // since when a summary is due and the parent has sent none
}

type receivedReport struct {
	at      time.Time
	message *message
}

type receivedSummary struct {
	receivedAt time.Time
	createdAt  time.Time // at the root
	expiresAt  time.Time
	message    *message // nil: none
	rest       *message // demand of the other routers: the summary without this router's contribution
}

type sentReport struct {
	at      time.Time
	message *message // nil: none
}

// NewAccount returns an empty Account.
func NewAccount() *Account {
	return &Account{
		clock: decay.NewClock(rateDecay), index: make(map[uint32]int), reports: make(map[string]receivedReport),
	}
}

// Offer counts a request of the given work. Fields of c that are out of range are clamped. Work
// that is not positive and finite is ignored.
func (a *Account) Offer(now time.Time, c Class, work float64) {
	if !(work > 0) || math.IsInf(work, 1) {
		return
	}
	a.rebase(now)
	at, known := a.index[c.Org]
	if !known {
		at = len(a.own)
		a.index[c.Org] = at
		a.own = append(a.own, organisation{id: c.Org})
	}
	o := &a.own[at]
	o.priority = min(c.OrgPriority, priorityCount-1)
	o.weight = min(max(c.Weight, 1), maxWeight)
	class := classIndex(c)
	isNew := o.classes&(1<<class) == 0
	o.add(class, work*a.clock.Weight(now))
	if isNew {
		a.classes++
		if a.classes > maxClasses {
			a.evict(now)
		}
	}
}

func classIndex(c Class) int {
	class := 2 * int(min(c.Rank, rankCount-1))
	if c.Returning {
		class++
	}
	return class
}

// Outcome counts an attempt that an upstream accepted or rejected.
func (a *Account) Outcome(now time.Time, accepted bool) {
	a.rebase(now)
	if accepted {
		a.accepted += a.clock.Weight(now)
	} else {
		a.rejected += a.clock.Weight(now)
	}
}

// SetScarce records whether this router sees that the pool is, or nearly is, short. True is valid
// for 2 s, because a router without requests no longer determines it; so the caller repeats it.
func (a *Account) SetScarce(now time.Time, scarce bool) {
	a.scarceAt = time.Time{}
	if scarce {
		a.scarceAt = now
	}
}

// SetRoot records whether this router is the root of the tree, which has no parent.
func (a *Account) SetRoot(root bool) {
	if root != a.isRoot {
		a.summary, a.reported = receivedSummary{}, [2]sentReport{}
	}
	a.isRoot = root
}

// rebase limits the growth of weights, and drops classes with next to no work.
func (a *Account) rebase(now time.Time) {
	weight, due := a.clock.Rebase(now)
	if !due {
		return
	}
	for i := range a.own {
		for class := range a.own[i].offered {
			a.own[i].offered[class] /= weight
		}
	}
	a.accepted /= weight
	a.rejected /= weight
	a.drop(minRate * rateDecay.Seconds())
}

// drop removes the classes whose sum of weights is below the minimum.
func (a *Account) drop(minimum float64) {
	kept := a.own[:0]
	clear(a.index)
	a.classes = 0
	for _, o := range a.own {
		for set := o.classes; set != 0; set &= set - 1 {
			if class := bits.TrailingZeros32(set); o.offered[class] < minimum {
				o.classes &^= 1 << class
				o.offered[class] = 0
			}
		}
		if o.classes != 0 {
			a.index[o.id] = len(kept)
			a.classes += bits.OnesCount32(o.classes)
			kept = append(kept, o)
		}
	}
	a.own = kept
}

// evict drops the evictedClasses with the least work, and those with next to no work.
func (a *Account) evict(now time.Time) {
	sums := make([]*float64, 0, a.classes)
	for i := range a.own {
		for set := a.own[i].classes; set != 0; set &= set - 1 {
			sums = append(sums, &a.own[i].offered[bits.TrailingZeros32(set)])
		}
	}
	slices.SortStableFunc(sums, func(x, y *float64) int { return cmp.Compare(*x, *y) })
	for _, sum := range sums[:evictedClasses] {
		*sum = 0
	}
	a.drop(minRate * rateDecay.Seconds() * a.clock.Weight(now))
}

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

// Report returns the demand of this router and its subscribers for the parent, or nil if none is
// due: less than 750 ms after the last one, at the root, and while neither this router nor a
// subscriber sees the pool as scarce and there is no current summary.
func (a *Account) Report(now time.Time) []byte {
	if a.isRoot || now.Sub(a.lastReport) < messageInterval || !a.isScarce(now) && !a.hasSummary(now) {
		return nil
	}
	m := a.present(now)
	if a.isScarce(now) {
		m.flags |= flagScarce
	}
	m.fit()
	b := m.encode()
	a.lastReport = now
	// The decoded message has the rounding errors that the parent's sum has.
	if sent, err := decode(b); err == nil {
		a.reported = [2]sentReport{{now, sent}, a.reported[0]}
	}
	return b
}

// Summary returns the demand of all routers for subscribers, or nil if none is due: less than
// 750 ms after the last one, and while neither this router nor a subscriber sees the pool as
// scarce and there is no current summary from the parent. A router that is not the root forwards
// each summary of its parent once, with its own contribution and age. Without one, it returns its
// own demand and that of its subscribers, marked as incomplete: receivers report because of it,
// but do not use it.
func (a *Account) Summary(now time.Time) []byte {
	m := a.dueSummary(now)
	if m == nil {
		return nil
	}
	m.flags |= flagSummary
	m.fit()
	a.lastSummary = now
	return m.encode()
}

func (a *Account) dueSummary(now time.Time) *message {
	sinceLast := now.Sub(a.lastSummary)
	scarce, held := a.isScarce(now), a.hasSummary(now)
	switch {
	case sinceLast < messageInterval:
		return nil
	case a.isRoot && scarce:
		return a.rootSummary(now, sinceLast)
	case a.isRoot:
		return nil
	case held && a.summary.receivedAt.After(a.lastSummary):
		return a.forwardedSummary(now)
	case held || !scarce:
		a.withoutSummarySince = time.Time{}
		return nil
	case a.withoutSummarySince.IsZero():
		a.withoutSummarySince = now
		return nil
	case now.Sub(a.withoutSummarySince) < firstSummaryWait:
		return nil
	}
	return a.present(now)
}

// rootSummary returns the demand of all routers. The first summary after a pause, or after the
// root was cut off, asks for reports and is incomplete. The second follows when all reports have
// arrived, and is complete, as are those that follow.
func (a *Account) rootSummary(now time.Time, sinceLast time.Duration) *message {
	if sinceLast >= messageTTL || len(a.currentReports(now)) == 0 {
		a.firstSummary = now
		return a.present(now)
	}
	if now.Sub(a.firstSummary) < reportsComplete {
		return nil
	}
	m := a.present(now)
	m.flags |= flagComplete
	return m
}

func (a *Account) forwardedSummary(now time.Time) *message {
	a.withoutSummarySince = time.Time{}
	var m *message
	if a.hasCompleteSummary(now) {
		m = a.replaced(now)
		m.flags |= flagComplete
	} else {
		m = a.present(now)
	}
	m.age = now.Sub(a.summary.createdAt)
	return m
}

// MergeReport replaces the report of a subscriber. It returns ErrMalformed or ErrVersion, and
// changes nothing, if b is not a report.
func (a *Account) MergeReport(now time.Time, from string, b []byte) error {
	m, err := decode(b)
	if err != nil {
		return err
	}
	if m.flags&(flagSummary|flagComplete) != 0 || m.age != 0 {
		return errors.Wrap(ErrMalformed, "not a report")
	}
	for sender, r := range a.reports {
		if now.Sub(r.at) >= messageTTL {
			delete(a.reports, sender)
		}
	}
	a.reports[from] = receivedReport{now, m}
	return nil
}

// MergeSummary replaces the summary of the parent. It returns ErrMalformed or ErrVersion, and
// changes nothing, if b is not a summary. The root ignores summaries.
func (a *Account) MergeSummary(now time.Time, b []byte) error {
	m, err := decode(b)
	if err != nil {
		return err
	}
	if m.flags&flagSummary == 0 || m.flags&flagScarce != 0 {
		return errors.Wrap(ErrMalformed, "not a summary")
	}
	createdAt := now.Add(-m.age)
	if a.isRoot || m.age >= summaryTTL {
		return nil
	}
	expiresAt := now.Add(messageTTL)
	if limit := createdAt.Add(summaryTTL); limit.Before(expiresAt) {
		expiresAt = limit
	}
	a.summary = receivedSummary{
		receivedAt: now, createdAt: createdAt, expiresAt: expiresAt,
		message: m, rest: m.minus(a.contribution(now)),
	}
	return nil
}

// contribution returns the part of a summary received now that is this router's own: its last
// report that can have been included. This is an approximation: if that report was lost or late,
// the summary contains an earlier one or none, and the rates that remain are wrong by the
// difference until the next summary.
func (a *Account) contribution(now time.Time) *message {
	for _, r := range a.reported {
		if age := now.Sub(r.at); r.message != nil && age >= roundTrip && age < messageTTL {
			return r.message
		}
	}
	return &message{}
}
