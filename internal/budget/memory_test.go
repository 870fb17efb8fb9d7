package budget

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// grow lets a claim grow, which must succeed.
func grow(t *testing.T, c *Claim, now time.Time, n int64) {
	t.Helper()
	if err := c.Grow(now, n); err != nil {
		t.Fatal(err)
	}
}

// Callers of one organisation send slowly. Guards against refusals of all others.
func TestOnePartyTakesHalfOfTheMemory(t *testing.T) {
	m := NewMemory(100)
	a, b := m.NewClaim(nil), m.NewClaim(nil)
	a.SetParty("a")
	b.SetParty("b")
	grow(t, a, start, 50)
	if err := a.Grow(start, 1); !errors.Is(err, ErrNoShare) {
		t.Errorf("one organisation takes more than half: %v", err)
	}
	grow(t, b, start, 50)
	other := m.NewClaim(nil)
	if err := other.Grow(start, 1); !errors.Is(err, ErrNoMemory) {
		t.Errorf("more than all is taken: %v", err)
	}
	a.Release()
	b.Release()
	if len(m.byParty) > 0 || m.Held() != 0 {
		t.Errorf("%d bytes and %v are left", m.Held(), m.byParty)
	}
}

// Few callers send large requests. Guards against refusals of all the small ones.
func TestLargeClaimsLeaveRoomForSmallOnes(t *testing.T) {
	m := NewMemory(16 * largeClaim)
	for _, party := range []string{"a", "b", "c"} {
		for {
			c := m.NewClaim(nil)
			c.SetParty(party)
			if c.Grow(start, largeClaim) != nil {
				break
			}
		}
	}
	small := m.NewClaim(nil)
	grow(t, small, start, largeClaim-1)
}

// Slow callers hold all of the memory. Guards against refusals of those that send their requests at once: the caller
// that is not known goes first, then the one that has held most for longest, and nobody who has just begun.
func TestSlowCallersYieldTheirMemory(t *testing.T) {
	m := NewMemory(200)
	var yielded []string
	incomplete := func(name, party string, at time.Time, bytes int64) *Claim {
		c := m.NewClaim(func() { yielded = append(yielded, name) })
		c.SetParty(party)
		grow(t, c, at, bytes)
		c.SetIncomplete(at)
		return c
	}
	known := incomplete("known", "a", start, 60)
	slow := incomplete("slow", "", start, 20)
	large := incomplete("large", "", start.Add(500*time.Millisecond), 60)
	now := start.Add(time.Second)
	recent := incomplete("recent", "b", now, 60)

	next := m.NewClaim(nil)
	next.SetParty("c")
	grow(t, next, now, 40)
	if len(yielded) != 1 || yielded[0] != "large" {
		t.Fatalf("%v have yielded", yielded)
	}
	if err := large.Grow(now, 1); !errors.Is(err, ErrReclaimed) {
		t.Errorf("a caller whose memory was taken back gets more: %v", err)
	}
	if err := large.SetComplete(); !errors.Is(err, ErrReclaimed) {
		t.Errorf("a request whose memory was taken back counts as complete: %v", err)
	}
	grow(t, next, now, 50)
	if len(yielded) != 3 || yielded[1] != "slow" || yielded[2] != "known" {
		t.Fatalf("%v have yielded", yielded)
	}
	if err := next.Grow(now, 60); err == nil {
		t.Error("a caller that has just begun yields")
	}
	for _, c := range []*Claim{known, slow, large, recent, next} {
		c.Release()
	}
	if m.Held() != 0 || len(m.incomplete) > 0 {
		t.Errorf("%d bytes and %d claims are left", m.Held(), len(m.incomplete))
	}
}

// Claims grow, shrink, are taken back and released in any order. Guards against memory beyond the limit, and against
// bytes that stay counted when nobody holds them.
func TestMemoryIsWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		m := NewMemory(limit)
		now := start
		var claims []*Claim
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			step := rapid.IntRange(0, 6).Draw(t, "step")
			if step == 0 || len(claims) == 0 {
				claims = append(claims, m.NewClaim(func() {}))
				continue
			}
			c := rapid.SampledFrom(claims).Draw(t, "claim")
			n := rapid.Int64Range(1, 400).Draw(t, "bytes")
			switch step {
			case 1, 2:
				_ = c.Grow(now, n)
			case 3:
				c.Shrink(n)
			case 4:
				c.SetIncomplete(now)
			case 5:
				_ = c.SetComplete()
			case 6:
				c.SetParty(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "party"))
			}
			var held int64
			for _, c := range claims {
				held += c.bytes
			}
			if held != m.held || held > limit {
				t.Fatalf("claims hold %d bytes, %d are counted, the limit is %d", held, m.held, limit)
			}
		}
		for _, c := range claims {
			c.Release()
		}
		if m.held != 0 || len(m.byParty) > 0 || len(m.incomplete) > 0 {
			t.Fatalf("%d bytes, %v and %d incomplete claims are left", m.held, m.byParty, len(m.incomplete))
		}
	})
}

// Guards against an operator who is told of parties that hold little, or of a party that holds nothing any more.
func TestUsageListsTheLargestParties(t *testing.T) {
	m := NewMemory(1000)
	for party, n := range map[string]int64{"a": 10, "b": 30, "": 20, "c": 5} {
		c := m.NewClaim(nil)
		c.SetParty(party)
		grow(t, c, start, n)
		if party == "c" {
			c.Release()
		}
	}
	got := m.Usage(2)
	if want := []PartyUsage{{"b", 30}, {"", 20}}; got.Limit != 1000 || got.Held != 60 || !slices.Equal(got.Parties, want) {
		t.Errorf("%+v, want 60 of 1000 held, by %v first", got, want)
	}
}
