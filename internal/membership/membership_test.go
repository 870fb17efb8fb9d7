package membership

import (
	"flag"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var (
	timing = Timing{OutageGrace: 2 * time.Second, Linger: time.Second, RenewTimeout: time.Second}
	start  = time.Unix(1000, 0)
)

func writtenChanges(ids ...string) []Change {
	out := make([]Change, 0, len(ids))
	for _, id := range ids {
		out = append(out, Change{Entry: Entry{Name: id}})
	}
	return out
}

func removedChange(id string) []Change {
	return []Change{{Kind: Removed, Entry: Entry{Name: id}}}
}

// serving returns the upstreams that take new work, and those that leave.
func (s *State) serving() (serving, leaving []string) {
	for _, vm := range s.VMs() {
		if vm.Leaving {
			leaving = append(leaving, vm.ID)
		} else {
			serving = append(serving, vm.ID)
		}
	}
	slices.Sort(serving)
	slices.Sort(leaving)
	return serving, leaving
}

func check(t *testing.T, s *State, serving, leaving []string) {
	t.Helper()
	if gotServing, gotLeaving := s.serving(); !slices.Equal(gotServing, serving) || !slices.Equal(gotLeaving, leaving) {
		t.Errorf("serving %v, leaving %v; want %v and %v", gotServing, gotLeaving, serving, leaving)
	}
}

// An upstream's entry is removed without notice. It gets no new work from then on,
// but for a while others can still get the prompts that it holds.
func TestRemovedUpstreamLingersAsLeaving(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, writtenChanges("a", "b"))
	s.Apply(start, removedChange("a"))
	check(t, s, []string{"b"}, []string{"a"})
	if s.Expire(start.Add(timing.Linger - time.Millisecond)) {
		t.Error("it is dropped too early")
	}
	if !s.Expire(start.Add(timing.Linger)) {
		t.Error("it is not dropped")
	}
	check(t, s, []string{"b"}, nil)
}

// An upstream says that it leaves, and later its entry goes: then it has left.
func TestLeavingUpstreamIsDroppedWithItsEntry(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, []Change{{Entry: Entry{Name: "a", VM: topo.VM{Leaving: true}}}})
	check(t, s, nil, []string{"a"})
	s.Apply(start, removedChange("a"))
	check(t, s, nil, nil)
}

// The store was away for so long that entries lapsed. Until their owners have had
// time to write them again they serve; one that does not come back is gone, and one
// that had said that it leaves is not held.
func TestLapsedEntriesAreKeptAfterAnOutage(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, append(writtenChanges("back", "dead"), Change{Entry: Entry{Name: "left", VM: topo.VM{Leaving: true}}}))
	s.StoreRecovered(start)
	for _, id := range []string{"back", "dead", "left"} {
		s.Apply(start, removedChange(id))
	}
	check(t, s, []string{"back", "dead"}, nil)
	now := start.Add(time.Second)
	s.Apply(now, writtenChanges("back"))
	if s.Expire(now) {
		t.Error("something changes while entries are held")
	}
	now = start.Add(timing.OutageGrace)
	if !s.Expire(now) {
		t.Error("the entry that did not come back is still held")
	}
	check(t, s, []string{"back"}, []string{"dead"})
	s.Expire(now.Add(timing.Linger))
	check(t, s, []string{"back"}, nil)
}

// Word that the store was back earlier, from a router that heard it late, does not
// hold entries any longer.
func TestOlderStoreRecoveryIsIgnored(t *testing.T) {
	s := NewState(timing)
	s.StoreRecovered(start)
	s.StoreRecovered(start.Add(-time.Hour))
	if !s.StoreRecoveredAt().Equal(start) {
		t.Errorf("the store was back at %v, want %v", s.StoreRecoveredAt(), start)
	}
}

// startedAt is the entry of an upstream "a" that started at a time.
func startedAt(at int64, addr string) []Change {
	return []Change{{Entry: Entry{Name: "a", StartedAt: at, VM: topo.VM{Addr: addr}}}}
}

// onlyVM returns the one upstream that counts.
func onlyVM(t *testing.T, s *State) topo.VM {
	t.Helper()
	vms := s.VMs()
	if len(vms) != 1 {
		t.Fatalf("%d upstreams count, want one: %v", len(vms), vms)
	}
	return vms[0]
}

