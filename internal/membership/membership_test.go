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
	timing = Timing{OutageGrace: 2 * time.Second, Linger: time.Second, MaxRenewInterval: time.Second}
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

// serving returns the sorted ids of the upstreams that take new work, and of those that leave.
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

func checkListed(t *testing.T, s *State, serving, leaving []string) {
	t.Helper()
	if gotServing, gotLeaving := s.serving(); !slices.Equal(gotServing, serving) || !slices.Equal(gotLeaving, leaving) {
		t.Errorf("serving %v, leaving %v; want %v and %v", gotServing, gotLeaving, serving, leaving)
	}
}

// Guards against an upstream whose entry is removed without notice either getting new
// work, or disappearing before others could fetch the prompts that it holds.
func TestRemovedUpstreamLingersAsLeaving(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, writtenChanges("a", "b"))
	s.Apply(start, removedChange("a"))
	checkListed(t, s, []string{"b"}, []string{"a"})
	if s.Expire(start.Add(timing.Linger - time.Millisecond)) {
		t.Error("the removed upstream is dropped before the end of the linger time")
	}
	if !s.Expire(start.Add(timing.Linger)) {
		t.Error("the removed upstream is not dropped at the end of the linger time")
	}
	checkListed(t, s, []string{"b"}, nil)
}

// Guards against lingering for an upstream that had announced its leaving before its entry
// was removed.
func TestLeavingUpstreamIsDroppedWithItsEntry(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, []Change{{Entry: Entry{Name: "a", VM: topo.VM{Leaving: true}}}})
	checkListed(t, s, nil, []string{"a"})
	s.Apply(start, removedChange("a"))
	checkListed(t, s, nil, nil)
}

// Guards against dropping working upstreams whose entries lapsed during an outage of the
// store. They count until the end of the grace, within which they rewrite their entries;
// an upstream that had announced its leaving is not kept.
func TestLapsedEntriesAreKeptAfterAnOutage(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, append(writtenChanges("back", "dead"), Change{Entry: Entry{Name: "left", VM: topo.VM{Leaving: true}}}))
	s.StoreRecovered(start)
	for _, id := range []string{"back", "dead", "left"} {
		s.Apply(start, removedChange(id))
	}
	checkListed(t, s, []string{"back", "dead"}, nil)
	now := start.Add(time.Second)
	s.Apply(now, writtenChanges("back"))
	if s.Expire(now) {
		t.Error("an entry changes within the outage grace")
	}
	now = start.Add(timing.OutageGrace)
	if !s.Expire(now) {
		t.Error("the entry that was not rewritten is still kept after the outage grace")
	}
	checkListed(t, s, []string{"back"}, []string{"dead"})
	s.Expire(now.Add(timing.Linger))
	checkListed(t, s, []string{"back"}, nil)
}

// Guards against the outage grace ending too early because another router reports an
// earlier recovery late, which would move the recovery time back.
func TestOlderStoreRecoveryIsIgnored(t *testing.T) {
	s := NewState(timing)
	s.StoreRecovered(start)
	s.StoreRecovered(start.Add(-time.Hour))
	if !s.StoreRecoveredAt().Equal(start) {
		t.Errorf("the store recovered at %v, want %v", s.StoreRecoveredAt(), start)
	}
}

// incarnationWrite returns a write of upstream "a" with the given start and address.
func incarnationWrite(at int64, addr string) []Change {
	return []Change{{Entry: Entry{Name: "a", StartedAt: at, VM: topo.VM{Addr: addr}}}}
}

// onlyVM returns the only listed upstream.
func onlyVM(t *testing.T, s *State) topo.VM {
	t.Helper()
	vms := s.VMs()
	if len(vms) != 1 {
		t.Fatalf("%d upstreams listed, want one: %v", len(vms), vms)
	}
	return vms[0]
}

