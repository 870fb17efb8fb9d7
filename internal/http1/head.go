package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
)

const (
	// maxStatus is the largest status that HTTP defines a meaning for (RFC 9110, section 15).
	maxStatus = 599
	// maxTextBytes bounds what is kept of the status line, a name or a value. What is compared with them is shorter.
	maxTextBytes = 64

	// protocolPrefix begins each response, and a digit follows it.
	protocolPrefix = "HTTP/1."
)

// HeadError reports that the head of a response is invalid.
type HeadError struct {
	Fault string // what is wrong
	Text  string // the beginning of the line, the name or the value
}

// Error implements error.
func (e *HeadError) Error() string {
	return fmt.Sprintf("http1: %s: %q", e.Fault, e.Text)
}

// HeadChecker follows the bytes of the head of one response and reports whether it is valid. net/http accepts what is refused
// here: a status that is out of range, field names with blanks, among them those of the fields that say how long the body is,
// and heads that say it twice. The zero value is the start of a head.
type HeadChecker struct {
	part    headPart
	afterCR bool   // the latest byte was a CR, which only the end of a line follows
	text    []byte // the beginning of the part
	field   field  // the field of the latest line
	status  int
	minor   byte // digit of the version
	framing framing
}

// headPart is the part of a head that the next byte belongs to.
type headPart uint8

const (
	inStatusLine headPart = iota
	atLineStart           // of a field, of the rest of the one before, or of the empty line
	inName
	inValue
	afterHead
)

// field is a field that is looked at.
type field uint8

const (
	noField field = iota
	otherField
	contentLength
	transferEncoding
)

// framing is what a head says of the end of the body.
type framing struct {
	length  []byte // value of Content-Length; nil: there is none
	chunked bool
}

// Reset makes h the start of another head.
func (h *HeadChecker) Reset() {
	*h = HeadChecker{text: h.text[:0]}
}

