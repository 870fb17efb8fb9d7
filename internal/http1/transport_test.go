package http1

import (
	"flag"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// However a request is cut into writes, its end must be seen with its last byte. Guards against a response that is confirmed
// before its request was written, and against one that is never confirmed.
func TestRequestMeterSeesTheEndOfARequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := strings.Repeat("\r\n\r\n", rapid.IntRange(0, 5).Draw(t, "body"))
		fields := strings.Repeat("X: \r", rapid.IntRange(0, 1).Draw(t, "odd")) + strings.Repeat("X: y\r\n", rapid.IntRange(1, 3).Draw(t, "fields"))
		request := "POST / HTTP/1.1\r\n" + fields + "\r\n" + body
		m := requestMeter{bodyLeft: int64(len(body))}
		for rest := request; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "write")
			done := m.advance([]byte(rest[:n]))
			rest = rest[n:]
			if done != (len(rest) == 0) {
				t.Fatalf("complete %v with %d bytes left", done, len(rest))
			}
		}
	})
}

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}
