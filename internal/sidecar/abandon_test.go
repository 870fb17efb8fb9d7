package sidecar

import (
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Guards against a caller who is told that its idempotent request was cancelled: nobody had
// read the response for so long that the call was aborted, and a router came back for it
// before the call had ended. The reason must let the router run the request again.
func TestReaderThatReturnsAfterTheAbortIsNotToldCancelled(t *testing.T) {
	l := newLone()
	l.count++
	sub := testSubmit(l.count, wire.RequestPolicy{Idempotent: true})
	sub.Key.VM, sub.Key.Expires = "a", l.now.Add(time.Hour).Unix()
	l.Step(Submitted{Now: l.now, Submit: sub})
	n := sub.Key.Nonce
	aborted := false
	for _, effect := range l.pass(time.Minute) {
		aborted = aborted || effect == Effect(Abort{Nonce: n})
	}
	if !aborted {
		t.Fatal("the unread call is not aborted")
	}
	l.Step(ReadersChanged{Now: l.now, Nonce: n, Seq: 1, Count: 1})
	f := finishOf(l.end(n, errCancelled), n)
	if f == nil || f.Error.Reason != verdict.ReasonAnswerGone || f.Error.Verdict != verdict.MayHaveRun {
		t.Errorf("end of the response: %+v", f)
	}
}
