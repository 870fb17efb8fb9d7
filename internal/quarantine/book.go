package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Table holds the crash entries that one process has seen or received.
type Table struct {
	vm            string // VM of the sidecar; empty for a router
	incarnation   uint64
	crashes       uint64 // crashes recorded by this incarnation
	byFingerprint map[Fingerprint][]*Entry
	byCrash       map[Crash][]*Entry
	size          int
	changes       uint64                    // entries added and raised so far
	grants        map[Fingerprint]time.Time // when the permission to run alone ends
	outbox        outbox
	served        servedSet   // contents of requests
	partsServed   servedTimes // parts of prompts
	survivals     survivals
	restrictions  map[Fingerprint]*restriction

	decisionChanges []DecisionChange // since TakeDecisionChanges
}

// New returns an empty Table. vm and incarnation identify a sidecar; a router passes ""
// and 0.
func New(vm string, incarnation uint64) *Table {
	return &Table{
		vm:            vm,
		incarnation:   incarnation,
		byFingerprint: make(map[Fingerprint][]*Entry),
		byCrash:       make(map[Crash][]*Entry),
		grants:        make(map[Fingerprint]time.Time),
		outbox:        newOutbox(),
		restrictions:  make(map[Fingerprint]*restriction),
	}
}

// Changes returns a number that grows with each change that may turn a request into a
// suspect or convict it.
func (t *Table) Changes() uint64 { return t.changes }

// Action says whether and how a request may run.
type Action uint8

const (
	// Allow means that the request may run alongside others.
	Allow Action = iota
	// RunAlone means that the request may run only while nothing else does. No other
	// request may start until it has ended or ClearIfSurvived reports true.
	RunAlone
	// Redirect means that the request may run alone, but only on the VM named by
	// Decision.VM.
	Redirect
	// Wait means that the request may run alone here, but that a copy of it already has
	// a grant to do so.
	Wait
	// Refuse means that the fingerprint is convicted and must not run.
	Refuse
	// Try means that one copy may run alone, to see whether it is the cause of crashes that others may have
	// caused as well. Only for upstreams without a sidecar.
	Try
)

// Decision is the result of Decide.
type Decision struct {
	Action  Action
	VM      string // only for Redirect
	Crashes int    // number of crashes during which the fingerprint was running
}

// Decide returns how a request with fingerprint p may run.
//
// A suspect runs alone on the VM of the earliest crash that made it a suspect. Every
// process that knows of the suspicion knows that VM, whatever its list of VMs, so all
// copies of the request reach the same sidecar and run one after another. That upstream
// has just lost its cache and its work, so another crash costs least there. permitted is
// set if that VM's sidecar has permitted the request to run alone on another VM.
func (t *Table) Decide(now time.Time, p Fingerprint, permitted bool) Decision {
	entries := t.byFingerprint[p]
	if len(entries) == 0 && !permitted {
		return Decision{Action: Allow}
	}
	r := Decision{Crashes: t.crashCount(now, entries)}
	suspicion := t.firstSuspicion(now, entries)
	switch {
	case t.isConvicted(now, p):
		r.Action = Refuse
	case suspicion == nil && (len(entries) > 0 || !permitted):
		r.Action = Allow
	case !permitted && suspicion.VM != t.vm:
		r.Action, r.VM = Redirect, suspicion.VM
	case t.isGranted(now, p):
		r.Action = Wait
	default:
		r.Action = RunAlone
	}
	return r
}

// Recheck decides again on a request with permission to run alone here that is about to
// start: it may have been convicted or cleared while it waited.
func (t *Table) Recheck(now time.Time, p Fingerprint) Action {
	entries := t.byFingerprint[p]
	switch {
	case t.isConvicted(now, p):
		return Refuse
	case len(entries) > 0 && t.firstSuspicion(now, entries) == nil:
		return Allow
	default:
		return RunAlone
	}
}

// Grant permits a copy of p to run alone until the given time, either on this VM or,
// while its upstream is down, on another one that the copy is sent to. Until the outcome
// is known or the time has passed, Decide returns Wait for other copies, so that no two
// of them crash an upstream each.
func (t *Table) Grant(p Fingerprint, until time.Time) {
	t.grants[p] = until
}

// HasGrant reports whether any suspect has permission to run alone, here or on another
// VM. A sidecar permits only one suspect at a time to run on another VM, so that one
// crash of a busy upstream does not empty many others.
func (t *Table) HasGrant(now time.Time) bool {
	for p := range t.grants {
		if t.isGranted(now, p) {
			return true
		}
	}
	return false
}

// Revoke ends the grant of p without an outcome, because its run was cancelled or never
// began.
func (t *Table) Revoke(p Fingerprint) {
	delete(t.grants, p)
}

