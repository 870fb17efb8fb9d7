package sidecar

import (
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// pass lets time pass and returns the effects of the timers that are due then.
func (l *lone) pass(d time.Duration) []Effect {
	l.now = l.now.Add(d)
	return l.Step(Ticked{Now: l.now})
}

// isProbing reports whether the effects start a probe.
func isProbing(effects []Effect) bool {
	for _, effect := range effects {
		if _, ok := effect.(Probe); ok {
			return true
		}
	}
	return false
}

// finishOf returns the end of a response among the effects, nil if it has not ended.
func finishOf(effects []Effect, n token.Nonce) *Finish {
	for _, effect := range effects {
		if f, ok := effect.(Finish); ok && f.Nonce == n {
			return &f
		}
	}
	return nil
}

// isSuspect reports whether a fingerprint is a suspect at this sidecar.
func (l *lone) isSuspect(fp quarantine.Fingerprint) bool {
	return l.quarantine.Decide(l.now, fp, false).Action != quarantine.Allow
}

// expectCrash checks that effects record the crash before the response of n ends.
func (l *lone) expectCrash(t *testing.T, effects []Effect, n token.Nonce) {
	t.Helper()
	f := finishOf(effects, n)
	if f == nil || f.Error == nil || len(f.Control.Suspects) == 0 || !l.isSuspect(crasherFingerprint) {
		t.Errorf("the end of the response has no evidence of the crash: %+v", f)
	}
}

// Guards against a crash that is not recorded because a probe that began before it found
// the upstream up.
func TestProbeFromBeforeTheCrashDecidesNothing(t *testing.T) {
	l := newLone()
	n := l.start(1, crasherFingerprint)
	if !isProbing(l.pass(probeIntervalUp)) {
		t.Fatal("no periodic probe")
	}
	l.end(n, errBroken)
	effects := l.probed(upstream.Health{Instance: "1"})
	if finishOf(effects, n) != nil {
		t.Fatal("the response ends by a probe from before the crash")
	}
	if !isProbing(effects) {
		t.Fatal("no probe follows at once")
	}
	l.expectCrash(t, l.probed(upstream.Health{Instance: "2"}), n)
}

// Guards against a crash that is not recorded because a probe has seen the restarted
// upstream before the end of the call was handled.
func TestRestartSeenBeforeTheEndOfTheCall(t *testing.T) {
	l := newLone()
	n := l.start(1, crasherFingerprint)
	l.pass(probeIntervalUp)
	l.probed(upstream.Health{Instance: "2"})
	effects := l.end(n, errBroken)
	if finishOf(effects, n) == nil {
		effects = l.probed(upstream.Health{Instance: "2"})
	}
	l.expectCrash(t, effects, n)
}

// Guards against a crash that is not recorded because a probe has found that the process
// has ended before the end of the call was handled, and it is back by then. This upstream
// does not name its process.
func TestEndOfProcessSeenBeforeTheEndOfTheCall(t *testing.T) {
	l := newLoneAt("")
	n := l.start(1, crasherFingerprint)
	l.pass(probeIntervalUp)
	l.probed(upstream.Health{State: upstream.Gone})
	l.pass(probeIntervalDown)
	l.probed(upstream.Health{})
	effects := l.end(n, errBroken)
	if finishOf(effects, n) == nil {
		effects = l.probed(upstream.Health{})
	}
	l.expectCrash(t, effects, n)
}

// Guards against a crash that is not recorded because the probe after it timed out: the
// machine is busy, or the upstream is starting.
func TestTimedOutProbeDecidesNothing(t *testing.T) {
	for name, last := range map[string]upstream.Health{
		"is back":       {Instance: "2"},
		"is gone":       {State: upstream.Gone},
		"does not wake": {State: upstream.Frozen},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLone()
			n := l.start(1, crasherFingerprint)
			l.end(n, errBroken)
			l.now = l.now.Add(upstream.ProbeTimeout)
			effects := l.probed(upstream.Health{State: upstream.Frozen})
			if finishOf(effects, n) != nil {
				t.Fatal("the response ends though it is not known whether the upstream crashed")
			}
			if !isProbing(effects) {
				t.Fatal("no probe follows at once")
			}
			l.expectCrash(t, l.probed(last), n)
		})
	}
}

