package speed

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	unarySize = 1 << 10
	eventSize = 200 // bytes of an event, which carries one token
)

// stub returns an upstream whose behaviour is selected by the request path.
func stub() http.Handler {
	mux := http.NewServeMux()
	response := bytes.Repeat([]byte("a"), unarySize)
	mux.HandleFunc("POST /unary", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(response)
	})
	mux.HandleFunc("POST /stream", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		n, _ := strconv.Atoi(r.FormValue("n"))
		gap, _ := time.ParseDuration(r.FormValue("gap"))
		w.Header().Set("Content-Type", "text/event-stream")
		tick := time.NewTicker(gap)
		defer tick.Stop()
		for range n {
			<-tick.C
			writeEvent(w)
		}
	})
	mux.HandleFunc("POST /idle", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvent(w)
		<-r.Context().Done()
	})
	return mux
}

// writeEvent writes an event that contains its time of writing.
func writeEvent(w http.ResponseWriter) {
	_, _ = fmt.Fprintf(w, "data: %-*d\n\n", eventSize-len("data: \n\n"), time.Now().UnixNano())
	w.(http.Flusher).Flush()
}
