package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Table is what one node knows of crashes.
type Table struct {
	vm            string // of the node; empty for a router
	incarnation   uint64
	crashes       uint64 // seen by this incarnation
	byFingerprint map[Fingerprint][]*Entry
	byCrash       map[Crash][]*Entry
	size          int
	grants        map[Fingerprint]time.Time // when leave to run alone ends
	outbox        outbox
}

// New returns an empty Book. vm and incarnation are those of a sidecar; a
// router's Book has neither.
func New(vm string, incarnation uint64) *Table {
	return &Table{
		vm:            vm,
		incarnation:   incarnation,
		byFingerprint: make(map[Fingerprint][]*Entry),
		byCrash:       make(map[Crash][]*Entry),
		grants:        make(map[Fingerprint]time.Time),
		outbox:        newOutbox(),
	}
}

// Action says how a request may run.
type Action uint8

const (
	// Allow may run beside others.
	Allow Action = iota
	// RunAlone may run when nothing else does; nothing else may start until it has
	// ended or Released reports true.
	RunAlone
	// Redirect may run alone at the VM that Ruling.Site names, and nowhere else.
	Redirect
	// Wait may run alone here, but a copy of it has leave to do so already.
	Wait
	// Refuse never runs: it is convicted.
	Refuse
)

// Decision is the answer to Decide.
type Decision struct {
	Action  Action
	VM      string // for Elsewhere
	Crashes int    // crashes at which the fingerprint was running
}

// Decide rules on a request with fingerprint p. leave is what came with it: a
// word of the site of its crash that it may run alone at another VM.
//
// A suspect runs alone at the upstream whose crash made it one: every node
// that knows of the suspicion knows that VM, whatever list of VMs it has, so
// all copies of the request meet one sidecar and run one after the other. That
// upstream has just lost its cache and its work, so it costs least there.
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

// Recheck rules anew on a request with leave to run alone here that is about
// to start: it may have been convicted or cleared while it waited.
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

// Grant gives a copy of p leave to run alone until a time: here, or at the VM
// to which the site sends it while its own upstream is down. Until the outcome
// is known or the time has passed, Decide answers Wait to other copies, so
// that no two of them take an upstream with them.
func (t *Table) Grant(p Fingerprint, until time.Time) {
	t.grants[p] = until
}

// HasGrant reports whether some suspect has leave to run alone elsewhere or here.
// A site lends to one VM at a time, so that one crash of a busy upstream does
// not empty many others.
func (t *Table) HasGrant(now time.Time) bool {
	for p := range t.grants {
		if t.isGranted(now, p) {
			return true
		}
	}
	return false
}

// Revoke ends the leave of p without an outcome: its run was cancelled or
// never began.
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

// RunningRequest is a request at the upstream when it crashed.
type RunningRequest struct {
	Fingerprint Fingerprint
	Started     time.Time
}

// RecordCrash enters a crash of this sidecar's upstream and returns what it
// entered. A crash with one fingerprint running convicts it only if it is a
// suspect of an earlier crash: upstreams also fail for reasons of their own.
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
		runTime := max(0, now.Sub(r.Started)).Truncate(time.Millisecond)
		e := Entry{Fingerprint: r.Fingerprint, Crash: c, VM: t.vm, At: at, Alone: isAlone, RunTime: runTime, Status: status}
		t.mergeEntry(now, e)
		t.Revoke(r.Fingerprint)
		out = append(out, e)
	}
	return out
}

// isSingleFingerprint reports whether only one fingerprint was running, if in several copies.
func isSingleFingerprint(running []RunningRequest) bool {
	return !slices.ContainsFunc(running, func(r RunningRequest) bool { return r.Fingerprint != running[0].Fingerprint })
}

// isSuspect reports whether p was running at a crash that nothing explains, or
// has leave to run alone from a sidecar that knows of one.
func (t *Table) isSuspect(now time.Time, p Fingerprint) bool {
	return t.firstSuspicion(now, t.byFingerprint[p]) != nil || t.isGranted(now, p)
}

// RecordFinished enters that p has run to its end. Whatever crashed the upstreams,
// it is not a request that crashes each upstream that runs it.
func (t *Table) RecordFinished(now time.Time, p Fingerprint) {
	t.Revoke(p)
	for _, e := range t.byFingerprint[p] {
		t.raiseStatus(now, e, Cleared)
	}
}

// ClearIfSurvived reports whether p has run alone, since started, for so long that
// it counts as finished, and enters it as such. It must have outlived twice
// the time after which it last was part of a crash. Without this a bystander
// with a long answer would hold the upstream, and all other suspects, until
// its end.
func (t *Table) ClearIfSurvived(now time.Time, p Fingerprint, started time.Time) bool {
	minRunTime := minAloneTime
	for _, e := range t.byFingerprint[p] {
		minRunTime = max(minRunTime, 2*e.RunTime)
	}
	if now.Sub(started) < minRunTime {
		return false
	}
	t.RecordFinished(now, p)
	return true
}

// IsLikelierCause orders suspects that wait to run alone: it reports whether p is a
// likelier culprit than q. What was running at more crashes is, and then what
// had started last, since a request that crashes its upstream mostly does so
// soon.
func (t *Table) IsLikelierCause(now time.Time, p, q Fingerprint) bool {
	ep, eq := t.byFingerprint[p], t.byFingerprint[q]
	if n, m := t.crashCount(now, ep), t.crashCount(now, eq); n != m {
		return n > m
	}
	return shortestRunTime(ep) < shortestRunTime(eq)
}

func shortestRunTime(entries []*Entry) time.Duration {
	var d time.Duration
	for i, e := range entries {
		if i == 0 || e.RunTime < d {
			d = e.RunTime
		}
	}
	return d
}

// Case is what operators are told of a fingerprint.
type Case struct {
	Fingerprint Fingerprint
	Convicted   bool // else a suspect
	Crashes     int
	Until       time.Time
}

// Cases returns the suspects and convicts, in the order of their fingerprints.
func (t *Table) Cases(now time.Time) []Case {
	var out []Case
	for p, entries := range t.byFingerprint {
		c := Case{Fingerprint: p, Convicted: t.isConvicted(now, p), Crashes: t.crashCount(now, entries)}
		if !c.Convicted && t.firstSuspicion(now, entries) == nil {
			continue
		}
		for _, e := range entries {
			if until := e.At.Add(e.ttl()); until.After(c.Until) {
				c.Until = until
			}
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(x, y Case) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	return out
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
