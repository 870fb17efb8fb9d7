package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// storeTTL is how long the store keeps an entry that is not renewed.
const storeTTL = 3 * time.Second

// restorableStore simulates a store of entries that can be restored from an older copy, the
// upstreams that write them, and a router that receives each change.
type restorableStore struct {
	now       time.Time
	era       topo.Era
	revision  topo.Version
	entries   map[string]Entry
	snapshots []map[string]Entry
	state     *State

	lastWritten   map[string]Entry     // last write of each upstream, whether or not a restore has lost it
	lastDelivered map[string]Entry     // write of each upstream with the highest Sequence that the router received
	running       map[string]bool      // whether an upstream is running
	stoppedAt     map[string]time.Time // when an upstream stopped
}

func newRestorableStore() *restorableStore {
	return &restorableStore{
		now: start, era: 1, entries: make(map[string]Entry), state: NewState(timing),
		lastWritten: make(map[string]Entry), lastDelivered: make(map[string]Entry), running: make(map[string]bool), stoppedAt: make(map[string]time.Time),
	}
}

// nextVersion takes the next revision of the present era and returns its version.
func (r *restorableStore) nextVersion() topo.Version {
	r.revision++
	return topo.VersionAt(r.era, r.revision)
}

func (r *restorableStore) deliver(c Change) {
	if c.Kind == Written && c.Entry.Sequence >= r.lastDelivered[c.Entry.Name].Sequence {
		r.lastDelivered[c.Entry.Name] = c.Entry
	}
	r.state.Apply(r.now, []Change{c})
}

// write writes an upstream's entry.
func (r *restorableStore) write(name string, leaving bool) {
	e := Entry{Name: name, Sequence: r.lastWritten[name].Sequence + 1, Version: r.nextVersion(), VM: topo.VM{Leaving: leaving}}
	r.lastWritten[name], r.entries[name] = e, e
	r.deliver(Change{Entry: e})
}

func (r *restorableStore) remove(name string) {
	if _, ok := r.entries[name]; ok {
		r.nextVersion() // a removal takes a revision as well
		delete(r.entries, name)
		r.deliver(Change{Kind: Removed, Entry: Entry{Name: name}})
	}
}

// restore restores a snapshot. The router receives only what differs.
func (r *restorableStore) restore(snapshot map[string]Entry) {
	r.era++
	r.revision = 0
	r.state.StoreRecovered(r.now)
	before := r.entries
	r.entries = make(map[string]Entry)
	for name, e := range snapshot {
		e.Version = r.nextVersion()
		r.entries[name] = e
		if was, ok := before[name]; !ok || was.Sequence != e.Sequence {
			r.deliver(Change{Entry: e})
		}
	}
	for name := range before {
		if _, ok := r.entries[name]; !ok {
			r.deliver(Change{Kind: Removed, Entry: Entry{Name: name}})
		}
	}
}

func (r *restorableStore) advance(d time.Duration) {
	r.now = r.now.Add(d)
	for name, e := range r.lastWritten {
		switch {
		case r.running[name]: // a running upstream rewrites its entry if the store has none or an outdated one
			if have, ok := r.entries[name]; !ok || have.VM.Leaving != e.VM.Leaving {
				r.write(name, e.VM.Leaving)
			}
		case r.now.Sub(r.stoppedAt[name]) >= storeTTL:
			r.remove(name)
		}
	}
	r.state.Expire(r.now)
}

// check verifies that an upstream whose last delivered write says that it leaves takes no
// new work, whichever snapshot was restored.
func (r *restorableStore) check(t *rapid.T) {
	for _, vm := range r.state.VMs() {
		if last := r.lastDelivered[vm.Instance]; last.VM.Leaving && !vm.Leaving {
			t.Fatalf("%s takes new work, although its write %d says that it leaves", vm.Instance, last.Sequence)
		}
	}
}

// Guards against two failures after a restore of the store from an older copy: routers send
// work to upstreams that leave or have left, because the copy holds earlier writes of them;
// or they send no more work to upstreams that are running.
func TestRestoredCopyReactivatesOnlyRunningUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRestorableStore()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprint("u", rapid.IntRange(0, 3).Draw(t, "upstream"))
			e, known := r.lastWritten[name]
			switch rapid.SampledFrom([]string{"join", "drain", "leave", "copy", "restore", "pass"}).Draw(t, "step") {
			case "join":
				if !known {
					r.running[name] = true
					r.write(name, false)
				}
			case "drain":
				if r.running[name] && !e.VM.Leaving {
					r.write(name, true)
				}
			case "leave":
				if r.running[name] && e.VM.Leaving {
					r.running[name], r.stoppedAt[name] = false, r.now
					r.remove(name)
				}
			case "copy":
				snapshot := make(map[string]Entry, len(r.entries))
				for name, e := range r.entries {
					snapshot[name] = e
				}
				r.snapshots = append(r.snapshots, snapshot)
			case "restore":
				if len(r.snapshots) > 0 {
					r.restore(r.snapshots[len(r.snapshots)-1])
				}
			case "pass":
				r.advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			}
			r.check(t)
		}
		for range 10 {
			r.advance(time.Second)
			r.check(t)
		}
		serving, _ := r.state.serving()
		want := 0
		for name := range r.running {
			if r.running[name] && !r.lastWritten[name].VM.Leaving {
				want++
			}
		}
		if len(serving) != want {
			t.Fatalf("%d upstreams are running, and %v take work", want, serving)
		}
	})
}

// Guards against never using a running upstream again whose entry lapsed during an outage
// of the store. The restored copy holds a write that the router has seen before, and the
// upstream has no reason to write a newer one.
func TestLapsedUpstreamInARestoredCopyIsReactivated(t *testing.T) {
	s := NewState(timing)
	e := Entry{Name: "a", Sequence: 7, Version: topo.VersionAt(1, 9)}
	s.Apply(start, []Change{{Entry: e}})
	s.Apply(start, removedChange("a"))
	now := start.Add(timing.Linger)
	s.Expire(now)
	checkListed(t, s, nil, nil)
	e.Version = topo.VersionAt(2, 5)
	s.Apply(now, []Change{{Entry: e}})
	checkListed(t, s, nil, nil)
	now = now.Add(lapseIntervals * timing.MaxRenewInterval)
	s.Expire(now)
	checkListed(t, s, []string{"a"}, nil)
}
