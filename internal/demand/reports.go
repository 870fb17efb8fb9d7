package demand

import (
	"time"

	"github.com/pkg/errors"
)

const (
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
