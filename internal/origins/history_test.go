package origins

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pastState is where streams of a host began from a time on.
type pastState struct {
	at       time.Time
	current  bool     // the list of upstreams was current
	routes   string   // of the host
	versions []string // that were listed in the pool
}

// checkOnlyVersion fails if h names a version now, the time of the last state, for streams that may have begun within the
// given time at another version or unseen.
func checkOnlyVersion(t *rapid.T, h *History, past []pastState, within time.Duration) {
	last := past[len(past)-1]
	only, ok := h.OnlyVersion(last.at, "host", "pool", within)
	if !ok {
		return
	}
	for i, s := range past {
		if i+1 < len(past) && !past[i+1].at.After(last.at.Add(-within)) {
			continue // it was over by then
		}
		if !s.current || s.routes != last.routes || slices.ContainsFunc(s.versions, func(v string) bool { return v != only }) {
			t.Fatalf("%q within %v at %v, but %+v", only, within, last.at.Unix(), s)
		}
	}
}

// Versions come and go, routes change, and the list is not current at times. Guards against naming a version for streams
// that may have begun at another one within the time that they may last.
func TestOnlyVersionIsThatOfAllStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var h History
		past := []pastState{{at: now}}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			next := past[len(past)-1]
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
			next.at = now
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				next.current = !next.current
				h.ObserveCurrency(now, next.current)
			case 1:
				next.routes = fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "routes"))
				h.ObserveRoutes(now, Routes{"host": next.routes}, nil)
			default:
				next.versions = nil
				for i := range 3 {
					if rapid.IntRange(0, 2).Draw(t, fmt.Sprint("v", i)) == 0 {
						next.versions = append(next.versions, fmt.Sprint("v", i))
					}
				}
				h.ObserveVersions(now, Sets{"pool": next.versions})
			}
			past = append(past, next)
			within := time.Duration(rapid.IntRange(1, 200).Draw(t, "within")) * time.Second
			checkOnlyVersion(t, &h, past, within)
		}
	})
}

// One version serves, and others have come and gone long before. Guards against refusing for ever.
func TestOnlyVersionIsKnownOnceOthersAreGone(t *testing.T) {
	now := time.Unix(1000, 0)
	var h History
	h.ObserveCurrency(now, true)
	h.ObserveVersions(now, Sets{"pool": {"v1", "v2"}, "other": {"v7"}})
	h.ObserveRoutes(now, Routes{"host": "one"}, nil)
	now = now.Add(time.Minute)
	h.ObserveVersions(now, Sets{"pool": {"v2"}, "other": {"v8"}})
	if v, ok := h.OnlyVersion(now.Add(29*time.Second), "host", "pool", 30*time.Second); ok {
		t.Errorf("%q, though another was listed within the time", v)
	}
	if v, ok := h.OnlyVersion(now.Add(31*time.Second), "host", "pool", 30*time.Second); !ok || v != "v2" {
		t.Errorf("%q, %v, want v2", v, ok)
	}
	if v, ok := h.OnlyVersion(now.Add(2*time.Hour), "host", "pool", time.Hour); !ok || v != "v2" {
		t.Errorf("%q, %v after two hours, want v2", v, ok)
	}
	h.ObserveRoutes(now.Add(2*time.Hour), Routes{"host": "two"}, nil)
	if v, ok := h.OnlyVersion(now.Add(2*time.Hour), "host", "pool", 30*time.Second); ok {
		t.Errorf("%q, though the routes have just changed", v)
	}
}

// Routers are killed and start again from what they have written, with gaps in what they see. Guards against naming a
// version for streams that may have begun at another one before the start.
func TestSeenOfFormerRoutersNamesOnlyTheVersionOfAllStreams(t *testing.T) {
	const within = 60 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		h, stored := &History{}, Seen{}
		write := func() {
			if seen, ok := h.Seen(now, within); ok {
				if seen.Within == 0 {
					seen = stored.Extend(seen)
				}
				stored = seen
			}
		}
		past := []pastState{{at: now}}
		observe := func(s pastState) {
			h.ObserveCurrency(now, s.current)
			h.ObserveRoutes(now, Routes{"host": s.routes}, nil)
			h.ObserveVersions(now, Sets{"pool": s.versions})
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			next := past[len(past)-1]
			now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
			next.at = now
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				next.current = !next.current
			case 1:
				next.routes = fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "routes"))
			case 2:
				h = &History{}
				h.Seed(now, stored)
			default:
				next.versions = []string{fmt.Sprint("v", rapid.IntRange(0, 1).Draw(t, "version"))}
			}
			observe(next)
			write()
			past = append(past, next)
			checkOnlyVersion(t, h, past, within)
		}
	})
}
