package quarantine

import "time"

// DecisionChange is a change of the decision on a fingerprint because of an entry of an observed crash.
type DecisionChange struct {
	Fingerprint  Fingerprint
	From, To     Action
	Crashes      int           // that count for the fingerprint
	Explained    int           // of them, those that other fingerprints may be the cause of
	FailedTrials int           // of the others, those at which it was tried
	Told         bool          // another router has told of the entry
	Delay        time.Duration // from the crash to when this process knew it, by the clocks of both routers
}

// maxDecisionChanges bounds the changes that are kept until they are taken. Further ones are not kept.
const maxDecisionChanges = 64

// recordDecisionChange keeps a change of the decision on an entry's fingerprint.
func (t *Table) recordDecisionChange(now time.Time, from Action, e *Entry) {
	to := t.DecideObserved(now, e.Fingerprint).Action
	if to == from || len(t.decisionChanges) >= maxDecisionChanges {
		return
	}
	c := t.countCrashes(now, e.Fingerprint, []Fingerprint{e.Fingerprint})
	t.decisionChanges = append(t.decisionChanges, DecisionChange{
		Fingerprint: e.Fingerprint, From: from, To: to, Crashes: len(c.ends), Explained: c.explained, FailedTrials: c.failedTrials,
		Told: !e.own, Delay: now.Sub(e.At),
	})
}

// TakeDecisionChanges returns the changes since the last call, in order.
func (t *Table) TakeDecisionChanges() []DecisionChange {
	out := t.decisionChanges
	t.decisionChanges = nil
	return out
}
