package sidecar

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// handleCallEnd finishes a request whose call has ended. A request that has not run is
// withdrawn. If the connection to the upstream failed while the request ran, the
// request stays interrupted until a probe has shown whether the upstream crashed: the
// caller may resend the request as soon as its response ends, and by then it must be
// recorded as a suspect.
func (s *State) handleCallEnd(e CallEnded) []Effect {
	r := s.requests[e.Nonce]
	if r == nil || r.phase != running {
		return nil
	}
	s.queue.Done(e.Now, e.Nonce)
	if s.isolated == r {
		s.isolated = nil
	}
	switch {
	case e.Err == nil:
		s.quarantine.RecordFinished(e.Now, r.fingerprint())
		s.table.Finish(e.Nonce, verdict.Ran, s.keepUntil(e.Now, r))
		return append(s.finishRequest(e.Now, r, Finish{Nonce: e.Nonce}), s.exportCompleted(e.Now, r)...)
	case e.Err.Verdict == verdict.NotRun:
		s.requestProbe(e.Now)
		return s.withdraw(e.Now, r, e.Err)
	case e.Err.Reason == verdict.ReasonUpstreamFailed && !r.exposure.isRecorded:
		r.phase, r.failure = interrupted, e.Err
		s.interrupted = append(s.interrupted, r)
		s.endExposure(e.Now, &r.exposure)
		return s.resolveCrashes(e.Now)
	case e.Err.Reason == verdict.ReasonCancelled && r.abandoned && !r.cancelled:
		// A reader may have come back after the abort. It has cancelled nothing, and may
		// have the request run again.
		return s.finishFailed(e.Now, r, verdict.New(e.Err.Verdict, verdict.ReasonAnswerGone, "the call was aborted because nobody read its response"))
	default:
		return s.finishFailed(e.Now, r, e.Err)
	}
}

// finishFailed finishes a request that failed and may have run. If it ran during a
// crash of the upstream, the end of the response carries the evidence on it.
func (s *State) finishFailed(now time.Time, r *request, err *verdict.Error) []Effect {
	if !r.exposure.isRecorded {
		s.quarantine.Revoke(r.fingerprint())
	}
	s.table.Finish(r.nonce(), err.Verdict, s.keepUntil(now, r))
	f := Finish{Nonce: r.nonce(), Error: err}
	if r.exposure.isRecorded {
		f.Control.Suspects = s.quarantine.EvidenceFor(now, r.fingerprint())
	}
	return s.finishRequest(now, r, f)
}

// keepUntil returns until when the response to r is retained.
func (s *State) keepUntil(now time.Time, r *request) time.Time {
	return now.Add(max(s.settings.KeepAnswer, r.submit.Policy.KeepAnswer))
}

// finishRequest ends the response to a request and retains it until keepUntil.
func (s *State) finishRequest(now time.Time, r *request, f Finish) []Effect {
	suspects := f.Control.Suspects
	f.Control = s.control(now)
	if suspects != nil {
		f.Control.Suspects = suspects
	}
	r.phase, r.endedAt, r.failure = ended, now, nil
	r.keepUntil = s.keepUntil(now, r)
	r.submit.Call.Body, r.submit.Call.Header = nil, nil
	s.timers.add(now.Add(s.settings.DetachGrace), r.nonce())
	s.timers.add(r.keepUntil, r.nonce())
	s.retained = append(s.retained, r)
	return append([]Effect{f}, s.trimRetained()...)
}