// Guards against state of a crashed upstream being kept for its next incarnation under the
// same name: sessions would be routed to it for prompts that it no longer holds, and its
// load would be overestimated. The new incarnation gets another ID and keeps the name.
func TestRestartedUpstreamGetsANewID(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, incarnationWrite(1, "x:1"))
	former := onlyVM(t, s)
	result := s.Apply(start, incarnationWrite(2, "x:1"))
	present := onlyVM(t, s)
	if present.ID == former.ID || present.Name() != "a" || former.Name() != "a" {
		t.Errorf("former incarnation %+v, present incarnation %+v", former, present)
	}
	if !slices.Equal(result.Replaced, []topo.VM{former}) {
		t.Errorf("replaced %+v, want %+v", result.Replaced, former)
	}
}

// Guards against late writes of a former incarnation. An upstream restarts at another
// address; the store then commits a heartbeat sent before the crash, and later removes that
// entry. Requests went to the old address, and after the removal to none.
func TestLateWritesOfAFormerIncarnationAreIgnored(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, incarnationWrite(2, "new:1"))
	if result := s.Apply(start, incarnationWrite(1, "old:1")); result.Outdated != 1 {
		t.Errorf("%d outdated writes, want 1", result.Outdated)
	}
	if vm := onlyVM(t, s); vm.Addr != "new:1" {
		t.Errorf("address %s, want new:1", vm.Addr)
	}
	s.Apply(start, removedChange("a"))
	checkListed(t, s, []string{"a@2"}, nil)
	now := start.Add(timing.MaxRenewInterval / 2)
	s.Expire(now)
	s.Apply(now, incarnationWrite(2, "new:1"))
	s.Expire(start.Add(2 * timing.MaxRenewInterval))
	checkListed(t, s, []string{"a@2"}, nil)
}

// Guards against keeping an upstream whose present incarnation has died as well: a late
// write of a former incarnation has overwritten its entry, which the store then removes,
// and the present incarnation does not rewrite it. A later write of the former incarnation
// must not list the upstream again.
func TestIncarnationThatDoesNotRenewItsEntryIsRemoved(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, incarnationWrite(2, "new:1"))
	s.Apply(start, incarnationWrite(1, "old:1"))
	s.Apply(start, removedChange("a"))
	s.Expire(start.Add(timing.MaxRenewInterval))
	checkListed(t, s, nil, []string{"a@2"})
	s.Expire(start.Add(timing.MaxRenewInterval + timing.Linger))
	checkListed(t, s, nil, nil)
	s.Apply(start.Add(time.Minute), incarnationWrite(1, "old:1"))
	checkListed(t, s, nil, nil)
}

// Guards against use of an upstream whose entry was overwritten by a value that describes
// no upstream. It is used again once it has rewritten its entry.
func TestUnusableEntryRemovesTheUpstream(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, append(writtenChanges("b"), incarnationWrite(2, "x:1")...))
	s.Apply(start, []Change{{Kind: Unusable, Entry: Entry{Name: "a"}}})
	checkListed(t, s, []string{"b"}, []string{"a@2"})
	s.Apply(start, incarnationWrite(2, "x:1"))
	checkListed(t, s, []string{"a@2", "b"}, nil)
	s.Apply(start, writtenChanges("a")) // without a start, which "a" always reports
	checkListed(t, s, []string{"b"}, []string{"a@2"})
}

// Guards against dropping entries too early when a second outage ends within the grace of
// the first: the grace starts again.
func TestSecondOutageExtendsTheGrace(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, writtenChanges("a"))
	s.StoreRecovered(start)
	s.Apply(start, removedChange("a"))
	s.StoreRecovered(start.Add(time.Second))
	s.Expire(start.Add(timing.OutageGrace))
	checkListed(t, s, []string{"a"}, nil)
	s.Expire(start.Add(time.Second + timing.OutageGrace))
	checkListed(t, s, nil, []string{"a"})
}

// Guards against a former incarnation being listed after a later one was seen. Writes of
// several incarnations, removals and unusable entries arrive in any order, as a platform
// that delays writes may deliver them.
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
				incarnation := int64(rapid.IntRange(1, 4).Draw(t, "incarnation"))
				latest = max(latest, incarnation)
				s.Apply(now, incarnationWrite(incarnation, strconv.FormatInt(incarnation, 10)))
			}
			s.Expire(now)
			for _, vm := range s.VMs() {
				if want := "a@" + strconv.FormatInt(latest, 10); vm.ID != want || vm.Addr != strconv.FormatInt(latest, 10) {
					t.Fatalf("%+v is listed, the latest incarnation is %d", vm, latest)
				}
			}
		}
	})
}

