package standin

import (
	"bytes"
	"io"
	"log"
	"net/http"
	"os"
	"time"
)

// crashDelay is the time from a poisoned request to the crash.
const crashDelay = 50 * time.Millisecond

// Poisoned wraps h and calls crash shortly after it receives a request whose body
// contains marker. It first writes the request's path to the log. An empty marker
// disables this.
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
			log.Printf("pid %d crashes: %s %s", os.Getpid(), r.Method, r.URL)
			time.AfterFunc(crashDelay, crash)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(w, r)
	})
}
