package quarantine

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// after returns the time so many seconds after epoch.
func after(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// A router learns of a crash before or after it loses the requests, or of none at all. Guards against
// requests that are taken for the cause of a crash that happened at another time.
func TestAccountRelatesLostRequestsToCrashes(t *testing.T) {
	a := NewAccount()
	s := a.Send(epoch, "a", Copy{Fingerprint: 7})
	if a.Lost(epoch, s) {
		t.Error("known to have crashed before it was reported")
	}
	if got := a.Crashed(after(1), "a"); !reflect.DeepEqual(got.Lost, []RunningRequest{s.Running()}) {
		t.Errorf("lost before: %v", got)
	}
	s = a.Send(after(.5), "a", Copy{Fingerprint: 7})
	if !a.Lost(after(2), s) {
		t.Error("lost after: not known to have crashed")
	}
	a.Lost(epoch, a.Send(epoch, "b", Copy{Fingerprint: 7}))
	if got := a.Crashed(epoch.Add(evidenceWindow), "b"); len(got.Lost) > 0 {
		t.Errorf("lost long before: %v", got)
	}
}

// leftStory is a request that is left a second after it was sent to upstream "a", and is due after five.
type leftStory struct {
	name    string
	play    func(a *Account, s *Sent)
	crashAt float64 // when the crash is found, in seconds
	counts  bool    // the request may have been running at the crash
}

var leftStories = []leftStory{
	{name: "not due yet", crashAt: 2, counts: true},
	{name: "found when it is long due", crashAt: 12, counts: true},
	{name: "too long ago", crashAt: 30},
	{name: "signs of life while it may run", play: func(a *Account, _ *Sent) { a.Sign(after(4), "a") }, crashAt: 8, counts: true},
	{name: "signs of life after it was due", play: func(a *Account, _ *Sent) { a.Sign(after(7), "a") }, crashAt: 8},
	{name: "its upstream closes the connection and lives on", play: func(a *Account, s *Sent) {
		a.Closed(after(1.1), s)
		a.Sign(after(2.5), "a")
	}, crashAt: 3},
	{name: "its upstream closes the connection and is not heard again", play: func(a *Account, s *Sent) {
		a.Sign(after(1), "a")
		a.Closed(after(1.1), s)
	}, crashAt: 3, counts: true},
	{name: "answered late", play: func(a *Account, s *Sent) { a.Answered(s) }, crashAt: 3},
	{name: "expired meanwhile", play: func(a *Account, s *Sent) { a.Expire(after(3)) }, crashAt: 4, counts: true},
}

// An upstream crashes when nobody waits for a request any more. Guards against a request that names nobody
// then, and against one that is held responsible though it can't have been running.
func TestAccountRelatesLeftRequestsToCrashes(t *testing.T) {
	for _, story := range leftStories {
		t.Run(story.name, func(t *testing.T) {
			a := NewAccount()
			s := a.Send(epoch, "a", Copy{Fingerprint: 7, Due: after(5)})
			a.Left(after(1), s)
			if story.play != nil {
				story.play(a, s)
			}
			got := a.Crashed(after(story.crashAt), "a")
			if counts := reflect.DeepEqual(got.Left, []RunningRequest{s.Running()}); counts != story.counts {
				t.Errorf("left at the crash: %v, want %v", got.Left, story.counts)
			}
			if a.size != 0 {
				t.Errorf("%d requests are kept", a.size)
			}
		})
	}
}

// Guards against a request whose answer is awaited until its deadline, at an upstream that is known to have
// crashed before.
func TestRequestLeftAfterItsUpstreamCrashedCounts(t *testing.T) {
	a := NewAccount()
	before, later := a.Send(epoch, "a", Copy{Fingerprint: 7, Due: after(5)}), a.Send(after(3), "a", Copy{Fingerprint: 8, Due: after(5)})
	a.Crashed(after(2), "a")
	if !a.Left(after(4), before) {
		t.Error("sent before the crash: not counted")
	}
	if a.Left(after(4), later) {
		t.Error("sent after the crash: counted")
	}
}

// Millions of chats break at once. Guards against memory without bound, and against the newest requests
// being dropped for the oldest.
func TestAccountIsBounded(t *testing.T) {
	a := NewAccount()
	for i := range 3 * maxEnded {
		at := epoch.Add(time.Duration(i) * time.Millisecond)
		a.Left(at, a.Send(at, fmt.Sprint("upstream-", i%50), Copy{Fingerprint: Fingerprint(i + 1), Due: after(60)}))
	}
	if a.size != maxEnded {
		t.Errorf("%d requests are kept, want %d", a.size, maxEnded)
	}
	newest := 3*maxEnded - 1
	got := a.Crashed(after(20), fmt.Sprint("upstream-", newest%50))
	if n := len(got.Left); n == 0 || got.Left[n-1].Fingerprint != Fingerprint(newest+1) {
		t.Errorf("the newest request is not among the %d kept", n)
	}
}

// Several answers are lost at an upstream at one moment. Guards against going on at one that has started
// again before its entry shows it, and against leaving one that only breaks off single answers.
func TestUpstreamWhoseAnswersAreAllLostMayHaveRestarted(t *testing.T) {
	for name, c := range map[string]struct {
		lostAt  []float64 // of answers awaited from the start on, in seconds
		waiting bool      // another one is still awaited
		at      float64
		want    bool
	}{
		"all at one moment": {lostAt: []float64{1, 1.05}, at: 2, want: true},
		"long ago":          {lostAt: []float64{1, 1.05}, at: 7},
		"one by one":        {lostAt: []float64{1, 1.5}, at: 2},
		"a single one":      {lostAt: []float64{1}, at: 2},
		"another goes on":   {lostAt: []float64{1, 1.05}, waiting: true, at: 2},
	} {
		a := NewAccount()
		var sent []*Sent
		for range c.lostAt {
			sent = append(sent, a.Send(epoch, "a", Copy{Fingerprint: 7}))
		}
		if c.waiting {
			a.Send(epoch, "a", Copy{Fingerprint: 8})
		}
		for i, s := range sent {
			a.Lost(after(c.lostAt[i]), s)
		}
		if got := a.MayHaveRestarted(after(c.at), "a"); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A request is given up at a slow upstream that lives on. Guards against taking one that the upstream has dropped from its
// queue for one that it has run: a request that crashes upstreams was cleared by copies that had never run.
func TestOnlyCopiesThatMayHaveRunAreSurvived(t *testing.T) {
	begin := func(a *Account, sentAt float64) { a.Begun(a.Send(after(sentAt), "a", Copy{Fingerprint: 8})) }
	for _, story := range []struct {
		name     string
		play     func(a *Account, s *Sent) // before the request is left, a second after it was sent
		survived bool
	}{
		{"nothing begins", func(*Account, *Sent) {}, false},
		{"an earlier request begins", func(a *Account, _ *Sent) { begin(a, -.1) }, false},
		{"a later request begins", func(a *Account, _ *Sent) { begin(a, .1) }, true},
		{"a later request begins at another upstream", func(a *Account, _ *Sent) {
			a.Begun(a.Send(after(.1), "b", Copy{Fingerprint: 8}))
		}, false},
		{"it begins itself", func(a *Account, s *Sent) { a.Begun(s) }, true},
		{"its caller leaves", func(a *Account, s *Sent) { a.Left(after(.9), s) }, true},
	} {
		t.Run(story.name, func(t *testing.T) {
			for _, bySign := range []bool{true, false} {
				a := NewAccount()
				s := a.Send(epoch, "a", Copy{Fingerprint: 7})
				story.play(a, s)
				a.GivenUp(after(1), s)
				begin(a, 2) // later than it was given up, which shows nothing
				got := false
				if bySign {
					got = len(a.Sign(after(3), "a")) == 1
				} else {
					got = a.Outlived(s)
				}
				if got != story.survived {
					t.Errorf("by a sign of life %v: survived %v", bySign, got)
				}
			}
		})
	}
}
