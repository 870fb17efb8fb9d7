package origins

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against going on at one of two versions of which it can't be told which began a stream, whatever is
// learnt later.
func TestRecordsOfTwoVersionsAreAmbiguous(t *testing.T) {
	table := NewTable()
	s, v1, v2 := StreamOf("org", "a"), VersionOf("pool", "v1"), VersionOf("pool", "v2")
	for i, step := range []struct{ add, want Version }{{v1, v1}, {v1, v1}, {Unknown, v1}, {v2, Ambiguous}, {v1, Ambiguous}} {
		table.Add(start, Record{Stream: s, Version: step.add, TTL: time.Minute})
		if got := table.Lookup(start, s); got != step.want {
			t.Fatalf("step %d: %d, want %d", i, got, step.want)
		}
	}
	if got := table.Lookup(start, StreamOf("other", "a")); got != Unknown {
		t.Errorf("another organisation's stream is known as %d", got)
	}
}

// Guards against records that outlive their time, which a later stream under the same id would get.
func TestRecordsEnd(t *testing.T) {
	table := NewTable()
	s := StreamOf("org", "a")
	table.Add(start, Record{Stream: s, Version: VersionOf("pool", "v1"), TTL: 10 * time.Second})
	table.Add(start.Add(time.Second), Record{Stream: s, Version: VersionOf("pool", "v1"), TTL: time.Second})
	if table.Lookup(start.Add(9*time.Second), s) == Unknown {
		t.Error("a shorter record has ended a longer one")
	}
	end := start.Add(10 * time.Second)
	if got := table.Lookup(end, s); got != Unknown {
		t.Errorf("known as %d after its end", got)
	}
	if table.Expire(end); table.Len() != 0 {
		t.Errorf("%d records are left", table.Len())
	}
}

// Guards against a router that runs out of memory because it holds the streams of a large fleet.
func TestRecordsAreBounded(t *testing.T) {
	table := NewTable()
	for i := range 2 * maxRecords {
		table.Add(start, Record{Stream: Stream(i), Version: firstHash, TTL: MaxTTL})
	}
	if n := table.Len(); n != maxRecords {
		t.Errorf("%d records", n)
	}
	if table.Lookup(start, Stream(2*maxRecords-1)) == Unknown {
		t.Error("the newest record is gone")
	}
}

// Guards against messages that are read as something else than was sent.
func TestMessagesAreReadAsSent(t *testing.T) {
	records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
		return Record{
			Stream: Stream(rapid.Uint64().Draw(t, "stream")), Version: Version(rapid.Uint32().Draw(t, "version")),
			TTL: time.Duration(rapid.IntRange(0, 255).Draw(t, "ttl")) * time.Second,
		}
	}), 0, MaxRecords)
	rapid.Check(t, func(t *rapid.T) {
		m := Message{Records: records.Draw(t, "records"), Answers: records.Draw(t, "answers"), WantsReply: rapid.Bool().Draw(t, "reply")}
		for range rapid.IntRange(0, 5).Draw(t, "asked") {
			m.Asked = append(m.Asked, Stream(rapid.Uint64().Draw(t, "stream")))
		}
		b, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(b)
		if err != nil || !slices.Equal(got.Records, m.Records) || !slices.Equal(got.Answers, m.Answers) ||
			!slices.Equal(got.Asked, m.Asked) || got.WantsReply != m.WantsReply {
			t.Fatalf("%+v, error %v, want %+v", got, err, m)
		}
	})
}

// Messages that no router wrote.
func FuzzDecode(f *testing.F) {
	b, _ := Message{Records: []Record{{1, 2, time.Second}}, Asked: []Stream{3}}.Encode()
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := Decode(b); err == nil && len(m.Records)*recordBytes > len(b) {
			t.Errorf("%d records from %d bytes", len(m.Records), len(b))
		}
	})
}

// routers returns so many routers in so many failure domains.
func routers(n, domains int) []Peer {
	out := make([]Peer, n)
	for i := range out {
		out[i] = Peer{Name: fmt.Sprint("front-", i), Addr: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Domain: fmt.Sprint("r/", i%domains)}
	}
	return out
}

// peersOf returns the Peers of one of the routers.
func peersOf(all []Peer, i int) *Peers {
	p := NewPeers(all[i].Name, all[i].Domain)
	p.Set(slices.Delete(slices.Clone(all), i, i+1))
	return p
}

