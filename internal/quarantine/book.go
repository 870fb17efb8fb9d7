package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Book is what one node knows of crashes.
type Book struct {
	vm          string // of the node; empty for a router
	incarnation uint64
	crashes     uint64 // seen by this incarnation
	byPrint     map[Print][]*Entry
	byCrash     map[Crash][]*Entry
	size        int
	grants      map[Print]time.Time // when leave to run alone ends
	tell        teller
}

// New returns an empty Book. vm and incarnation are those of a sidecar; a
// router's Book has neither.
func New(vm string, incarnation uint64) *Book {
	return &Book{
		vm:          vm,
		incarnation: incarnation,
		byPrint:     make(map[Print][]*Entry),
		byCrash:     make(map[Crash][]*Entry),
		grants:      make(map[Print]time.Time),
		tell:        newTeller(),
	}
}

// Action says how a request may run.
type Action uint8

const (
	// Free may run beside others.
	Free Action = iota
	// Alone may run when nothing else does; nothing else may start until it has
	// ended or Released reports true.
	Alone
	// Elsewhere may run alone at the VM that Ruling.Site names, and nowhere else.
	Elsewhere
	// Wait may run alone here, but a copy of it has leave to do so already.
	Wait
	// Refuse never runs: it is convicted.
	Refuse
)

// Ruling is the answer to Decide.
type Ruling struct {
	Action  Action
	Site    string // for Elsewhere
	Crashes int    // crashes at which the fingerprint was running
}

// Decide rules on a request with fingerprint p. leave is what came with it: a
// word of the site of its crash that it may run alone at another VM.
//
// A suspect runs alone at the upstream whose crash made it one: every node
// that knows of the suspicion knows that VM, whatever list of VMs it has, so
// all copies of the request meet one sidecar and run one after the other. That
// upstream has just lost its cache and its work, so it costs least there.
func (b *Book) Decide(now time.Time, p Print, leave bool) Ruling {
	entries := b.byPrint[p]
	if len(entries) == 0 && !leave {
		return Ruling{Action: Free}
	}
	r := Ruling{Crashes: b.count(now, entries)}
	first := b.first(now, entries)
	switch {
	case b.convicted(now, p):
		r.Action = Refuse
	case first == nil && (len(entries) > 0 || !leave):
		r.Action = Free
	case !leave && first.Site != b.vm:
		r.Action, r.Site = Elsewhere, first.Site
	case b.granted(now, p):
		r.Action = Wait
	default:
		r.Action = Alone
	}
	return r
}

// Recheck rules anew on a request with leave to run alone here that is about
// to start: it may have been convicted or cleared while it waited.
func (b *Book) Recheck(now time.Time, p Print) Action {
	entries := b.byPrint[p]
	switch {
	case b.convicted(now, p):
		return Refuse
	case len(entries) > 0 && b.first(now, entries) == nil:
		return Free
	default:
		return Alone
	}
}

// Grant gives a copy of p leave to run alone until a time: here, or at the VM
// to which the site sends it while its own upstream is down. Until the outcome
// is known or the time has passed, Decide answers Wait to other copies, so
// that no two of them take an upstream with them.
func (b *Book) Grant(p Print, until time.Time) {
	b.grants[p] = until
}

// Lent reports whether some suspect has leave to run alone elsewhere or here.
// A site lends to one VM at a time, so that one crash of a busy upstream does
// not empty many others.
func (b *Book) Lent(now time.Time) bool {
	for p := range b.grants {
		if b.granted(now, p) {
			return true
		}
	}
	return false
}

// Withdraw ends the leave of p without an outcome: its run was cancelled or
// never began.
func (b *Book) Withdraw(p Print) {
	delete(b.grants, p)
}

func (b *Book) granted(now time.Time, p Print) bool {
	until, ok := b.grants[p]
	if ok && !now.Before(until) {
		delete(b.grants, p)
		return false
	}
	return ok
}

// Running is a request at the upstream when it crashed.
type Running struct {
	Print   Print
	Started time.Time
}

