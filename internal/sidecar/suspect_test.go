package sidecar

import (
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// crashSite is a sidecar whose upstream crashed while it ran crasherPrint, and is
// down.
type crashSite struct {
	*State
	now    time.Time
	copies byte
}

const crasherFingerprint = 7

func newCrashSite() *crashSite {
	s := &crashSite{State: NewState(Settings{VM: "a", Incarnation: 1, Keys: 100}), now: time.Unix(1_800_000_000, 0)}
	s.quarantine.RecordCrash(s.now, []quarantine.RunningRequest{{Fingerprint: crasherFingerprint, Started: s.now}, {Fingerprint: 8, Started: s.now}})
	s.Step(Ticked{Now: s.now})
	s.Step(Probed{Now: s.now, Health: upstream.Health{State: upstream.Gone}})
	return s
}

// submitCopy submits a copy of the request and returns its nonce and the reply.
func (s *crashSite) submitCopy() (token.Nonce, wire.Admission) {
	s.copies++
	key := wire.Key{VM: "a", Incarnation: 1, Nonce: token.Nonce{s.copies}, Expires: s.now.Add(time.Hour).Unix()}
	next := wire.Key{VM: "b", Incarnation: 2, Nonce: token.Nonce{100 + s.copies}, Expires: key.Expires}
	sub := wire.Submit{Key: key, Successor: &next, Org: "org", Fingerprint: crasherFingerprint, Policy: wire.RequestPolicy{Deadline: time.Minute}}
	for _, effect := range s.Step(Submitted{Now: s.now, Submit: sub}) {
		if reply, ok := effect.(Reply); ok {
			return key.Nonce, reply.Admission
		}
	}
	return key.Nonce, wire.Admission{}
}

// The sidecar of a crashed upstream permits a suspect to run alone at another VM, but
// no sidecar admits the suspect. Unless the router's report of the unused permit
// revokes it, the first sidecar rejects all other copies for a minute, the deadline of
// the copy that never runs.
func TestUnusedPermitIsRevoked(t *testing.T) {
	s := newCrashSite()
	first, a := s.submitCopy()
	if !a.HasPermit {
		t.Fatalf("the first copy got no permit: %+v", a)
	}
	second, a := s.submitCopy()
	if a.HasPermit || a.Error.Reason != verdict.ReasonSuspect {
		t.Fatalf("the second copy did not have to wait: %+v", a)
	}
	s.Step(ReportReceived{Now: s.now, Report: wire.Report{UnusedPermit: &wire.Permit{Fingerprint: crasherFingerprint, Nonce: second}}})
	if _, a := s.submitCopy(); a.HasPermit {
		t.Fatal("a copy got a permit while another copy has it")
	}
	s.Step(ReportReceived{Now: s.now, Report: wire.Report{UnusedPermit: &wire.Permit{Fingerprint: crasherFingerprint, Nonce: first}}})
	if _, a := s.submitCopy(); !a.HasPermit {
		t.Fatalf("no copy gets a permit any more: %+v", a)
	}
}

// Guards against another lost upstream: a copy of a request waits in the queue while evidence
// arrives that the request has crashed an upstream, and starts beside others when a place is
// free.
func TestQueuedSuspectDoesNotStart(t *testing.T) {
	for name, crashes := range map[string]int{"suspect": 1, "convicted": 2} {
		t.Run(name, func(t *testing.T) {
			l := newLone()
			var busy []token.Nonce
			for session := range uint64(8) {
				busy = append(busy, l.start(session+1, quarantine.Fingerprint(100+session)))
			}
			waiting := l.start(20, crasherFingerprint)
			harmless := l.start(21, 8)
			site := quarantine.New("b", 1)
			for range crashes {
				site.RecordCrash(l.now, []quarantine.RunningRequest{{Fingerprint: crasherFingerprint, Started: l.now}})
			}
			effects := l.Step(ReportReceived{Now: l.now, Report: wire.Report{Suspects: site.All(l.now)}})
			f := finishOf(effects, waiting)
			if f == nil || f.Error.Verdict != verdict.NotRun || len(f.Control.Suspects) == 0 {
				t.Fatalf("the request waits on, or its end has no evidence: %+v", f)
			}
			for _, n := range busy[:2] {
				l.end(n, nil)
			}
			if l.requests[waiting].phase != ended || l.requests[harmless].phase != running {
				t.Error("the suspect runs, or the harmless request does not")
			}
		})
	}
}

// The sidecar of a session's home upstream receives evidence that a request crashed
// another upstream, and is then drained. The caller resends the request. If the sidecar
// rejected it as draining and without the evidence, the router would send it to an
// upstream whose sidecar has no evidence, and that upstream would crash, too.
func TestDrainingHomeReportsSuspects(t *testing.T) {
	home := &crashSite{State: NewState(Settings{VM: "home", Incarnation: 1, Keys: 100}), now: time.Unix(1_800_000_000, 0)}
	home.Step(ReportReceived{Now: home.now, Report: wire.Report{Suspects: newCrashSite().quarantine.EvidenceFor(home.now, crasherFingerprint)}})
	home.Step(NoticeReceived{Now: home.now, Notice: wire.Notice{Leaving: true, Version: 1}})
	_, a := home.submitCopy()
	if a.Error == nil || a.Error.Reason != verdict.ReasonSuspect || len(a.Control.Suspects) == 0 {
		t.Fatalf("the reply has no evidence of the crash: %+v", a)
	}
}