// A runner loses its power and starts again under its name. Guests whose chats it had
// would be sent to it for prompts that it does not hold, and its load would be taken
// for what it was. It counts as another upstream that calls itself the same.
func TestRestartedUpstreamGetsANewID(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, startedAt(1, "x:1"))
	former := onlyVM(t, s)
	taken := s.Apply(start, startedAt(2, "x:1"))
	present := onlyVM(t, s)
	if present.ID == former.ID || present.Name() != "a" || former.Name() != "a" {
		t.Errorf("the former is %+v, the present %+v", former, present)
	}
	if !slices.Equal(taken.Replaced, []topo.VM{former}) {
		t.Errorf("replaced %+v, want %+v", taken.Replaced, former)
	}
}

// A runner starts again at another address. A heartbeat that it had sent before its
// loss of power is done by the store after that, and then its old entry is removed.
// Guests' requests went to an address where nobody is, and when the old entry was
// removed, to none: the start tells which of two entries is the later one.
func TestLateWritesOfAFormerIncarnationAreIgnored(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, startedAt(2, "new:1"))
	if taken := s.Apply(start, startedAt(1, "old:1")); taken.Outdated != 1 {
		t.Errorf("%d outdated writes, want 1", taken.Outdated)
	}
	if vm := onlyVM(t, s); vm.Addr != "new:1" {
		t.Errorf("reached at %s", vm.Addr)
	}
	s.Apply(start, removedChange("a"))
	check(t, s, []string{"a@2"}, nil)
	now := start.Add(timing.RenewTimeout / 2)
	s.Expire(now)
	s.Apply(now, startedAt(2, "new:1"))
	s.Expire(start.Add(2 * timing.RenewTimeout))
	check(t, s, []string{"a@2"}, nil)
}

// As above, but the present runner is dead too and does not write its entry again.
func TestIncarnationThatDoesNotRenewItsEntryIsRemoved(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, startedAt(2, "new:1"))
	s.Apply(start, startedAt(1, "old:1"))
	s.Apply(start, removedChange("a"))
	s.Expire(start.Add(timing.RenewTimeout))
	check(t, s, nil, []string{"a@2"})
	s.Expire(start.Add(timing.RenewTimeout + timing.Linger))
	check(t, s, nil, nil)
	s.Apply(start.Add(time.Minute), startedAt(1, "old:1"))
	check(t, s, nil, nil)
}

// Something else writes under a runner's name what names no runner. The runner is used
// again once it has written its own entry.
func TestUnusableEntryRemovesTheUpstream(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, append(writtenChanges("b"), startedAt(2, "x:1")...))
	s.Apply(start, []Change{{Kind: Unusable, Entry: Entry{Name: "a"}}})
	check(t, s, []string{"b"}, []string{"a@2"})
	s.Apply(start, startedAt(2, "x:1"))
	check(t, s, []string{"a@2", "b"}, nil)
	s.Apply(start, writtenChanges("a")) // without a start, which it always tells
	check(t, s, []string{"b"}, []string{"a@2"})
}

// A second outage of the store ends while entries are held after the first: they are
// held for as long after the second.
func TestSecondOutageExtendsTheGrace(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, writtenChanges("a"))
	s.StoreRecovered(start)
	s.Apply(start, removedChange("a"))
	s.StoreRecovered(start.Add(time.Second))
	s.Expire(start.Add(timing.OutageGrace))
	check(t, s, []string{"a"}, nil)
	s.Expire(start.Add(time.Second + timing.OutageGrace))
	check(t, s, nil, []string{"a"})
}

// Writes of several lives of one runner, removals and strange entries come in any
// order, as a platform that delays writes may bring them. Nothing of a former life is
// ever believed after a later one was seen, and each life has an id of its own.
func TestNoOrderOfEventsRestoresAFormerIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(timing)
		now, latest := start, int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				s.Apply(now, removedChange("a"))
			case 1:
				s.Apply(now, []Change{{Kind: Unusable, Entry: Entry{Name: "a"}}})
			case 2:
				s.StoreRecovered(now)
			default:
				incarnation := int64(rapid.IntRange(1, 4).Draw(t, "life"))
				latest = max(latest, incarnation)
				s.Apply(now, startedAt(incarnation, strconv.FormatInt(incarnation, 10)))
			}
			s.Expire(now)
			for _, vm := range s.VMs() {
				if want := "a@" + strconv.FormatInt(latest, 10); vm.ID != want || vm.Addr != strconv.FormatInt(latest, 10) {
					t.Fatalf("%+v counts, the latest life is %d", vm, latest)
				}
			}
		}
	})
}