// Crashed enters a crash of this sidecar's upstream and returns what it
// entered. A crash with one fingerprint running convicts it only if it is a
// suspect of an earlier crash: upstreams also fail for reasons of their own.
func (b *Book) Crashed(now time.Time, running []Running) []Entry {
	b.crashes++
	c := crashID(b.vm, b.incarnation, b.crashes)
	at := now.Truncate(time.Millisecond)
	alone := alone(running)
	standing := Suspect
	if alone && len(running) > 0 && b.suspected(now, running[0].Print) {
		standing = Convicted
	}
	var out []Entry
	for _, r := range running {
		exposure := max(0, now.Sub(r.Started)).Truncate(time.Millisecond)
		e := Entry{Print: r.Print, Crash: c, Site: b.vm, At: at, Alone: alone, Exposure: exposure, Standing: standing}
		b.enter(now, e)
		b.Withdraw(r.Print)
		out = append(out, e)
	}
	return out
}

// alone reports whether only one fingerprint was running, if in several copies.
func alone(running []Running) bool {
	return !slices.ContainsFunc(running, func(r Running) bool { return r.Print != running[0].Print })
}

// suspected reports whether p was running at a crash that nothing explains, or
// has leave to run alone from a sidecar that knows of one.
func (b *Book) suspected(now time.Time, p Print) bool {
	return b.first(now, b.byPrint[p]) != nil || b.granted(now, p)
}

// Finished enters that p has run to its end. Whatever crashed the upstreams,
// it is not a request that crashes each upstream that runs it.
func (b *Book) Finished(now time.Time, p Print) {
	b.Withdraw(p)
	for _, e := range b.byPrint[p] {
		b.raise(now, e, Cleared)
	}
}

// Released reports whether p has run alone, since started, for so long that
// it counts as finished, and enters it as such. It must have outlived twice
// the time after which it last was part of a crash. Without this a bystander
// with a long answer would hold the upstream, and all other suspects, until
// its end.
func (b *Book) Released(now time.Time, p Print, started time.Time) bool {
	need := minAlone
	for _, e := range b.byPrint[p] {
		need = max(need, 2*e.Exposure)
	}
	if now.Sub(started) < need {
		return false
	}
	b.Finished(now, p)
	return true
}

// MoreLikely orders suspects that wait to run alone: it reports whether p is a
// likelier culprit than q. What was running at more crashes is, and then what
// had started last, since a request that crashes its upstream mostly does so
// soon.
func (b *Book) MoreLikely(now time.Time, p, q Print) bool {
	ep, eq := b.byPrint[p], b.byPrint[q]
	if n, m := b.count(now, ep), b.count(now, eq); n != m {
		return n > m
	}
	return shortest(ep) < shortest(eq)
}

func shortest(entries []*Entry) time.Duration {
	var d time.Duration
	for i, e := range entries {
		if i == 0 || e.Exposure < d {
			d = e.Exposure
		}
	}
	return d
}

// Case is what operators are told of a fingerprint.
type Case struct {
	Print     Print
	Convicted bool // else a suspect
	Crashes   int
	Until     time.Time
}

// Cases returns the suspects and convicts, in the order of their fingerprints.
func (b *Book) Cases(now time.Time) []Case {
	var out []Case
	for p, entries := range b.byPrint {
		c := Case{Print: p, Convicted: b.convicted(now, p), Crashes: b.count(now, entries)}
		if !c.Convicted && b.first(now, entries) == nil {
			continue
		}
		for _, e := range entries {
			if until := e.At.Add(e.ttl()); until.After(c.Until) {
				c.Until = until
			}
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(x, y Case) int { return cmp.Compare(x.Print, y.Print) })
	return out
}

// Convicted returns the convicted fingerprints.
func (b *Book) Convicted(now time.Time) []Print {
	var out []Print
	for p := range b.byPrint {
		if b.convicted(now, p) {
			out = append(out, p)
		}
	}
	return out
}

func crashID(vm string, incarnation, n uint64) Crash {
	buf := binary.BigEndian.AppendUint64([]byte(vm), n)
	return Crash(xxh3.HashSeed(buf, incarnation))
}
