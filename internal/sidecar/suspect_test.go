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

// crashSite is a sidecar whose upstream has crashed under a request and is down.
type crashSite struct {
	*State
	now    time.Time
	copies byte
}

const crasherPrint = 7 // fingerprint

func newCrashSite() *crashSite {
	s := &crashSite{State: NewState(Settings{VM: "a", Incarnation: 1, Keys: 100}), now: time.Unix(1_800_000_000, 0)}
	s.quarantine.RecordCrash(s.now, []quarantine.RunningRequest{{Fingerprint: crasherPrint, Started: s.now}, {Fingerprint: 8, Started: s.now}})
	s.Step(Probed{Now: s.now, Health: upstream.Health{State: upstream.Gone}})
	return s
}

// submitCopy submits a copy of the request and returns its key and the reply.
func (s *crashSite) submitCopy() (token.Nonce, wire.Admission) {
	s.copies++
	key := wire.Key{VM: "a", Incarnation: 1, Nonce: token.Nonce{s.copies}, Expires: s.now.Add(time.Hour).Unix()}
	next := wire.Key{VM: "b", Incarnation: 2, Nonce: token.Nonce{100 + s.copies}, Expires: key.Expires}
	sub := wire.Submit{Key: key, Successor: &next, Org: "club", Fingerprint: crasherPrint, Treatment: wire.Treatment{Deadline: time.Minute}}
	for _, effect := range s.Step(Submitted{Now: s.now, Submit: sub}) {
		if reply, ok := effect.(Reply); ok {
			return key.Nonce, reply.Admission
		}
	}
	return key.Nonce, wire.Admission{}
}

// An engine crashes; a chat that ran on it comes again and is sent to run alone
// elsewhere, but no sidecar on its way takes it. Its caller is told to come
// back, and is told the same again and again for a minute, because the site
// still keeps the place for the copy that will never run.
func TestUnusedGrantIsRevoked(t *testing.T) {
	s := newCrashSite()
	first, a := s.submitCopy()
	if !a.HasPermit {
		t.Fatalf("the first copy got no leave: %+v", a)
	}
	second, a := s.submitCopy()
	if a.HasPermit || a.Error.Reason != verdict.ReasonSuspect {
		t.Fatalf("the second copy was not told to wait: %+v", a)
	}
	s.Step(ReportReceived{Now: s.now, Report: wire.Report{UnusedPermit: &wire.Permit{Fingerprint: crasherPrint, Nonce: second}}})
	if _, a := s.submitCopy(); a.HasPermit {
		t.Fatal("a copy got leave while another has it")
	}
	s.Step(ReportReceived{Now: s.now, Report: wire.Report{UnusedPermit: &wire.Permit{Fingerprint: crasherPrint, Nonce: first}}})
	if _, a := s.submitCopy(); !a.HasPermit {
		t.Fatalf("no copy gets leave any more: %+v", a)
	}
}

// The home of a chat is told to leave just when the chat has crashed another
// engine. It refuses the resend because it leaves; the router offers it to an
// upstream that has not heard of the crash, and that one is lost too.
func TestDrainingHomeReportsSuspects(t *testing.T) {
	home := &crashSite{State: NewState(Settings{VM: "home", Incarnation: 1, Keys: 100}), now: time.Unix(1_800_000_000, 0)}
	home.Step(ReportReceived{Now: home.now, Report: wire.Report{Suspects: newCrashSite().quarantine.EvidenceFor(home.now, crasherPrint)}})
	home.Step(NoticeReceived{Now: home.now, Notice: wire.Notice{Leaving: true, Version: 1}})
	_, a := home.submitCopy()
	if a.Error == nil || a.Error.Reason != verdict.ReasonSuspect || len(a.Control.Suspects) == 0 {
		t.Fatalf("the router learns nothing of the crash: %+v", a)
	}
}
