package origins

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// keeperOf returns the exchange that has records written to the store, and the address of another one.
func (n *network) keeperOf(addrs []string) (keeper *Exchange, keeperAddr, other string) {
	for i, addr := range addrs {
		if _, isSelf := n.exchanges[addr].peers.Keeper(time.Now()); isSelf {
			return n.exchanges[addr], addr, addrs[(i+1)%len(addrs)]
		}
	}
	return nil, "", ""
}

func streamsOf(records []Record) []Stream {
	var out []Stream
	for _, r := range records {
		out = append(out, r.Stream)
	}
	slices.Sort(out)
	return out
}

// Streams begin before and after a second version comes to their pool. Guards against streams that nobody knows after a
// loss of all routers, and against writing each of them more than once, or those of pools with one version at all.
func TestStreamsAtSeveralVersionsReachTheKeeperOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, addrs := newNetwork(t, 5)
		keeper, _, other := net.keeperOf(addrs)
		x, stored := net.exchanges[other], VersionOf("pool", "v1")
		tell := func(s Stream, v Version) { x.Tell(time.Now(), Record{Stream: s, Version: v, TTL: time.Minute}) }
		tell(1, stored)
		tell(2, VersionOf("other pool", "v1"))
		time.Sleep(time.Second)
		if got := keeper.TakeUnstored(); len(got) > 0 {
			t.Fatalf("%v are kept while all pools have one version", got)
		}
		x.SetStored(time.Now(), Versions{stored: true})
		tell(3, stored)
		tell(4, VersionOf("other pool", "v1"))
		tell(5, Ambiguous)
		for range 5 {
			time.Sleep(time.Second)
			x.SetStored(time.Now(), Versions{stored: true})
		}
		if got, want := streamsOf(keeper.TakeUnstored()), []Stream{1, 3, 5}; !slices.Equal(got, want) {
			t.Errorf("%v are kept, want %v", got, want)
		}
	})
}

// A second version comes to a pool with very many streams. Guards against an object that is too large for the store, which
// would never be written, and against records that are left because nothing says that there are more.
func TestManyStreamsAreTakenInParts(t *testing.T) {
	x := NewExchange("a", "r/a", nil)
	v := VersionOf("pool", "v1")
	for i := range 2*maxStored + 1 {
		x.Tell(time.Now(), Record{Stream: Stream(i + 1), Version: v, TTL: time.Minute})
	}
	x.SetStored(time.Now(), Versions{v: true})
	taken := 0
	for _, want := range []int{maxStored, maxStored, 1} {
		select {
		case <-x.ToStore():
		default:
			t.Fatalf("%d records are left after %d and nothing says so", 2*maxStored+1-taken, taken)
		}
		got := len(x.TakeUnstored())
		if got != want {
			t.Fatalf("%d records at a time, want %d", got, want)
		}
		taken += got
	}
	select {
	case <-x.ToStore():
		t.Error("there are said to be more records")
	default:
	}
}

// The keeper is lost with what it has not written. Guards against streams that only a keeper knew which is gone.
func TestAnotherKeeperGetsAllStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, addrs := newNetwork(t, 5)
		_, lost, other := net.keeperOf(addrs)
		net.loseIf(func(to string, _ Message) bool { return to == lost })
		x, stored := net.exchanges[other], Versions{VersionOf("pool", "v1"): true}
		x.SetStored(time.Now(), stored)
		x.Tell(time.Now(), Record{Stream: 1, Version: VersionOf("pool", "v1"), TTL: time.Minute})
		time.Sleep(2 * replyTimeout)
		x.SetStored(time.Now(), stored)
		time.Sleep(time.Second)
		var kept []Stream
		for _, addr := range addrs {
			if addr != lost {
				kept = append(kept, streamsOf(net.exchanges[addr].TakeUnstored())...)
			}
		}
		if !slices.Equal(kept, []Stream{1}) {
			t.Errorf("the other routers keep %v", kept)
		}
	})
}

// One router reads the records in the store after all have started anew. Guards against take-ups that are refused at
// other routers of a large fleet, which ask a few.
func TestRestoredStreamsAreToldToTheirHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 200
		net, addrs := newNetwork(t, 40)
		var records []Record
		for i := range streams {
			records = append(records, Record{Stream: Stream(i + 1), Version: VersionOf("pool", "v1"), TTL: time.Minute})
		}
		reader := net.exchanges[addrs[0]]
		reader.Restore(time.Now(), records)
		reader.TellRestored(time.Now())
		time.Sleep(time.Second)
		for _, r := range records {
			if got, _ := net.exchanges[addrs[7]].Lookup(t.Context(), r.Stream); got != r.Version {
				t.Fatalf("stream %d is known as %d", r.Stream, got)
			}
		}
	})
}

// Records are read from the store after a while, by a router with another clock. Guards against records that last longer
// than they were to, and against a failure by bytes that another program wrote.
func TestKeptRecordsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000_000)
		ttl := time.Duration(rapid.IntRange(1, 200).Draw(t, "TTL")) * time.Second
		age := time.Duration(rapid.IntRange(-300_000, 300_000).Draw(t, "age in ms")) * time.Millisecond
		kept := NewKept(now, []Record{{Stream: 1, Version: firstHash, TTL: ttl}})
		records, err := kept.RecordsAt(now.Add(age))
		if err != nil {
			t.Fatal(err)
		}
		if left := ttl - max(0, age); left <= 0 {
			if len(records) > 0 {
				t.Fatalf("%v after %v of %v", records, age, ttl)
			}
		} else if len(records) != 1 || records[0].TTL != left {
			t.Fatalf("%v after %v of %v", records, age, ttl)
		}
		if _, err := (Kept{Records: kept.Records[1:]}).RecordsAt(now); err == nil {
			t.Fatal("a part of a record is taken for records")
		}
	})
}
