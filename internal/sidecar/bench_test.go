package sidecar

import (
	"encoding/binary"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admission"
	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/upstream"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

var benchStart = time.Unix(1_000_000, 0)

func benchState(slots, keys int) *State {
	s := NewState(Settings{
		VM: "vm-0000", Incarnation: 1, Keys: keys,
		Admission:   admission.Config{Slots: slots, MaxWaiting: math.MaxInt, MaxBytes: math.MaxInt},
		DetachGrace: 15 * time.Second, KeepAnswer: 30 * time.Second,
	})
	s.Step(Ticked{Now: benchStart})
	s.Step(Probed{Now: benchStart, Health: upstream.Health{}})
	return s
}

// benchSubmit is a chat turn of 1 KB.
func benchSubmit(i int) wire.Submit {
	var n token.Nonce
	binary.BigEndian.PutUint64(n[:], uint64(i)+1)
	key := wire.Key{VM: "vm-0000", Incarnation: 1, Nonce: n, Expires: benchStart.Unix() + 900}
	next := key
	return wire.Submit{
		Key: key, Successor: &next, Org: fmt.Sprintf("organisation-%d", i%64), Session: uint64(i), Fingerprint: uint64(i),
		Policy: wire.RequestPolicy{Profile: "notes", OrgWeight: 1, Deadline: time.Minute},
		Call:   wire.Call{Method: "POST", Path: "/v1/chat/completions", Body: make([]byte, 1<<10)},
	}
}

// heapGrowth returns how many bytes of heap the result of f occupies.
func heapGrowth(f func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkMemory measures the memory per waiting request, ended request and open
// response, in bytes.
func BenchmarkMemory(b *testing.B) {
	cases := map[string]func(n int) any{
		"waiting":  waitingRequests,
		"finished": finishedRequests,
		"answer":   openResponses,
	}
	for _, name := range []string{"waiting", "finished", "answer"} {
		for _, n := range []int{1_000, 4_000, 16_000} {
			b.Run(fmt.Sprintf("%s=%d", name, n), func(b *testing.B) {
				total := 0.0
				for b.Loop() {
					total += heapGrowth(func() any { return cases[name](n) })
				}
				b.ReportMetric(total/float64(b.N)/float64(n), "bytes/each")
			})
		}
	}
}

// waitingRequests returns a State with n requests, all but one of them queued with
// their bodies.
func waitingRequests(n int) any {
	s := benchState(1, 1<<20)
	for i := range n {
		s.Step(Submitted{Now: benchStart, Submit: benchSubmit(i)})
	}
	return s
}

// finishedRequests returns a State with n ended requests and their entries in the
// key table.
func finishedRequests(n int) any {
	s := benchState(1, 1<<20)
	for i := range n {
		sub := benchSubmit(i)
		s.Step(Submitted{Now: benchStart, Submit: sub})
		s.Step(CallEnded{Now: benchStart, Nonce: sub.Key.Nonce})
	}
	return s
}

// openResponses returns a store with n responses of 1 KB, each with a reader.
func openResponses(n int) any {
	store := newResponseStore(BufferLimits{PerResponse: 1 << 20, Total: 1 << 30})
	for i := range n {
		nonce := benchSubmit(i).Key.Nonce
		store.open(nonce)
		rb := store.get(nonce)
		rb.tryWrite(make([]byte, 1<<10))
		rb.addReader(newSender(nil, rb, wire.Attach{Window: 16 << 10}), 0)
	}
	return store
}

// BenchmarkStep measures the events of one request from its submission to the
// delivery of its response, while others are in progress.
func BenchmarkStep(b *testing.B) {
	for _, live := range []int{16, 64, 256} {
		b.Run(fmt.Sprintf("live=%d", live), func(b *testing.B) {
			s := benchState(live, 1<<14)
			now := benchStart
			events := 0
			step := func(e Event) {
				events++
				s.Step(e)
			}
			i := 0
			for ; i < live-1; i++ {
				step(Submitted{Now: now, Submit: benchSubmit(i)})
			}
			b.ReportAllocs()
			for b.Loop() {
				i++
				now = now.Add(10 * time.Millisecond)
				sub := benchSubmit(i)
				sub.Key.Expires = now.Unix() + 900
				n := sub.Key.Nonce
				step(Submitted{Now: now, Submit: sub})
				step(ReadersChanged{Now: now, Nonce: n, Seq: 1, Count: 1})
				step(FirstByteReceived{Now: now, Nonce: n})
				step(CallEnded{Now: now, Nonce: n})
				step(ReadersChanged{Now: now, Nonce: n, Seq: 2, Delivered: true})
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/event")
		})
	}
}
