package wire

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/token"
)

func drawFaults(t *rapid.T, label string) faults {
	kinds := rapid.SampledFrom([]fault{drop, repeat, swap, cut, stall})
	return rapid.MapOfN(rapid.IntRange(0, 40), kinds, 0, 5).Draw(t, label)
}

func drawScript(t *rapid.T) script {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) chunk {
		return chunk{
			size:  rapid.IntRange(1, 3000).Draw(t, "size"),
			pause: time.Duration(rapid.SampledFrom([]int{0, 1, 20, 700, 9000}).Draw(t, "pause")) * time.Millisecond,
		}
	}), 1, 8).Draw(t, "script")
}

func drawReader(t *rapid.T, p *Peer, i int) *responseReader {
	return &responseReader{
		peer:     p,
		key:      Key{Nonce: token.Nonce{byte(i)}},
		body:     bytes.Repeat([]byte{byte(40 * i)}, rapid.IntRange(1, 2000).Draw(t, "body")),
		window:   rapid.SampledFrom([]int{64, 1000, 16 << 10}).Draw(t, "window"),
		pause:    time.Duration(rapid.SampledFrom([]int{0, 0, 5, 500}).Draw(t, "reader's pause")) * time.Millisecond,
		detachAt: rapid.SliceOfN(rapid.Int64Range(0, 3000), 0, 3).Draw(t, "leaves"),
	}
}

// Several callers read long responses through one router while a middlebox drops,
// repeats, swaps and truncates frames or stalls in one direction. Callers also
// detach and attach again midway. Each must receive exactly its own complete
// response with one head, and each request must run once.
func TestEachReaderReceivesItsWholeResponseOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := &testNetwork{sidecar: newFakeSidecar()}
		for range rapid.IntRange(0, 4).Draw(rt, "faulty connections") {
			n.middleboxes = append(n.middleboxes, middlebox{up: drawFaults(rt, "up"), down: drawFaults(rt, "down")})
		}
		var readers []*responseReader
		for i := range rapid.IntRange(1, 3).Draw(rt, "readers") {
			readers = append(readers, drawReader(rt, nil, i+1))
			n.sidecar.scripts[readers[i].key.Nonce] = drawScript(rt)
		}
		var failures []error
		synctest.Test(t, func(*testing.T) { failures = n.runReaders(readers) })
		for _, err := range failures {
			rt.Error(err)
		}
	})
}

// runReaders runs the readers concurrently and returns their failures.
func (n *testNetwork) runReaders(readers []*responseReader) []error {
	p := NewPeer(PeerConfig{Dial: n.dial})
	defer synctest.Wait() // no goroutine may be left running
	defer p.Close()
	errs := make([]error, len(readers))
	var wg sync.WaitGroup
	for i, r := range readers {
		r.peer = p
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Minute)
			defer cancel()
			errs[i] = r.read(ctx)
		})
	}
	wg.Wait()
	var failures []error
	for i, r := range readers {
		id := r.key.Nonce
		want := n.sidecar.scripts[id].bytes(r.body)
		if errs[i] != nil || !bytes.Equal(r.got, want) || r.heads != 1 || n.sidecar.runs[id] != 1 {
			failures = append(failures, fmt.Errorf("reader %d: error %v, equal %t (%d of %d bytes), %d heads, %d runs",
				i, errs[i], bytes.Equal(r.got, want), len(r.got), len(want), r.heads, n.sidecar.runs[id]))
		}
	}
	return failures
}
