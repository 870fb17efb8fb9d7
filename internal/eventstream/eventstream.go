// Package eventstream splits a stream of server-sent events at the end of an event, so
// that another upstream can continue the stream. The caller must receive neither a part
// of an event nor an event twice.
package eventstream

import "bytes"

// MediaType is the content type of a stream of server-sent events.
const MediaType = "text/event-stream"

// maxPendingBytes bounds the buffered part of an event. A longer event is passed on in
// parts, and the stream cannot be resumed within it.
const maxPendingBytes = 1 << 20

// Framer buffers the end of a stream until the event that it belongs to is complete.
// The zero value is ready to use.
type Framer struct {
	pending  []byte // start of an incomplete event
	lastID   string // of the last complete event
	partSent bool   // a part of an incomplete event was passed on
}

// Feed takes the next bytes of the stream and returns those that may be passed on. They
// are valid until the next call.
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
// another upstream may continue the stream after LastID.
func (f *Framer) Discard() bool {
	f.pending = nil
	return !f.partSent
}

// LastID returns the id of the last event that was passed on, or empty.
func (f *Framer) LastID() string {
	return f.lastID
}

// wholeEventsLen returns the length in bytes of the complete events at the start of b.
// An event ends with an empty line.
func wholeEventsLen(b []byte) int {
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
