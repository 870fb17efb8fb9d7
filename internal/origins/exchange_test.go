package origins

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// network delivers messages between exchanges, with their wire form in between.
type network struct {
	mu        sync.Mutex
	exchanges map[string]*Exchange
	lose      func(to string, m Message) bool // nil: none is lost
	sent      int
}

// newNetwork returns a network of so many exchanges in three failure domains, and their addresses.
func newNetwork(t *testing.T, n int) (*network, []string) {
	net := &network{exchanges: make(map[string]*Exchange)}
	all := routers(n, 3)
	var addrs []string
	for i, r := range all {
		x := NewExchange(r.Name, r.Domain, func(to string, m Message) { net.deliver(t, r.Addr, to, m) })
		var others []Peer
		others = append(others, all[:i]...)
		x.SetPeers(append(others, all[i+1:]...))
		net.exchanges[r.Addr] = x
		addrs = append(addrs, r.Addr)
	}
	return net, addrs
}

// loseIf makes the network lose the messages for which lose returns true.
func (n *network) loseIf(lose func(to string, m Message) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lose = lose
}

func (n *network) sentMessages() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

func (n *network) deliver(t *testing.T, from, to string, m Message) {
	n.mu.Lock()
	n.sent++
	lost := n.lose != nil && n.lose(to, m)
	n.mu.Unlock()
	if lost {
		return
	}
	b, err := m.Encode()
	if err != nil {
		t.Error(err)
	}
	time.AfterFunc(time.Millisecond, func() {
		if err := n.exchanges[to].Handle(time.Now(), from, b); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a stream that counts as unknown because one question, or its answer, was lost.
func TestLostQuestionsAreAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, addrs := newNetwork(t, 6)
		v := VersionOf("pool", "v1")
		for i := range 20 {
			net.exchanges[addrs[0]].Tell(time.Now(), Record{Stream: Stream(i), Version: v, TTL: time.Minute})
		}
		time.Sleep(time.Second)
		first := make(map[string]bool)
		net.loseIf(func(to string, m Message) bool {
			key := fmt.Sprint(to, m.Asked)
			lost := len(m.Asked) > 0 && !first[key]
			first[key] = true
			return lost
		})
		for i := range 20 {
			if got, _ := net.exchanges[addrs[1]].Lookup(t.Context(), Stream(i)); got != v {
				t.Errorf("stream %d is known as %d, want %d", i, got, v)
			}
		}
	})
}

// Guards against callers that wait for an answer which can't come: all have answered, or none does.
func TestLookupOfUnknownStreamEnds(t *testing.T) {
	for _, c := range []struct {
		lose bool
		most time.Duration
	}{{false, 5 * time.Millisecond}, {true, askTimeout}} {
		synctest.Test(t, func(t *testing.T) {
			net, addrs := newNetwork(t, 6)
			net.loseIf(func(string, Message) bool { return c.lose })
			began := time.Now()
			if got, _ := net.exchanges[addrs[1]].Lookup(t.Context(), 1); got != Unknown {
				t.Errorf("known as %d", got)
			}
			if took := time.Since(began); took > c.most {
				t.Errorf("messages lost %v: it took %v, want %v at most", c.lose, took, c.most)
			}
		})
	}
}

// Guards against one message for each record: those of one moment to the same router go together.
func TestRecordsOfOneMomentGoTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, addrs := newNetwork(t, 3)
		for i := range 3 * MaxRecords {
			net.exchanges[addrs[0]].Tell(time.Now(), Record{Stream: Stream(i), Version: firstHash, TTL: time.Minute})
		}
		time.Sleep(batchInterval)
		synctest.Wait()
		if sent, most := net.sentMessages(), 2*4; sent > most {
			t.Errorf("%d messages, want %d at most", sent, most)
		}
		time.Sleep(time.Second)
		for _, addr := range addrs[1:] {
			if n := net.exchanges[addr].table.Len(); n != 3*MaxRecords {
				t.Errorf("%d records, want %d", n, 3*MaxRecords)
			}
		}
	})
}