func (t *Table) isGranted(now time.Time, p Fingerprint) bool {
	until, ok := t.grants[p]
	if ok && !now.Before(until) {
		delete(t.grants, p)
		return false
	}
	return ok
}

// RunningRequest is a request that was running on the upstream when it crashed.
type RunningRequest struct {
	Fingerprint Fingerprint   // zero: not known
	Parts       []Fingerprint // observed crashes only: of the shared parts of its prompt
	Started     time.Time
	Awaited     time.Duration // observed crashes only: for how long its answer was awaited
	Tried       bool          // observed crashes only: it was sent alone to see whether it is the cause
}

// RecordCrash records a crash of this sidecar's upstream and returns the new entries.
// If only one fingerprint was running, it is convicted only if it was already a suspect
// of an earlier crash: upstreams also crash for unrelated reasons. A request whose
// fingerprint is not known gets no entry, but the others did not run alone.
func (t *Table) RecordCrash(now time.Time, running []RunningRequest) []Entry {
	t.crashes++
	c := crashID(t.vm, t.incarnation, t.crashes)
	at := now.Truncate(time.Millisecond)
	isAlone := isSingleFingerprint(running)
	status := Suspect
	if isAlone && len(running) > 0 && t.isSuspect(now, running[0].Fingerprint) {
		status = Convicted
	}
	var out []Entry
	for _, r := range running {
		if r.Fingerprint == 0 {
			continue
		}
		elapsed := max(0, now.Sub(r.Started)).Truncate(time.Millisecond)
		e := Entry{Fingerprint: r.Fingerprint, Crash: c, VM: t.vm, At: at, Alone: isAlone, Elapsed: elapsed, Status: status}
		t.mergeEntry(now, e)
		t.Revoke(r.Fingerprint)
		out = append(out, e)
	}
	return out
}

// isSingleFingerprint reports whether all running requests, if any, have the same
// fingerprint.
func isSingleFingerprint(running []RunningRequest) bool {
	return !slices.ContainsFunc(running, func(r RunningRequest) bool { return r.Fingerprint != running[0].Fingerprint })
}

// isSuspect reports whether p was running at an unexplained crash, or was granted to
// run alone by a sidecar that knows of one.
func (t *Table) isSuspect(now time.Time, p Fingerprint) bool {
	return t.firstSuspicion(now, t.byFingerprint[p]) != nil || t.isGranted(now, p)
}

// RecordFinished records that p has run to its end, and clears it: a request that has
// finished once does not crash every upstream that runs it.
func (t *Table) RecordFinished(now time.Time, p Fingerprint) {
	t.Revoke(p)
	for _, e := range t.byFingerprint[p] {
		t.raiseStatus(now, e, Cleared)
	}
	t.lift(now, p, true)
}

// ClearIfSurvived reports whether p, which has run alone since the time started, has run
// for long enough to count as finished, and if so records that. It must have run for at
// least minAloneTime and for twice the longest time that it ran before a crash. If only
// its end counted, a harmless request with a long response would block the upstream, and
// all other suspects, until then.
func (t *Table) ClearIfSurvived(now time.Time, p Fingerprint, started time.Time) bool {
	minElapsed := minAloneTime
	for _, e := range t.byFingerprint[p] {
		minElapsed = max(minElapsed, 2*e.Elapsed)
	}
	if now.Sub(started) < minElapsed {
		return false
	}
	t.RecordFinished(now, p)
	return true
}

// IsLikelierCause orders suspects that wait to run alone: it reports whether p is more
// likely than q to be the cause of the crashes. The fingerprint that was running at
// more crashes is likelier, and then the one that had started more recently, since a
// request that crashes its upstream mostly does so soon.
func (t *Table) IsLikelierCause(now time.Time, p, q Fingerprint) bool {
	ep, eq := t.byFingerprint[p], t.byFingerprint[q]
	if n, m := t.crashCount(now, ep), t.crashCount(now, eq); n != m {
		return n > m
	}
	return shortestElapsed(ep) < shortestElapsed(eq)
}

func shortestElapsed(entries []*Entry) time.Duration {
	var d time.Duration
	for i, e := range entries {
		if i == 0 || e.Elapsed < d {
			d = e.Elapsed
		}
	}
	return d
}

// Convicted returns the convicted fingerprints.
func (t *Table) Convicted(now time.Time) []Fingerprint {
	var out []Fingerprint
	for p := range t.byFingerprint {
		if t.isConvicted(now, p) {
			out = append(out, p)
		}
	}
	return out
}

func crashID(vm string, incarnation, n uint64) Crash {
	buf := binary.BigEndian.AppendUint64([]byte(vm), n)
	return Crash(xxh3.HashSeed(buf, incarnation))
}