// Guards against holders that the router which is asked to go on does not ask, whichever routers tell and ask.
func TestHoldersAreAsked(t *testing.T) {
	for _, fleet := range []struct{ routers, domains int }{{2, 1}, {5, 3}, {10, 3}, {40, 2}, {330, 12}} {
		all := routers(fleet.routers, fleet.domains)
		const streams = 300
		missed := 0
		for i := range streams {
			s := StreamOf("org", fmt.Sprint(i))
			teller, asker := i%len(all), (i+1)%len(all)
			asked := peersOf(all, asker).Ask(start, s)
			holds := 0
			for addr := range peersOf(all, teller).Tell(start, s) {
				if addr == all[asker].Addr || slices.Contains(asked, addr) {
					holds++
				}
			}
			if holds == 0 {
				missed++
			}
		}
		if missed > streams/50 {
			t.Errorf("%d routers in %d failure domains: no holder of %d of %d streams is asked", fleet.routers, fleet.domains, missed, streams)
		}
	}
}

// Guards against copies that are lost with the failure domain of the router that serves the stream.
func TestHoldersAreInOtherFailureDomains(t *testing.T) {
	all := routers(9, 3)
	p := peersOf(all, 0)
	for i := range 100 {
		for addr := range p.Tell(start, Stream(i)) {
			j := slices.IndexFunc(all, func(r Peer) bool { return r.Addr == addr })
			if all[j].Domain == all[0].Domain {
				t.Fatalf("stream %d is held by %s in the same failure domain", i, all[j].Name)
			}
		}
	}
}

// Half of the routers that are registered are gone. Guards against telling streams to them for ever.
func TestRoutersThatDoNotReplyHoldNothing(t *testing.T) {
	all := routers(40, 4)
	p := peersOf(all, 0)
	gone := func(addr string) bool {
		return slices.IndexFunc(all, func(r Peer) bool { return r.Addr == addr })%2 == 1
	}
	toGone, told := 0, 0
	for i := range 4000 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		for addr, wantsReply := range p.Tell(now, Stream(i)) {
			if wantsReply && !gone(addr) {
				p.Heard(now, addr)
			}
			if i >= 2000 {
				told++
				if gone(addr) {
					toGone++
				}
			}
		}
	}
	if toGone > told/100 {
		t.Errorf("%d of %d copies went to routers that are gone", toGone, told)
	}
}

// Most routers are lost in one moment, among them those that serve the streams. At least half of the streams must be
// known to a router that is left: so many have to go on, of those that clients take up.
func TestMostStreamsAreKnownAfterTheLossOfMostRouters(t *testing.T) {
	for _, fleet := range []struct{ routers, domains, lost int }{{5, 3, 3}, {10, 3, 6}, {330, 12, 198}} {
		all := routers(fleet.routers, fleet.domains)
		const streams = 1000
		known := 0
		for i := range streams {
			s := StreamOf("org", fmt.Sprint(i))
			isLost := func(addr string) bool {
				at := slices.IndexFunc(all, func(r Peer) bool { return r.Addr == addr })
				return (at-i%len(all)+len(all))%len(all) < fleet.lost // the router that serves the stream is among them
			}
			asker := (i + fleet.lost) % len(all)
			asked := append(peersOf(all, asker).Ask(start, s), all[asker].Addr)
			for addr := range peersOf(all, i%len(all)).Tell(start, s) {
				if !isLost(addr) && slices.Contains(asked, addr) {
					known++
					break
				}
			}
		}
		t.Logf("%d of %d routers are lost: %d of %d streams are known", fleet.lost, fleet.routers, known, streams)
		if 2*known < streams {
			t.Errorf("%d of %d routers are lost: %d of %d streams are known", fleet.lost, fleet.routers, known, streams)
		}
	}
}

// What it costs to find the holders of a stream in a fleet of the target's size.
func BenchmarkTell(b *testing.B) {
	p := peersOf(routers(330, 12), 0)
	m, err := Message{Records: []Record{{1 << 60, 1 << 30, 30 * time.Second}}}.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for i := 0; b.Loop(); i++ {
		p.Tell(start, Stream(i))
	}
	b.ReportMetric(float64(len(m)), "bytes/message")
}
