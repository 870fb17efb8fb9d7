package config

import (
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// compactingStore answers the calls of one Follower in virtual time. While it keeps dropping its
// history, it refuses every watch.
type compactingStore struct {
	f            *Follower
	now          time.Time
	version      topo.Version
	dropsHistory bool
	calls        int
	answeredAt   time.Time // when it last answered a listing
	longestGap   time.Duration
}

const callTime = 5 * time.Millisecond

func (s *compactingStore) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(TickInterval) {
		s.do(s.f.Step(Ticked{Now: s.now}))
	}
}

func (s *compactingStore) do(effects []Effect) {
	for _, e := range effects {
		at := s.now.Add(callTime)
		switch e := e.(type) {
		case List:
			s.calls++
			s.version++
			if !s.answeredAt.IsZero() {
				s.longestGap = max(s.longestGap, at.Sub(s.answeredAt))
			}
			s.answeredAt = at
			s.do(s.f.Step(Listed{Now: at, Objects: []topo.Object{chatAt(1)}, Version: s.version}))
		case Watch:
			s.calls++
			if s.dropsHistory {
				s.do(s.f.Step(StoreFailed{Now: at, Compacted: true}))
				continue
			}
			s.do(s.f.Step(Watched{Now: s.now.Add(e.Wait), Since: e.Since, Page: topo.Page{Version: s.version}}))
		}
	}
}

// The store drops its history for a while, as fast as other writers add to it. Guards against a
// router that lists the whole store several times a second for as long as that lasts, and against
// one that lists it so rarely that its routers count its state as outdated.
func TestStoreThatKeepsDroppingItsHistoryIsListedSlowly(t *testing.T) {
	timing := DefaultTiming()
	timing.RetryInitial, timing.PeerWait = 100*time.Millisecond, 0
	s := &compactingStore{f: NewFollower(1, timing), now: time.Unix(1000, 0), version: 1, dropsHistory: true}
	const seconds = 15
	s.run(seconds * time.Second)
	// A listing and a watch for each half of the usual wait.
	t.Logf("%d calls in %d s, %v between two listings at most", s.calls, seconds, s.longestGap)
	if most := int(2 * seconds * time.Second / (timing.WatchWait / 4)); s.calls > most {
		t.Errorf("%d calls in %d s, want at most %d", s.calls, seconds, most)
	}
	if s.longestGap > timing.WatchWait {
		t.Errorf("%v between two listings, want at most %v", s.longestGap, timing.WatchWait)
	}
}

// A single loss of the history must not delay the listing that makes up for it.
func TestStoreThatDropsItsHistoryOnceIsListedAtOnce(t *testing.T) {
	timing := DefaultTiming()
	timing.RetryInitial = 100 * time.Millisecond
	f, now := NewFollower(1, timing), time.Unix(1000, 0)
	for range 3 {
		f.Step(Listed{Now: now, Objects: []topo.Object{chatAt(1)}, Version: 5})
		f.Step(Watched{Now: now, Since: 5, Page: topo.Page{Version: 5}})
		f.Step(StoreFailed{Now: now, Compacted: true})
		if pause := f.nextCall.Sub(now); pause > 2*timing.RetryInitial {
			t.Errorf("a pause of %v before the listing", pause)
		}
		now = now.Add(time.Minute)
	}
}
