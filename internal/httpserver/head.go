package httpserver

import (
	"bytes"
	"math"
	"strconv"
)

const (
	// emptyLine is the length of the line that ends a head.
	emptyLine = len("\r\n")
	// maxIgnoredBytes is how many bytes of line ends net/http tolerates before a head.
	maxIgnoredBytes = 4
)

// headScan finds the end of a request's head, and what is known of its body then. It may find an end too early, where
// net/http skips line ends or has read a part of the head before: net/http asks for more then, and a new scan begins.
// It never finds it too late.
type headScan struct {
	bytes     int // scanned so far
	lines     int
	lineBytes int    // of the line that is being scanned, without its end
	line      []byte // the beginning of that line
	body      int64  // length of the body; unknownLength: chunks, or it is not known
	ended     bool
}

const (
	// unknownLength is the length of a body in chunks, or one that headScan does not understand.
	unknownLength = math.MaxInt64
	// maxScannedLine is how much of a line is kept: what it takes to read the headers that say the body's length.
	maxScannedLine = 64
)

var (
	contentLength    = []byte("content-length")
	transferEncoding = []byte("transfer-encoding")
)

// feed scans b and returns the number of its bytes up to the head's end. ended is set if the head ends there.
func (s *headScan) feed(b []byte) int {
	for i := 0; i < len(b); {
		end := bytes.IndexByte(b[i:], '\n')
		if end < 0 {
			s.addToLine(b[i:])
			s.bytes += len(b) - i
			break
		}
		s.addToLine(b[i : i+end])
		s.bytes += end + 1
		i += end + 1
		s.lines++
		if s.endLine() {
			s.ended = true
			return i
		}
	}
	return len(b)
}

func (s *headScan) addToLine(b []byte) {
	s.lineBytes += len(b)
	s.line = append(s.line, b[:min(len(b), maxScannedLine-len(s.line))]...)
}

// endLine ends a line, and reports whether it was empty.
func (s *headScan) endLine() bool {
	empty := s.lineBytes == 0 || s.lineBytes == 1 && s.line[0] == '\r'
	if !empty {
		s.readField(s.line)
	}
	s.line, s.lineBytes = s.line[:0], 0
	return empty
}

// readField reads what a header line says of the body. net/http refuses values that are malformed or differ.
func (s *headScan) readField(line []byte) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok:
	case bytes.EqualFold(name, transferEncoding):
		s.body = unknownLength
	case bytes.EqualFold(name, contentLength) && s.body != unknownLength:
		s.body = s.parseLength(value)
	}
}

// parseLength returns the length of a body, or unknownLength if it is not all in the line that is scanned.
func (s *headScan) parseLength(value []byte) int64 {
	n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
	if err != nil || s.lineBytes > maxScannedLine {
		return unknownLength
	}
	return int64(n)
}

// size returns the size of the head without the empty line at its end.
func (s *headScan) size() int {
	return s.bytes - emptyLine
}

const (
	// bytesPerHeadByte is the memory that net/http and a router take for each byte of a head: its text, once in the
	// parsed request and once in the one to the upstream.
	bytesPerHeadByte = 2
	// bytesPerField is the memory that they take for each header field beside its text: an entry in each of two maps,
	// and a slice.
	bytesPerField = 320
)

// parsedBytes returns the memory in bytes that the head takes once it is parsed.
func (s *headScan) parsedBytes() int64 {
	return int64(s.bytes)*bytesPerHeadByte + int64(s.lines)*bytesPerField
}
