package eventstream

import (
	"bytes"
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

// A runner dies in the middle of an event, and another one goes on behind the
// last event that the caller has. Wherever the stream is cut, and however its
// bytes come in, the caller's stream must be the whole one.
func TestResumedStreamHasNoGapOrRepeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "newline")
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
		if !f.Discard() {
			t.Fatal("short events were torn")
		}
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

// An event of many megabytes is not held back in a router's memory; a stream that
// breaks off within it cannot be gone on with.
func TestOversizedEventIsNotBuffered(t *testing.T) {
	var f Framer
	f.Feed([]byte("id: 1\n\n"))
	if out := f.Feed(make([]byte, maxPendingBytes+1)); len(out) != maxPendingBytes+1 {
		t.Fatalf("%d bytes went out", len(out))
	}
	if f.Discard() {
		t.Error("gone on with within an event")
	}
}
