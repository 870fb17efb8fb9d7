// Package eventstream passes on a stream of server-sent events in whole events, so that
// another upstream can continue the stream where it was interrupted. The caller must not
// receive an incomplete event or the same event twice.
package eventstream

import "bytes"

// maxPendingBytes bounds the buffered part of an event. A longer event is passed on in
// parts, and the stream cannot be resumed within it.
const maxPendingBytes = 1 << 20

// Framer buffers the bytes of an event until the event is complete. The zero value is
// ready to use.
type Framer struct {
	pending  []byte // start of an incomplete event
	lastID   string // of the last complete event
	partSent bool   // a part of an event was passed on, and no event has been completed since
}

// Feed takes the next bytes of the stream and returns those that may be passed on: the
// complete events, or, once an event exceeds maxPendingBytes, its bytes as they arrive.
// The result may share memory with b, and is valid until the next call.
func (f *Framer) Feed(b []byte) []byte {
	if len(f.pending) > 0 {
		b = append(f.pending, b...)
		f.pending = f.pending[:0]
	}
	end := wholeEventsLen(b)
	if end == 0 && len(b) > maxPendingBytes {
		f.partSent = true
		return b
	}
	if end > 0 {
		f.partSent = false
		f.recordLastID(b[:end])
	}
	if end < len(b) {
		f.pending = append([]byte(nil), b[end:]...)
	}
	return b[:end]
}

// Pending returns the buffered bytes, to be passed on at the stream's regular end.
func (f *Framer) Pending() []byte {
	return f.pending
}

// Discard drops the buffered bytes after the stream was interrupted. It reports whether
// another upstream may continue the stream after LastID, which is not the case within an
// event of which a part was passed on.
func (f *Framer) Discard() bool {
	f.pending = nil
	return !f.partSent
}

// LastID returns the last event id that was passed on; empty: none. An event without an id
// does not change it.
func (f *Framer) LastID() string {
	return f.lastID
}

// wholeEventsLen returns the length in bytes of the complete events at the start of b;
// zero: there is none. An event ends with an empty line, and lines end with LF or CRLF.
func wholeEventsLen(b []byte) int {
	// LastIndex returns -1 if there is no empty line, so the sum is less than its length.
	end := bytes.LastIndex(b, []byte("\n\n")) + len("\n\n")
	if crlf := bytes.LastIndex(b, []byte("\r\n\r\n")) + len("\r\n\r\n"); crlf >= len("\r\n\r\n") {
		end = max(end, crlf)
	}
	if end < len("\n\n") {
		return 0
	}
	return end
}

// recordLastID records the last id in complete events.
func (f *Framer) recordLastID(b []byte) {
	for line := range bytes.Lines(b) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			f.lastID = string(bytes.TrimSpace(id))
		}
	}
}
