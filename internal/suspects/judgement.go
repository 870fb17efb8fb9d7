package suspects

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
)

// Judgement says how a request may be sent to an upstream without a sidecar.
type Judgement struct {
	quarantine.ObservedDecision
	// IsHeld says that the request may not be sent now, though it is not refused: with the upstreams that have
	// crashed, Silent would be as many as convict.
	IsHeld bool
	Silent []string // upstreams that have had a copy, or a request with one of its parts, and are not heard of since
}

// NewsDelay is how long news of what other routers have served takes, with a margin: 50 to 200 ms were seen among five
// routers.
const NewsDelay = 300 * time.Millisecond

// AwaitsNews reports whether the request may have to wait for a trial only because news of the other routers is under
// way: a part of prompts was at as many crashes as convict just now, and other routers may have served it since. A
// domain that ends at once does that to each part that many requests share.
func (j Judgement) AwaitsNews(now time.Time) bool {
	return j.Action == quarantine.Try && j.Fingerprint.IsPart() && now.Sub(j.Since) < NewsDelay
}

// Judge returns how a request with these fingerprints may be sent.
func (r *Registry) Judge(now time.Time, prints []quarantine.Fingerprint) Judgement {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := Judgement{ObservedDecision: r.book.DecideObserved(now, prints...)}
	if j.Action == quarantine.Refuse {
		r.book.RecordEvidence(now, prints[0], prints)
		return j
	}
	for _, p := range prints {
		if silent := r.silentAtThreshold(now, p, prints, quarantine.MaxUnknown); len(silent) > 0 {
			j.IsHeld, j.Silent = true, silent
		}
	}
	return j
}

// DecideObserved returns how a request with these fingerprints may run, whatever has become of others that were left.
func (r *Registry) DecideObserved(now time.Time, prints []quarantine.Fingerprint) quarantine.ObservedDecision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.DecideObserved(now, prints...)
}

// suspectedCrashes returns the number of crashes that a request is held responsible for because of one of its
// fingerprints.
func (r *Registry) suspectedCrashes(now time.Time, p quarantine.Fingerprint, prints []quarantine.Fingerprint) int {
	return r.book.DecideAmong(now, p, prints).SuspectedCrashes()
}

// silentAtThreshold returns the silent upstreams of a fingerprint if they and the crashes that the request is held
// responsible for because of it are together at least threshold; otherwise nil.
func (r *Registry) silentAtThreshold(now time.Time, p quarantine.Fingerprint, prints []quarantine.Fingerprint, threshold int) []string {
	silent := r.silent(now, p)
	if len(silent) == 0 || r.suspectedCrashes(now, p, prints)+len(silent) < threshold {
		return nil
	}
	return silent
}

// silent returns the upstreams at which requests with a fingerprint were left and of which nothing was heard
// since; nil if upstreams have survived most of the others, or one was served lately.
func (r *Registry) silent(now time.Time, p quarantine.Fingerprint) []string {
	if r.book.WasServed(now, p) {
		return nil
	}
	at := r.account.Whereabouts(p)
	if len(at.Silent) == 0 || r.book.IsMostlySurvived(p, at) {
		return nil
	}
	return at.Silent
}

// AboutToHold returns the silent upstreams because of which one more crash, or one more of them, holds requests
// with these fingerprints back.
func (r *Registry) AboutToHold(now time.Time, prints []quarantine.Fingerprint) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, p := range prints {
		out = append(out, r.silentAtThreshold(now, p, prints, quarantine.MaxUnknown-1)...)
	}
	return out
}

// MayRunAgain reports whether a request that was lost at these upstreams may have another attempt. One whose
// upstream has crashed is sent to a second one, since most such requests are innocent. If it is lost there as
// well, it is not sent to a third one, although it is not known yet whether the second one has crashed. An upstream
// that has had a copy and is not heard of any more counts like one that has crashed.
func (r *Registry) MayRunAgain(now time.Time, prints []quarantine.Fingerprint, lostAt []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range prints {
		if !r.mayRunAgain(now, p, prints, lostAt) {
			return false
		}
	}
	return true
}

func (r *Registry) mayRunAgain(now time.Time, p quarantine.Fingerprint, prints []quarantine.Fingerprint, lostAt []string) bool {
	crashes, silent := r.suspectedCrashes(now, p, prints), len(r.silent(now, p))
	if crashes == 0 {
		return silent <= 1
	}
	crashes += silent
	for _, upstream := range lostAt {
		if !r.book.WasLostAt(now, p, upstream) && !p.IsPart() {
			crashes++
		}
	}
	return crashes <= 1
}
