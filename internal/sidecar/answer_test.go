package sidecar

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// reader is a router that reads a response and checks each byte.
type reader struct {
	s      *sender
	offset int64 // of the next byte
}

// A response is longer than its buffer. Routers read it at different speeds, fail,
// and resume at the offset up to which the caller has received it. Each reader must
// get every byte at its offset, or the error that the bytes are no longer buffered.
// The buffers must stay within the memory limit, also if the limit is used up by ended
// responses. No bytes may be discarded that a current reader has not received.
func TestReadersGetEveryByteOrAnError(t *testing.T) {
	whole := make([]byte, 1<<20)
	for i := range whole {
		whole[i] = byte(i ^ i>>8 ^ i>>16)
	}
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(8, 256).Draw(t, "window") << 10
		store := newResponseStore(BufferLimits{PerResponse: limit, Total: rapid.IntRange(64, 256).Draw(t, "total") << 10})
		for n := range byte(3) { // ended responses, which may use up the total limit
			store.open(token.Nonce{n})
			store.get(token.Nonce{n}).tryWrite(whole[:limit])
			store.finish(Finish{Nonce: token.Nonce{n}})
		}
		pinned := store.get(token.Nonce{2}) // has a reader, so it must not be evicted
		pinned.addReader(newSender(nil, pinned, wire.Attach{Window: 1}), 0)
		live := token.Nonce{9}
		store.open(live)
		rb := store.get(live)
		written := 0
		var readers []*reader
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				n, _ := rb.tryWrite(whole[written : written+rapid.IntRange(1, 16<<10).Draw(t, "bytes")])
				written += n
				if have, bound := store.used.Load(), int64(store.limits.Total+min(limit, minResponseLimit)+limit); have > bound {
					t.Fatalf("%d bytes buffered, want at most %d", have, bound)
				}
			},
			"join": func(t *rapid.T) {
				r := &reader{offset: rapid.Int64Range(0, int64(written)).Draw(t, "offset")}
				r.s = newSender(nil, rb, wire.Attach{Offset: r.offset, Window: 16 << 10})
				if _, ok := rb.addReader(r.s, r.offset); ok {
					readers = append(readers, r)
				} else if r.offset >= rb.base {
					t.Fatalf("rejected at offset %d, buffered from %d", r.offset, rb.base)
				}
			},
			"read": func(t *rapid.T) {
				if len(readers) > 0 {
					rapid.SampledFrom(readers).Draw(t, "reader").read(t, rb, whole)
				}
			},
			"part": func(t *rapid.T) {
				if len(readers) > 0 {
					i := rapid.IntRange(0, len(readers)-1).Draw(t, "reader")
					rb.removeReader(readers[i].s, false)
					readers = append(readers[:i], readers[i+1:]...)
				}
			},
			"": func(t *rapid.T) {
				if pinned.base > 0 {
					t.Fatal("discarded a response that is being read")
				}
				if len(readers) == 0 && written < min(limit, minResponseLimit) && rb.base > 0 {
					t.Fatalf("discarded %d bytes though all fit", rb.base)
				}
			},
		})
		for n := range byte(10) {
			store.drop(token.Nonce{n})
		}
		if store.ended.Len() > 0 || store.used.Load() != 0 {
			t.Fatalf("%d dropped responses are listed, %d bytes counted", store.ended.Len(), store.used.Load())
		}
		if v := pinned.viewAt(0, 1); !v.discarded {
			t.Fatal("a dropped response is not reported as discarded")
		}
	})
}

// read reads the available bytes, checks them, and grants credit for as many.
func (r *reader) read(t *rapid.T, rb *responseBuffer, whole []byte) {
	upTo, _ := r.s.credit()
	v := rb.viewAt(r.offset, min(upTo-r.offset, maxFrameBytes))
	if v.discarded {
		t.Fatalf("discarded at %d before a reader received it; buffered from %d", r.offset, rb.base)
	}
	if !bytes.Equal(v.bytes, whole[r.offset:r.offset+int64(len(v.bytes))]) {
		t.Fatalf("wrong bytes at %d", r.offset)
	}
	r.offset += int64(len(v.bytes))
	r.s.grant(r.offset + r.s.window)
}
