package eventstream

import "testing"

// Guards against taking the end of a line for the end of an event, with each kind of line end.
func TestPositionKnowsWhereEventsEnd(t *testing.T) {
	for _, c := range []struct {
		stream string
		whole  int // length of the longest prefix that ends between two events
		ends   bool
	}{
		{"", 0, false},
		{"id: 1", 0, false},
		{"id: 1\n", 0, false},
		{"id: 1\n\n", 7, true},
		{"id: 1\n\nid", 7, false},
		{"id: 1\r\r", 7, true},
		{"id: 1\r", 0, false},
		{"id: 1\r\n", 0, false},
		{"id: 1\r\n\r", 0, false},
		{"id: 1\r\rid: 2\r\r", 14, true},
		{"id: 1\r\n\r\n", 9, true},
		{"id: 1\n\r\n", 8, true},
		{"id: 1\r\n\n", 8, true},
		{"\n\n", 2, false},
		{": hello\n", 8, false},
		{": hello", 0, false},
		{": hello\n\n", 9, false},
		{"id: 1\n: hello\n", 0, false},
		{"id: 1\n: hello\n\n", 15, true},
		{"id: 1\n\n: hello\n", 15, true},
		{"id: 1\n\n: hel", 7, false},
	} {
		var p Position
		if got := p.Advance([]byte(c.stream)); got != c.whole || p.AfterEvent() != c.ends {
			t.Errorf("%q: %d bytes, may end %v; want %d, %v", c.stream, got, p.AfterEvent(), c.whole, c.ends)
		}
		var split Position
		whole := 0
		for i := range c.stream {
			if split.Advance([]byte(c.stream[i:i+1])) > 0 {
				whole = i + 1
			}
		}
		if whole != c.whole || split.AfterEvent() != c.ends {
			t.Errorf("%q, byte by byte: %d bytes, may end %v; want %d, %v", c.stream, whole, split.AfterEvent(), c.whole, c.ends)
		}
	}
}
