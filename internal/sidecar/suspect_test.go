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

// site is a sidecar whose upstream has crashed under a request and is down.
type site struct {
	*State
	now  time.Time
	sent byte
}

const crasher = 7 // fingerprint

func newSite() *site {
	s := &site{State: NewState(Settings{VM: "a", Incarnation: 1, Keys: 100}), now: time.Unix(1_800_000_000, 0)}
	s.book.RecordCrash(s.now, []quarantine.RunningRequest{{Fingerprint: crasher, Started: s.now}, {Fingerprint: 8, Started: s.now}})
	s.Step(Probed{Now: s.now, Health: upstream.Health{State: upstream.Gone}})
	return s
}

// send submits a copy of the request and returns its key and the reply.
func (s *site) send() (token.Nonce, wire.Admission) {
	s.sent++
	key := wire.Key{VM: "a", Incarnation: 1, Nonce: token.Nonce{s.sent}, Expires: s.now.Add(time.Hour).Unix()}
	next := wire.Key{VM: "b", Incarnation: 2, Nonce: token.Nonce{100 + s.sent}, Expires: key.Expires}
	sub := wire.Submit{Key: key, Successor: &next, Org: "club", Fingerprint: crasher, Treatment: wire.Treatment{Deadline: time.Minute}}
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
func TestUnusedLeaveIsGivenBack(t *testing.T) {
	s := newSite()
	first, a := s.send()
	if !a.HasPermit {
		t.Fatalf("the first copy got no leave: %+v", a)
	}
	second, a := s.send()
	if a.HasPermit || a.Error.Reason != verdict.ReasonSuspect {
		t.Fatalf("the second copy was not told to wait: %+v", a)
	}
	s.Step(Reported{Now: s.now, Report: wire.Report{UnusedPermit: &wire.Permit{Fingerprint: crasher, Nonce: second}}})
	if _, a := s.send(); a.HasPermit {
		t.Fatal("a copy got leave while another has it")
	}
	s.Step(Reported{Now: s.now, Report: wire.Report{UnusedPermit: &wire.Permit{Fingerprint: crasher, Nonce: first}}})
	if _, a := s.send(); !a.HasPermit {
		t.Fatalf("no copy gets leave any more: %+v", a)
	}
}

// The home of a chat is told to leave just when the chat has crashed another
// engine. It refuses the resend because it leaves; the router offers it to an
// upstream that has not heard of the crash, and that one is lost too.
func TestLeavingHomeTellsOfSuspects(t *testing.T) {
	home := &site{State: NewState(Settings{VM: "home", Incarnation: 1, Keys: 100}), now: time.Unix(1_800_000_000, 0)}
	home.Step(Reported{Now: home.now, Report: wire.Report{Suspects: newSite().book.EvidenceFor(home.now, crasher)}})
	home.Step(Noticed{Now: home.now, Notice: wire.Notice{Leaving: true, Version: 1}})
	_, a := home.send()
	if a.Error == nil || a.Error.Reason != verdict.ReasonSuspect || len(a.Control.Suspects) == 0 {
		t.Fatalf("the router learns nothing of the crash: %+v", a)
	}
}
