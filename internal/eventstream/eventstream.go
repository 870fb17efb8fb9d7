// Package eventstream cuts a stream of server-sent events where one event ends,
// so that another upstream can go on with it: a caller must see neither a part of
// an event nor one event twice.
package eventstream

import "bytes"

// MediaType is the content type of a stream of events.
const MediaType = "text/event-stream"

// maxPendingBytes bounds the part of an event that is held back, in bytes. A longer event
// goes out in parts: the stream can then not be gone on with within it.
const maxPendingBytes = 1 << 20

// Framer holds back the last part of a stream until the event that it belongs to
// is whole. The zero value is ready to use.
type Framer struct {
	pending  []byte
	lastID   string
	partSent bool // a part of an event has gone out
}

// Feed takes the next bytes of the stream and returns those that may go out. They
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

// Pending returns what was held back, at the stream's regular end.
func (f *Framer) Pending() []byte {
	return f.pending
}

// Discard forgets what was held back: the stream has broken off there. It reports
// whether another upstream may go on behind LastID.
func (f *Framer) Discard() bool {
	f.pending = nil
	return !f.partSent
}

// LastID is the id of the last event that went out, or empty.
func (f *Framer) LastID() string {
	return f.lastID
}

// wholeEventsLen returns the length of the whole events at the start of b. An event ends
// with an empty line.
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

// recordLastID remembers the last id among whole events.
func (f *Framer) recordLastID(b []byte) {
	for line := range bytes.Lines(b) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			f.lastID = string(bytes.TrimSpace(id))
		}
	}
}