// Guards against an upstream that ends without a word being taken for one that has announced its leaving,
// and against one that leaves, or whose entry is spoilt, being taken for one that has ended.
func TestOnlyEntriesThatEndUnannouncedLapse(t *testing.T) {
	s := NewState(timing)
	s.Apply(start, writtenChanges("ends", "spoilt", "leaves", "stays", "returns"))
	leaving := Entry{Name: "leaves", Sequence: 1}
	leaving.VM.Leaving = true
	s.Apply(start, []Change{{Entry: leaving}, {Kind: Unusable, Entry: Entry{Name: "spoilt"}}})
	s.Apply(start, slices.Concat(removedChange("ends"), removedChange("returns")))
	s.Apply(start, []Change{{Entry: Entry{Name: "returns", Sequence: 2}}})
	for _, vm := range s.VMs() {
		if want := vm.ID == "ends"; vm.Lapsed != want {
			t.Errorf("%s: lapsed %v", vm.ID, vm.Lapsed)
		}
	}
}

// Guards against an earlier write of a running upstream that the store commits late: the upstream that has announced its
// leaving since got new work again, and one whose entry has been removed was listed again.
func TestLateWritesOfTheSameIncarnationAreIgnored(t *testing.T) {
	write := func(startedAt, sequence int64, leaving bool) []Change {
		return []Change{{Entry: Entry{Name: "a", StartedAt: startedAt, Sequence: sequence, Version: topo.Version(sequence), VM: topo.VM{Leaving: leaving}}}}
	}
	for _, startedAt := range []int64{0, 2} {
		s := NewState(timing)
		id := incarnationID(Entry{Name: "a", StartedAt: startedAt})
		s.Apply(start, write(startedAt, 5, false))
		s.Apply(start, write(startedAt, 7, true))
		if result := s.Apply(start, write(startedAt, 6, false)); result.Outdated != 1 {
			t.Errorf("start %d: %d outdated writes, want 1", startedAt, result.Outdated)
		}
		checkListed(t, s, nil, []string{id})
		s.Apply(start, write(startedAt, 8, false)) // it has changed its mind
		checkListed(t, s, []string{id}, nil)
	}
	s := NewState(timing)
	s.Apply(start, write(2, 7, true))
	s.Apply(start, removedChange("a"))
	s.Apply(start, write(2, 6, false))
	checkListed(t, s, nil, nil)
	s.Apply(start, write(3, 1, false)) // its next incarnation counts anew
	checkListed(t, s, []string{"a@3"}, nil)
}

// Guards against any order in which the store commits the writes of several incarnations, and removals between them,
// after which a listed upstream is in another state than its latest write says.
func TestNoOrderOfWritesRestoresAnEarlierState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState(timing)
		var latest Entry
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			if rapid.IntRange(0, 5).Draw(t, "event") == 0 {
				s.Apply(start, removedChange("a"))
				continue
			}
			e := Entry{
				Name: "a", Version: topo.Version(i + 1),
				StartedAt: int64(rapid.IntRange(1, 3).Draw(t, "start")), Sequence: int64(rapid.IntRange(1, 9).Draw(t, "sequence")),
			}
			e.VM.Slots = int(10*e.StartedAt + e.Sequence)
			e.VM.Leaving = e.VM.Slots%2 == 0
			s.Apply(start, []Change{{Entry: e}})
			if e.VM.Slots >= latest.VM.Slots {
				latest = e
			}
			for _, vm := range s.VMs() {
				if vm.Slots != latest.VM.Slots || latest.VM.Leaving && !vm.Leaving {
					t.Fatalf("%+v is listed after write %d of the incarnation of %d", vm, latest.Sequence, latest.StartedAt)
				}
			}
		}
	})
}
