package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Case is a fingerprint that may not run as usual, as shown to operators.
type Case struct {
	Fingerprint Fingerprint
	Action      Action // RunAlone, Try or Refuse
	Crashes     int
	Upstreams   []string  // those of the crashes whose names are known here, without repetition, in ascending order
	Until       time.Time // when its last entry expires
}

// Cases returns the fingerprints that may not run as usual, in ascending order.
func (t *Table) Cases(now time.Time) []Case {
	var out []Case
	for p := range t.restrictedOrLost() {
		entries := t.byFingerprint[p]
		c := Case{Fingerprint: p, Action: t.actionOn(now, p), Crashes: t.crashCount(now, entries)}
		if c.Action == Allow {
			continue
		}
		if r, ok := t.inForce(now, p); ok {
			c.Until, c.Crashes = r.Since.Add(r.ttl()), max(c.Crashes, crashesToConvict)
		}
		for _, e := range entries {
			if until := e.At.Add(e.ttl()); until.After(c.Until) {
				c.Until = until
			}
			if e.isLive(now) && e.Status != Cleared && e.VM != "" {
				c.Upstreams = append(c.Upstreams, e.VM)
			}
		}
		slices.Sort(c.Upstreams)
		c.Upstreams = slices.Compact(c.Upstreams)
		out = append(out, c)
	}
	slices.SortFunc(out, func(x, y Case) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	return out
}

// String returns the name of an action that is shown to operators.
func (a Action) String() string {
	names := [...]string{Allow: "allow", RunAlone: "run-alone", Redirect: "redirect", Wait: "wait", Refuse: "refuse", Try: "try"}
	if int(a) < len(names) {
		return names[a]
	}
	return "unknown"
}

// actionOn returns how a fingerprint may run at an upstream that has had none of its crashes.
func (t *Table) actionOn(now time.Time, p Fingerprint) Action {
	if t.isConvicted(now, p) {
		return Refuse
	}
	if t.firstSuspicion(now, t.unobserved(p)) != nil {
		return RunAlone
	}
	return t.DecideObserved(now, p).Action
}

// unobserved returns the entries of a fingerprint that sidecars have recorded.
func (t *Table) unobserved(p Fingerprint) []*Entry {
	var out []*Entry
	for _, e := range t.byFingerprint[p] {
		if !e.Observed {
			out = append(out, e)
		}
	}
	return out
}
