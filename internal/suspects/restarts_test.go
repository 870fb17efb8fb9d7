package suspects

import (
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
)

// Guards against doubting an upstream of which one answer of several was lost, and against trusting one of which all were
// and that answers again: its next incarnation may.
func TestUpstreamMayHaveEndedOnceNothingIsAwaited(t *testing.T) {
	r := NewRegistry()
	at := func(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }
	first, second := r.Send(epoch, "a", quarantine.Copy{Fingerprint: 7}), r.Send(epoch, "a", quarantine.Copy{Fingerprint: 8})
	r.IdleClosed(at(1), "a")
	r.Lost(at(1), first)
	if ended, _ := r.MayHaveEndedAt("a"); !ended.IsZero() {
		t.Errorf("an answer is awaited, and it may have ended at %v", ended)
	}
	r.Lost(at(2), second)
	r.Lost(at(3), second)
	next := r.Send(at(4), "a", quarantine.Copy{Fingerprint: 9})
	r.Answered(at(5), next)
	if ended, replaced := r.MayHaveEndedAt("a"); !ended.Equal(at(2)) || !replaced.IsZero() {
		t.Errorf("it may have ended at %v, replaced %v", ended, replaced)
	}
	r.Replaced(at(6), "a")
	if _, replaced := r.MayHaveEndedAt("a"); !replaced.Equal(at(6)) {
		t.Error("its next incarnation has answered, and it counts as the same")
	}
	if r.Replaced(at(7), "a") {
		t.Error("its next incarnation is new once more")
	}
	r.Same(at(7), "a")
	if ended, replaced := r.MayHaveEndedAt("a"); !ended.IsZero() || !replaced.IsZero() {
		t.Errorf("it has not ended, and may have at %v, replaced %v", ended, replaced)
	}
	if same := r.SameAt("a"); !same.Equal(at(7)) {
		t.Errorf("it is the same at %v", same)
	}
	r.IdleClosed(at(8), "a")
	if same := r.SameAt("a"); !same.IsZero() {
		t.Errorf("it may have ended, and is the same at %v", same)
	}
	r.IdleClosed(at(7), "b")
	r.Expire(at(8).Add(restartMemory))
	if len(r.restarts) != 0 {
		t.Errorf("%d upstreams are kept", len(r.restarts))
	}
}
