package httpserver

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
)

// Requests of one party end, by their responses and by their callers' leaving. Guards against a count of requests that drifts,
// with which a party is refused for ever.
func TestAdmittedRequestsEndWithTheirResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const connections, admitted = 3, 2 // two thirds are for one party
		release := make(chan struct{})
		l := start(t, Config{Connections: connections, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if Admit(r, "a") != nil {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			select {
			case <-release:
			case <-r.Context().Done():
			}
		})})
		send := func() net.Conn {
			c := l.dial()
			fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			synctest.Wait()
			return c
		}
		for round := range 3 {
			first, second := send(), send()
			if status, _ := readStatus(send()); status != http.StatusServiceUnavailable {
				t.Fatalf("round %d: request %d gets %d", round, admitted+1, status)
			}
			_ = first.Close() // its caller leaves
			synctest.Wait()
			third := send()
			release <- struct{}{}
			release <- struct{}{}
			for _, c := range []net.Conn{second, third} {
				if status, _ := readStatus(c); status != http.StatusOK {
					t.Fatalf("round %d: an admitted request gets %d", round, status)
				}
				_ = c.Close()
			}
			synctest.Wait()
		}
	})
}
