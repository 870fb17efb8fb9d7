package standin

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// crashDelay is how long an engine works on a request before it crashes.
const crashDelay = 50 * time.Millisecond

// Poisoned returns h as an engine that calls crash a moment after a request
// whose body contains word. An empty word crashes nothing.
func Poisoned(h http.Handler, marker string, crash func()) http.Handler {
	if marker == "" {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if bytes.Contains(body, []byte(marker)) {
			time.AfterFunc(crashDelay, crash)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(w, r)
	})
}
