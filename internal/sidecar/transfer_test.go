package sidecar

import (
	"slices"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admission"
	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// lone is the State of one sidecar in virtual time.
type lone struct {
	*State
	now     time.Time
	count   byte // requests submitted
	tickets Ticket
}

func newLone() *lone { return newLoneAt("1") }

// newLoneAt returns a sidecar whose upstream is up and names its process, or does not if
// instance is empty.
func newLoneAt(instance upstream.Instance) *lone {
	s := NewState(Settings{
		VM: "a", Incarnation: 1, Keys: 100, DetachGrace: time.Minute, KeepAnswer: time.Minute, StopTimeout: time.Hour,
		Admission: admission.Config{Slots: 8, MaxWaiting: 8, MaxBytes: 1 << 20},
	})
	l := &lone{State: s, now: time.Unix(1_800_000_000, 0)}
	l.Step(Ticked{Now: l.now})
	l.probed(upstream.Health{Instance: instance})
	return l
}

func (l *lone) probed(h upstream.Health) []Effect {
	return l.Step(Probed{Now: l.now, Health: h})
}

// start submits a request and returns its nonce. It runs at once if it may.
func (l *lone) start(session uint64, fp quarantine.Fingerprint) token.Nonce {
	l.count++
	key := wire.Key{VM: "a", Incarnation: 1, Nonce: token.Nonce{l.count}, Expires: l.now.Add(time.Hour).Unix()}
	l.Step(Submitted{Now: l.now, Submit: wire.Submit{Key: key, Org: "org", Session: session, Fingerprint: uint64(fp)}})
	return key.Nonce
}

func (l *lone) end(n token.Nonce, err *verdict.Error) []Effect {
	return l.Step(CallEnded{Now: l.now, Nonce: n, Err: err})
}

// exported returns the sessions that the effects export, to VMs that have joined or to
// those that serve the sessions after this VM, in ascending order.
func exported(effects []Effect) []uint64 {
	var sessions []uint64
	for _, effect := range effects {
		switch e := effect.(type) {
		case Export:
			sessions = append(sessions, e.Sessions...)
		case ExportTo:
			sessions = append(sessions, e.Sessions...)
		}
	}
	slices.Sort(sessions)
	return sessions
}

// transferError returns the error of the ReplyTransfer among the effects.
func transferError(t *testing.T, effects []Effect) *verdict.Error {
	t.Helper()
	for _, effect := range effects {
		if reply, ok := effect.(ReplyTransfer); ok {
			return reply.Err
		}
	}
	t.Fatal("no reply")
	return nil
}

var (
	errCancelled = verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "")
	errBroken    = verdict.New(verdict.MayHaveRun, verdict.ReasonUpstreamFailed, "")
)

// Guards against an engine that is lost to the prompt of a request that crashes engines and
// runs elsewhere at the moment: an upstream that joins gets only prompts of requests that
// have run to their end.
func TestOnlyCompletePrefixesAreExportedToJoiningUpstreams(t *testing.T) {
	l := newLone()
	l.end(l.start(1, 11), nil)
	l.start(2, 12) // runs on
	l.end(l.start(3, 13), errCancelled)
	l.end(l.start(4, 14), nil)
	l.start(4, 15) // another prompt of a session that was complete
	l.end(l.start(5, 16), nil)
	l.start(5, 16) // the same prompt again
	if got := exported(l.Step(VMJoined{Now: l.now, VM: "b"})); !slices.Equal(got, []uint64{1, 5}) {
		t.Errorf("exported sessions %v, want 1 and 5", got)
	}
}

// Guards against returning chats that find no cached prefix since their request was running
// when the upstream that now ranks first for them joined.
func TestPrefixIsExportedWhenItsRequestEnds(t *testing.T) {
	l := newLone()
	n := l.start(1, 11)
	l.Step(VMJoined{Now: l.now, VM: "b"})
	l.now = l.now.Add(10 * time.Second)
	if got := exported(l.end(n, nil)); !slices.Equal(got, []uint64{1}) {
		t.Errorf("exported sessions %v after the end, want 1", got)
	}
	if got := exported(l.end(l.start(2, 12), nil)); got != nil {
		t.Errorf("exported sessions %v that began after the join", got)
	}
}