// Guards against harmless requests that are taken for suspects: the upstream has broken off
// a call and goes on.
func TestBrokenCallOfALivingUpstreamIsNoCrash(t *testing.T) {
	l := newLone()
	n := l.start(1, crasherFingerprint)
	other := l.start(2, 8)
	l.end(n, errBroken)
	l.now = l.now.Add(upstream.ProbeTimeout)
	l.probed(upstream.Health{State: upstream.Frozen})
	f := finishOf(l.probed(upstream.Health{Instance: "1"}), n)
	if f == nil || f.Error.Reason != verdict.ReasonUpstreamFailed || len(f.Control.Suspects) > 0 {
		t.Errorf("end of the response: %+v", f)
	}
	if l.isSuspect(crasherFingerprint) || l.isSuspect(8) {
		t.Error("a request is a suspect though nothing crashed")
	}
	l.end(other, nil)
}

// Guards against innocent suspects: a request that began at the new process was not running
// when the former one crashed.
func TestRequestsOfTheNewProcessAreNoSuspects(t *testing.T) {
	l := newLone()
	n := l.start(1, crasherFingerprint)
	l.pass(probeIntervalUp)
	l.probed(upstream.Health{Instance: "2"})
	l.start(2, 8)
	effects := l.end(n, errBroken)
	if finishOf(effects, n) == nil {
		effects = l.probed(upstream.Health{Instance: "2"})
	}
	l.expectCrash(t, effects, n)
	if l.isSuspect(8) {
		t.Error("a request that began after the crash is a suspect")
	}
}

// Guards against an upstream that is down and counts as up for seconds: the call that found
// it down asked for a probe while another one, from before, was under way.
func TestProbeAskedForDuringAProbeFollows(t *testing.T) {
	l := newLone()
	n := l.start(1, 8)
	l.pass(probeIntervalUp)
	l.end(n, verdict.New(verdict.NotRun, verdict.ReasonUpstreamDown, ""))
	if !isProbing(l.probed(upstream.Health{Instance: "1"})) {
		t.Error("no probe follows")
	}
}

// importPrefix starts the import of a prefix and returns its ticket.
func (l *lone) importPrefix(t *testing.T, fp quarantine.Fingerprint) Ticket {
	t.Helper()
	l.tickets++
	effects := l.Step(ImportRequested{Now: l.now, Ticket: l.tickets, Session: 5, Fingerprint: fp})
	if err := transferError(t, effects); err != nil {
		t.Fatalf("import refused: %v", err)
	}
	return l.tickets
}

// Guards against a crash that nobody is suspected of: the upstream crashes of a prefix that
// it has imported, while no request runs, before or after the import has ended.
func TestCrashOfAnImportIsRecorded(t *testing.T) {
	t.Run("broken off", func(t *testing.T) {
		l := newLone()
		ticket := l.importPrefix(t, crasherFingerprint)
		if !isProbing(l.Step(ImportEnded{Now: l.now, Ticket: ticket, Err: errBroken})) {
			t.Fatal("no probe follows the broken import")
		}
		l.probed(upstream.Health{State: upstream.Gone})
		if !l.isSuspect(crasherFingerprint) {
			t.Error("nobody is suspected of the crash")
		}
	})
	t.Run("ended", func(t *testing.T) {
		l := newLone()
		l.Step(ImportEnded{Now: l.now, Ticket: l.importPrefix(t, crasherFingerprint)})
		if !isProbing(l.pass(importSettleTime)) {
			t.Fatal("no probe follows the import")
		}
		l.probed(upstream.Health{Instance: "2"})
		if !l.isSuspect(crasherFingerprint) {
			t.Error("nobody is suspected of the crash")
		}
	})
	t.Run("ended, and a request runs", func(t *testing.T) {
		l := newLone()
		l.Step(ImportEnded{Now: l.now, Ticket: l.importPrefix(t, crasherFingerprint)})
		l.end(l.start(1, 8), errBroken)
		l.probed(upstream.Health{Instance: "2"})
		if !l.isSuspect(crasherFingerprint) || !l.isSuspect(8) {
			t.Error("not both are suspected of the crash")
		}
	})
}

