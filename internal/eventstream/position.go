package eventstream

// Position follows the bytes of a stream and knows whether they end between two events. Lines
// end with LF, CR or CRLF, and an event with an empty line. Comments belong to no event. The
// zero value is the start of a stream.
type Position struct {
	line    lineKind // of the line that has begun
	inEvent bool     // a line of an event has begun, and the empty line that ends it has not come
	afterCR bool     // the last byte was CR: LF would belong to the same end of line
	endsLF  bool     // LF has followed the latest CR that is not the last byte
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
	if p.afterCR {
		p.endsLF = completesCRLF
	}
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

// BetweenEvents reports whether no event has begun that is not complete. In a stream whose lines end
// with CRLF, an event is not complete before the LF.
func (p *Position) BetweenEvents() bool {
	return !p.inEvent && p.line == emptyLine && !(p.afterCR && p.endsLF)
}

// AfterEvent reports whether the stream may end here: at least one event is complete, and no other
// has begun.
func (p *Position) AfterEvent() bool {
	return p.hasRead && p.BetweenEvents()
}
