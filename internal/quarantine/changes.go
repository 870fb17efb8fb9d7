package quarantine

import "time"

// DecisionChange is a change of the decision on a fingerprint because of an observed crash, or of a restriction.
type DecisionChange struct {
	Fingerprint  Fingerprint
	From, To     Action
	Crashes      int  // that count for the fingerprint, of which this process has entries
	Explained    int  // of them, those that other fingerprints may be the cause of
	FailedTrials int  // of the others, those at which it was tried
	Told         bool // another router has told of it
	// Delay is the time from the crash, or from the begin of the restriction, to when this process knew it, by
	// the clocks of both routers.
	Delay time.Duration
}

// maxDecisionChanges bounds the changes that are kept until they are taken. Further ones are not kept.
const maxDecisionChanges = 64

// change is what may have changed the decision on a fingerprint.
type change struct {
	p    Fingerprint
	told bool
	at   time.Time
}

// recordDecisionChange keeps a change of the decision on a fingerprint.
func (t *Table) recordDecisionChange(now time.Time, from Action, by change) {
	to := t.DecideObserved(now, by.p).Action
	if to == from || len(t.decisionChanges) >= maxDecisionChanges {
		return
	}
	c := t.countCrashes(now, by.p, []Fingerprint{by.p})
	t.decisionChanges = append(t.decisionChanges, DecisionChange{
		Fingerprint: by.p, From: from, To: to, Crashes: len(c.at), Explained: c.explained, FailedTrials: c.failedTrials,
		Told: by.told, Delay: now.Sub(by.at),
	})
}

// TakeDecisionChanges returns the changes since the last call, in order.
func (t *Table) TakeDecisionChanges() []DecisionChange {
	out := t.decisionChanges
	t.decisionChanges = nil
	return out
}