// Check takes the next bytes. It returns how many of them belong to the head, and a *HeadError at the first byte that makes
// the head invalid. The HeadChecker must not be used after an error until Reset.
func (h *HeadChecker) Check(b []byte) (n int, err error) {
	for n < len(b) && h.part != afterHead {
		if err := h.next(b[n]); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// Ended reports whether the head has ended.
func (h *HeadChecker) Ended() bool {
	return h.part == afterHead
}

// IsInterim reports whether the head, which has ended, is that of an interim response, which another head follows.
func (h *HeadChecker) IsInterim() bool {
	return h.status < http.StatusOK
}

// IsFramed reports whether the head, which has ended, says where the body ends.
func (h *HeadChecker) IsFramed() bool {
	return h.framing.chunked || h.framing.length != nil
}

// next takes a byte.
func (h *HeadChecker) next(c byte) error {
	switch {
	case c == '\n':
		h.afterCR = false
		return h.endLine()
	case h.afterCR, c < ' ' && c != '\t' && c != '\r', c == 0x7f:
		return h.fault("control character")
	case c == '\r':
		h.afterCR = true
		return nil
	case h.part == atLineStart:
		return h.beginLine(c)
	case h.part == inName:
		return h.nextOfName(c)
	case h.part == inValue && h.field == otherField:
		return nil
	}
	h.keep(c)
	return nil
}

// keep adds a byte to the text of the part. Blanks at its beginning, and more than one in a row, are left out.
func (h *HeadChecker) keep(c byte) {
	if isBlank(c) {
		if len(h.text) == 0 || h.text[len(h.text)-1] == ' ' {
			return
		}
		c = ' '
	}
	if len(h.text) < maxTextBytes {
		h.text = append(h.text, c)
	}
}

// beginLine takes the first byte of a line after the status line. A blank continues the value of the line before.
func (h *HeadChecker) beginLine(c byte) error {
	if isBlank(c) {
		if h.field == noField {
			return h.fault("the first field line is a continuation")
		}
		h.part = inValue
		h.keep(c)
		return nil
	}
	if err := h.endField(); err != nil {
		return err
	}
	h.part = inName
	return h.nextOfName(c)
}

// nextOfName takes a byte of the name of a field, or the colon after it.
func (h *HeadChecker) nextOfName(c byte) error {
	if c != ':' {
		h.keep(c)
		if !isTokenByte(c) {
			return h.fault("invalid character in a field name")
		}
		return nil
	}
	if len(h.text) == 0 {
		return h.fault("empty field name")
	}
	h.field = fieldOf(h.text)
	h.part, h.text = inValue, h.text[:0]
	return nil
}

// endLine ends a line.
func (h *HeadChecker) endLine() error {
	switch h.part {
	case inStatusLine:
		err := h.readStatusLine()
		h.text = h.text[:0]
		h.part = atLineStart
		return err
	case inName:
		return h.fault("field line without a colon")
	case atLineStart: // the empty line
		if err := h.endField(); err != nil {
			return err
		}
		h.part = afterHead
		return h.checkFraming()
	}
	h.part = atLineStart
	return nil
}

// readStatusLine reads the first line. net/http takes any number of three characters for a status, and one below 200 for
// that of an interim response. No call asks for another protocol, so that 101 answers none.
func (h *HeadChecker) readStatusLine() error {
	version, rest, _ := bytes.Cut(h.text, []byte(" "))
	minor, ok := bytes.CutPrefix(version, []byte(protocolPrefix))
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return h.fault("not a version of HTTP/1")
	}
	digits, _, _ := bytes.Cut(rest, []byte(" "))
	if len(digits) != 3 || !isNumber(digits) {
		return h.fault("the status is not a number of three digits")
	}
	h.minor = minor[0]
	h.status, _ = strconv.Atoi(string(digits)) // digits do not fail
	if h.status < http.StatusContinue || h.status > maxStatus || h.status == http.StatusSwitchingProtocols {
		return h.fault("the status is out of range, or unexpected")
	}
	return nil
}

// endField ends the field of the lines before.
func (h *HeadChecker) endField() error {
	value := bytes.TrimSuffix(h.text, []byte(" "))
	switch h.field {
	case contentLength:
		if !isNumber(value) {
			return h.fault("invalid Content-Length")
		}
		if h.framing.length != nil && !bytes.Equal(value, h.framing.length) {
			return h.fault("conflicting Content-Length")
		}
		h.framing.length = bytes.Clone(value)
	case transferEncoding:
		if h.framing.chunked {
			return h.fault("repeated Transfer-Encoding")
		}
		if !bytes.EqualFold(value, []byte("chunked")) {
			return h.fault("unsupported Transfer-Encoding")
		}
		h.framing.chunked = true
	}
	h.text = h.text[:0]
	return nil
}

// checkFraming checks what the head says of the end of the body (RFC 9112, sections 6.1 to 6.3; RFC 9110, section 8.6).
func (h *HeadChecker) checkFraming() error {
	hasNoBody := h.IsInterim() || h.status == http.StatusNoContent
	switch {
	case h.framing.chunked && h.framing.length != nil:
		return h.fault("both Content-Length and Transfer-Encoding")
	case h.framing.chunked && h.minor == '0':
		return h.fault("Transfer-Encoding in HTTP/1.0")
	case h.framing.chunked && hasNoBody, hasNoBody && len(bytes.Trim(h.framing.length, "0")) > 0:
		return h.fault("a body where the status allows none")
	}
	return nil
}

// fault returns a *HeadError about the current part.
func (h *HeadChecker) fault(text string) error {
	return &HeadError{Fault: text, Text: string(h.text)}
}

// fieldOf returns the field with a name.
func fieldOf(name []byte) field {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		return contentLength
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return transferEncoding
	}
	return otherField
}

func isBlank(c byte) bool { return c == ' ' || c == '\t' }

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isNumber reports whether b holds digits, and nothing else.
func isNumber(b []byte) bool {
	return len(b) > 0 && bytes.IndexFunc(b, func(r rune) bool { return r < '0' || r > '9' }) < 0
}

// isTokenByte reports whether the name of a field may hold a byte (RFC 9110, section 5.6.2).
func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', isDigit(c):
		return true
	}
	return bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}