// Guards against chats that lose their cached prefix since their response was in flight when
// their VM began to leave, and against an exit before it has been transferred.
func TestLeavingExportsPrefixesOfRequestsInFlight(t *testing.T) {
	l := newLone()
	first := l.start(1, 11)
	l.end(first, nil)
	l.Step(ReadersChanged{Now: l.now, Nonce: first, Seq: 1, Delivered: true})
	n := l.start(2, 12)
	if got := exported(l.Step(StopRequested{Now: l.now})); !slices.Equal(got, []uint64{1}) {
		t.Errorf("exported sessions %v at the stop, want 1", got)
	}
	l.Step(ExportFinished{Now: l.now})
	l.now = l.now.Add(time.Second)
	if got := exported(l.end(n, nil)); !slices.Equal(got, []uint64{2}) {
		t.Errorf("exported sessions %v at the end of the request, want 2", got)
	}
	delivered := ReadersChanged{Now: l.now, Nonce: n, Seq: 1, Delivered: true}
	if slices.Contains(l.Step(delivered), Effect(Exit{})) {
		t.Error("exits during the export")
	}
	if !slices.Contains(l.Step(ExportFinished{Now: l.now}), Effect(Exit{})) {
		t.Error("does not exit after the export")
	}
}

// Guards against engines that are lost to the prompt of a request that crashes engines, if
// this becomes known between the beginning of an export and the transfer.
func TestPrefixIsWithheldIfItsRequestBecomesSuspect(t *testing.T) {
	l := newLone()
	l.end(l.start(1, crasherFingerprint), nil)
	read := func() *verdict.Error {
		return transferError(t, l.Step(PrefixRead{Now: l.now, Session: 1}))
	}
	if err := read(); err != nil {
		t.Fatalf("withheld before there is a suspect: %v", err)
	}
	running := l.start(1, 12)
	if read() == nil {
		t.Error("transferred while another prompt of the session runs")
	}
	l.end(running, nil)
	l.end(l.start(1, crasherFingerprint), nil)
	crash := quarantine.New("b", 1)
	crash.RecordCrash(l.now, []quarantine.RunningRequest{{Fingerprint: crasherFingerprint, Started: l.now}})
	l.Step(ReportReceived{Now: l.now, Report: wire.Report{Suspects: crash.EvidenceFor(l.now, crasherFingerprint)}})
	if read() == nil {
		t.Error("transferred though its request is a suspect")
	}
	if got := exported(l.Step(VMJoined{Now: l.now, VM: "c"})); got != nil {
		t.Errorf("exported sessions %v of a suspect", got)
	}
}

// Guards against engines that are lost to an imported prompt: the sidecar of the home of a
// suspect knows of the crash before the one that exports the prompt.
func TestImportAsksTheQuarantine(t *testing.T) {
	l := newLone()
	request := func(fp quarantine.Fingerprint) *verdict.Error {
		return transferError(t, l.Step(ImportRequested{Now: l.now, Fingerprint: fp}))
	}
	if err := request(crasherFingerprint); err != nil {
		t.Fatalf("refused before there is a suspect: %v", err)
	}
	crash := quarantine.New("b", 1)
	entry := quarantine.RunningRequest{Fingerprint: crasherFingerprint, Started: l.now}
	crash.RecordCrash(l.now, []quarantine.RunningRequest{entry})
	l.Step(ReportReceived{Now: l.now, Report: wire.Report{Suspects: crash.All(l.now)}})
	if err := request(crasherFingerprint); err == nil || err.Reason != verdict.ReasonSuspect {
		t.Errorf("import of a suspect's prompt: %v", err)
	}
	crash.RecordCrash(l.now, []quarantine.RunningRequest{entry})
	l.Step(ReportReceived{Now: l.now, Report: wire.Report{Suspects: crash.All(l.now)}})
	if err := request(crasherFingerprint); err == nil || err.Reason != verdict.ReasonQuarantined {
		t.Errorf("import of a convicted request's prompt: %v", err)
	}
	if err := request(8); err != nil {
		t.Errorf("import of another prompt: %v", err)
	}
}

// Guards against an innocent suspect that is convicted of a crash which an import has caused
// beside it, and against imports into an upstream that may have just crashed.
func TestNothingIsImportedBesideASuspect(t *testing.T) {
	l := newLone()
	request := func() *verdict.Error {
		return transferError(t, l.Step(ImportRequested{Now: l.now, Fingerprint: 9}))
	}
	n := l.start(1, crasherFingerprint)
	l.end(n, errBroken)
	if request() == nil {
		t.Error("imported before it is known whether the upstream crashed")
	}
	l.probed(upstream.Health{Instance: "2"})
	if err := request(); err != nil {
		t.Errorf("refused after the upstream has restarted: %v", err)
	}
	l.Step(ImportEnded{Now: l.now})
	l.pass(importSettleTime)
	l.probed(upstream.Health{Instance: "2"})
	suspect := l.start(1, crasherFingerprint)
	if l.isolated == nil || request() == nil {
		t.Error("imported beside a suspect")
	}
	l.end(suspect, nil)
	if err := request(); err != nil {
		t.Errorf("refused after the suspect has ended: %v", err)
	}
}
