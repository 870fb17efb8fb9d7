package eventstream

import (
	"bytes"
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// Guards against a gap or a repeated event where another upstream continues a stream.
// The first upstream fails anywhere in the stream, also within an event, and the next
// one continues after the last event that the caller received. However the bytes
// arrive, the caller must receive the whole stream.
func TestResumedStreamHasNoGapOrRepeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newline := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "newline")
		n := rapid.IntRange(1, 6).Draw(t, "events")
		stream := func(from int) []byte {
			var b bytes.Buffer
			for i := from; i <= n; i++ {
				fmt.Fprintf(&b, "id: %d%sdata: %s%s%s", i, newline, "text", newline, newline)
			}
			return b.Bytes()
		}
		var f Framer
		var out bytes.Buffer
		feed := func(b []byte) {
			for len(b) > 0 {
				k := rapid.IntRange(1, len(b)).Draw(t, "piece")
				out.Write(f.Feed(bytes.Clone(b[:k])))
				b = b[k:]
			}
		}
		whole := stream(1)
		feed(whole[:rapid.IntRange(0, len(whole)).Draw(t, "cut")])
		if !f.MayContinue() {
			t.Fatal("parts of short events were passed on")
		}
		f.Discard()
		from := 1
		if f.LastID() != "" {
			if _, err := fmt.Sscan(f.LastID(), &from); err != nil {
				t.Fatal(err)
			}
			from++
		}
		feed(stream(from))
		out.Write(f.Pending())
		if !bytes.Equal(out.Bytes(), whole) {
			t.Fatalf("%q, want %q", out.Bytes(), whole)
		}
	})
}

// Guards against a router that runs out of memory because it buffers an event of many
// megabytes, and against resuming a stream within such an event, of which the caller has
// received a part.
func TestOversizedEventIsNotBuffered(t *testing.T) {
	var f Framer
	f.Feed([]byte("id: 1\n\n"))
	if out := f.Feed(make([]byte, maxPendingBytes+1)); len(out) != maxPendingBytes+1 {
		t.Fatalf("%d bytes were passed on", len(out))
	}
	if f.MayContinue() {
		t.Error("a stream interrupted within an event is reported as resumable")
	}
}

// Guards against a router that exceeds its memory because upstreams send events without end on all of its streams: the
// smallest router has 184 MB for 2,050 of them.
func TestEventsWithoutEndFitIntoTheMemoryOfARouter(t *testing.T) {
	const streams, maxBytes = 2050, 184 << 20 / 2
	for _, text := range []string{"data: weights", ": weights", "id: 1"} {
		var f Framer
		held := 0
		for range 2000 {
			f.Feed([]byte(text))
			held = max(held, cap(f.pending)+len(f.lastID))
			text = strings.Repeat("w", 1<<10)
		}
		if held*streams > maxBytes {
			t.Errorf("a stream holds %d bytes, %d streams more than %d", held, streams, maxBytes)
		}
	}
}
