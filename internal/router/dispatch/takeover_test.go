package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/retry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// freeBudget is a Budget that pays for everything.
type freeBudget struct{}

func (freeBudget) Withdraw(retry.Cause) bool                { return true }
func (freeBudget) RetryAfter(_ time.Duration) time.Duration { return 0 }

// newPausedStream returns the state of a resumable stream that attempt 0 delivers and that has paused, so that attempt
// 1 is to take it over.
func newPausedStream(t *testing.T) (*State, time.Time) {
	t.Helper()
	now := time.Unix(0, 0)
	s := New(Plan{Direct: true, Resumable: true, MaxOffers: 4, MaxSends: 2}, freeBudget{})
	s.Step(Began{Now: now})
	s.Step(ResponseStarted{Now: now, Attempt: 0, Resumable: true})
	want := []Effect{Offer{Attempt: 1, Candidate: 1, Continue: true, Takeover: true}}
	if got := s.Step(Stalled{Now: now, Attempt: 0}); !slices.Equal(got, want) {
		t.Fatalf("effects of a pause %v, want %v", got, want)
	}
	return s, now
}

// checkEffects checks the effects of an event, and whether the request has ended.
func checkEffects(t *testing.T, s *State, e Event, finished bool, want ...Effect) {
	t.Helper()
	if got := s.Step(e); !slices.Equal(got, want) {
		t.Errorf("effects of %+v: %v, want %v", e, got, want)
	}
	if s.Finished() != finished {
		t.Errorf("after %+v: finished %v, want %v", e, s.Finished(), finished)
	}
}

// Guards against a stream that is cut because the upstream refuses which was to take it over.
func TestPausedStreamGoesOnAfterARefusal(t *testing.T) {
	s, now := newPausedStream(t)
	refusal := verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "full")
	checkEffects(t, s, Refused{Now: now, Attempt: 1, Err: refusal}, false)
	checkEffects(t, s, PieceDelivered{}, false)
	checkEffects(t, s, Ended{Now: now, Attempt: 0}, true, Finish{})
}

// Guards against a stream that two upstreams serve: the one that has paused is cancelled once the other begins.
func TestFirstByteOfATakeoverCancelsThePausedStream(t *testing.T) {
	s, now := newPausedStream(t)
	checkEffects(t, s, ResponseStarted{Now: now, Attempt: 1, Resumable: true}, false, Cancel{Attempt: 0}, Deliver{Attempt: 1, Resumable: true})
	checkEffects(t, s, ConnectionLost{Now: now, Attempt: 0}, false)
	checkEffects(t, s, Ended{Now: now, Attempt: 1}, true, Finish{})
}

// Guards against events that come twice: the attempt that was to take over would go on from before the next event.
func TestPausedStreamThatGoesOnCancelsTheTakeover(t *testing.T) {
	s, now := newPausedStream(t)
	checkEffects(t, s, PieceDelivered{}, false, Cancel{Attempt: 1})
	checkEffects(t, s, ResponseStarted{Now: now, Attempt: 1, Resumable: true}, false)
	checkEffects(t, s, Ended{Now: now, Attempt: 0}, true, Finish{})
}

// Guards against a stream that ends because its connection breaks while another upstream is about to take it over.
func TestTakeoverServesAStreamWhoseConnectionBreaks(t *testing.T) {
	s, now := newPausedStream(t)
	checkEffects(t, s, ConnectionLost{Now: now, Attempt: 0}, false)
	checkEffects(t, s, ResponseStarted{Now: now, Attempt: 1, Resumable: true}, false, Deliver{Attempt: 1, Resumable: true})
	checkEffects(t, s, Ended{Now: now, Attempt: 1}, true, Finish{})
}

// Guards against an error of the upstream that was to take over which ends, or is written into, the stream.
func TestErrorOfATakeoverIsNoError(t *testing.T) {
	s, now := newPausedStream(t)
	failed := verdict.New(verdict.Ran, verdict.ReasonUpstreamFailed, "status 500")
	checkEffects(t, s, ErrorResponse{Now: now, Attempt: 1, Err: failed}, false, Cancel{Attempt: 1})
	checkEffects(t, s, PieceDelivered{}, false)
	checkEffects(t, s, Ended{Now: now, Attempt: 0}, true, Finish{})
}
