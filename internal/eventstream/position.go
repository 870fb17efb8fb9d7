package eventstream

import (
	"mime"
	"net/http"
)

// MediaType is the content type of a stream of server-sent events.
const MediaType = "text/event-stream"

// Position follows the bytes of a stream and knows whether they end between two events. Lines
// end with LF, CR or CRLF, and an event with an empty line. Comments belong to no event. The
// zero value is the start of a stream.
type Position struct {
	line    lineKind // of the line that has begun
	inEvent bool     // a line of an event has begun, and the empty line that ends it has not come
	afterCR bool     // the last byte was CR: LF would belong to the same end of line
	hasRead bool     // an event has been complete
}

// lineKind is what is known of a line whose end has not come.
type lineKind uint8

const (
	emptyLine   lineKind = iota // no byte of it has come
	commentLine                 // it begins with a colon
	fieldLine
)

// Advance takes the next bytes of the stream. It returns the length of their longest prefix that
// ends between two events; zero: there is none.
func (p *Position) Advance(b []byte) int {
	end := 0
	for i, c := range b {
		p.next(c)
		if p.BetweenEvents() {
			end = i + 1
		}
	}
	return end
}

// next takes one byte.
func (p *Position) next(c byte) {
	completesCRLF := c == '\n' && p.afterCR
	p.afterCR = c == '\r'
	switch {
	case completesCRLF:
	case c == '\n' || c == '\r':
		p.endLine()
	case p.line != emptyLine:
	case c == ':':
		p.line = commentLine
	default:
		p.line, p.inEvent = fieldLine, true
	}
}

// endLine handles the end of a line.
func (p *Position) endLine() {
	if p.line == emptyLine && p.inEvent {
		p.inEvent, p.hasRead = false, true
	}
	p.line = emptyLine
}

// BetweenEvents reports whether no event has begun that is not complete.
func (p *Position) BetweenEvents() bool {
	return !p.inEvent && p.line == emptyLine
}

// AfterEvent reports whether the stream may end here: at least one event is complete, and no other
// has begun.
func (p *Position) AfterEvent() bool {
	return p.hasRead && p.BetweenEvents()
}

// IsStream reports whether headers announce a stream of server-sent events.
func IsStream(h http.Header) bool {
	mediaType, _, _ := mime.ParseMediaType(h.Get("Content-Type"))
	return mediaType == MediaType
}

// IsFramed reports whether a response marks the end of its body, by a length or by chunks.
// Otherwise the body ends with its connection.
func IsFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}
