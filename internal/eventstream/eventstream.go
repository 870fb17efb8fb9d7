// Package eventstream passes on a stream of server-sent events in whole events, so that
// another upstream can continue the stream where it was interrupted. The caller must not
// receive an incomplete event or the same event twice. It also says where the body of a stream ends
// that nothing but the end of its connection marks (Body).
package eventstream

import "bytes"

// maxPendingBytes bounds the buffered part of an event. A longer event is passed on in
// parts, and the stream cannot be resumed within it.
const maxPendingBytes = 32 << 10

// Framer buffers the bytes of an event until the event is complete. The zero value is
// ready to use.
type Framer struct {
	position Position
	pending  []byte // start of an incomplete event
	lastID   string // see LastID
	partSent bool   // a part of an event was passed on, and no event has been completed since
}

// Feed takes the next bytes of the stream and returns those that may be passed on: the
// complete events, or, once an event exceeds maxPendingBytes, its bytes as they arrive.
// The result may share memory with b, and is valid until the next call.
func (f *Framer) Feed(b []byte) []byte {
	end := f.position.Advance(b)
	if end == 0 {
		f.pending = append(f.pending, b...)
		if !f.partSent && len(f.pending) <= maxPendingBytes {
			return nil
		}
		f.partSent = true
		part := f.takePending()
		f.recordLastID(part)
		return part
	}
	whole := b[:end]
	if len(f.pending) > 0 {
		whole = append(f.takePending(), whole...)
	}
	f.pending = append([]byte(nil), b[end:]...)
	f.partSent = false
	f.recordLastID(whole)
	return whole
}

// takePending empties the buffer and returns what it held.
func (f *Framer) takePending() []byte {
	b := f.pending
	f.pending = nil
	return b
}

// Pending returns the buffered bytes, to be passed on at the stream's regular end.
func (f *Framer) Pending() []byte {
	return f.pending
}

// MayContinue reports whether another upstream may continue the stream after LastID, which is
// not the case within an event of which a part was passed on.
func (f *Framer) MayContinue() bool {
	return !f.partSent
}

// Discard drops the buffered bytes, when another upstream continues the stream after LastID.
func (f *Framer) Discard() {
	f.pending, f.position = nil, Position{}
}

// LastID returns the last event id that was passed on; empty: none. An event without an id
// does not change it. Within an event of which a part was passed on, it may be the id of that event.
func (f *Framer) LastID() string {
	return f.lastID
}

// recordLastID records the last id in complete events.
func (f *Framer) recordLastID(b []byte) {
	for line := range bytes.FieldsFuncSeq(b, isLineEnd) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			f.lastID = string(bytes.TrimSpace(id))
		}
	}
}

func isLineEnd(r rune) bool { return r == '\n' || r == '\r' }