// Guards against harmless prefixes that are suspected of a crash which came later.
func TestImportThatTheUpstreamSurvivesIsNoSuspect(t *testing.T) {
	l := newLone()
	l.Step(ImportEnded{Now: l.now, Ticket: l.importPrefix(t, 8)})
	l.pass(importSettleTime)
	l.probed(upstream.Health{Instance: "1"})
	l.end(l.start(1, crasherFingerprint), errBroken)
	l.probed(upstream.Health{Instance: "2"})
	if l.isSuspect(8) || !l.isSuspect(crasherFingerprint) {
		t.Error("a prefix that the upstream has survived is suspected, or the request that crashed it is not")
	}
}

// Guards against a third lost upstream: a suspect that crashes an upstream alone is convicted
// only if an import beside it cannot have been the cause.
func TestSuspectWaitsForImports(t *testing.T) {
	l := newLone()
	l.end(l.start(1, crasherFingerprint), errBroken)
	l.probed(upstream.Health{Instance: "2"})
	ticket := l.importPrefix(t, 8)
	suspect := l.start(1, crasherFingerprint)
	if l.isolated != nil {
		t.Fatal("the suspect runs beside an import")
	}
	l.Step(ImportEnded{Now: l.now, Ticket: ticket})
	if l.isolated != nil {
		t.Fatal("the suspect runs before the upstream has survived the import")
	}
	l.pass(importSettleTime)
	l.probed(upstream.Health{Instance: "2"})
	if l.isolated == nil {
		t.Fatal("the suspect does not run")
	}
	l.end(suspect, errBroken)
	l.probed(upstream.Health{Instance: "3"})
	if action := l.quarantine.Decide(l.now, crasherFingerprint, false).Action; action != quarantine.Refuse {
		t.Errorf("the request that crashed two upstreams is not convicted: action %d", action)
	}
}

// Guards against an innocent request that is convicted of a crash beside an import of which
// only its session is known, as from a sidecar of an earlier release.
func TestImportOfUnknownRequestIsNoEvidenceAgainstOthers(t *testing.T) {
	l := newLone()
	l.end(l.start(1, 8), errBroken)
	l.probed(upstream.Health{Instance: "2"})
	l.end(l.start(1, 8), nil)
	l.end(l.start(1, 8), errBroken)
	l.probed(upstream.Health{Instance: "3"})
	l.Step(ImportEnded{Now: l.now, Ticket: l.importPrefix(t, 0)})
	l.end(l.start(2, 9), errBroken)
	l.probed(upstream.Health{Instance: "4"})
	for _, e := range l.quarantine.Cases(l.now) {
		if e.Action == quarantine.Refuse {
			t.Errorf("request %s is convicted", e.Fingerprint)
		}
	}
}

// Guards against an upstream that runs more requests than it has slots: those of an earlier
// incarnation of the sidecar were counted off for requests that began during the probe.
func TestExternalRequestsAreNotCountedOffForLaterOnes(t *testing.T) {
	l := newLoneAt("")
	l.State = NewState(l.settings)
	l.Step(Ticked{Now: l.now})
	l.probed(upstream.Health{Running: 6})
	l.start(1, 11)
	l.pass(probeIntervalDown) // a probe begins and is answered: 7 run
	l.start(2, 12)
	l.probed(upstream.Health{Running: 7})
	if l.probe.external != 6 {
		t.Errorf("%d external requests are counted, want 6", l.probe.external)
	}
	l.pass(probeIntervalDown)
	l.probed(upstream.Health{Running: 3}) // 5 of the external ones have ended
	if l.probe.external != 1 {
		t.Errorf("%d external requests are counted, want 1", l.probe.external)
	}
}

// Guards against the same where the first probe times out: nothing starts before the
// requests of earlier incarnations are counted.
func TestExternalRequestsAreCountedAfterAProbeThatTimedOut(t *testing.T) {
	l := newLone()
	l.State = NewState(l.settings)
	l.Step(Ticked{Now: l.now})
	l.probed(upstream.Health{State: upstream.Frozen})
	n := l.start(1, 11)
	if l.requests[n].phase != queued {
		t.Error("a request runs before it is known how many do")
	}
	l.pass(probeIntervalDown)
	l.probed(upstream.Health{Running: 8})
	if l.requests[n].phase != queued || l.probe.external != 8 {
		t.Errorf("%d external requests are counted, want 8", l.probe.external)
	}
	l.pass(probeIntervalDown)
	l.probed(upstream.Health{Running: 7})
	if l.requests[n].phase != running {
		t.Error("the request does not run though a slot is free")
	}
}
