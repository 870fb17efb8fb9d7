package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

const (
	lookupTimeout  = 800 * time.Millisecond  // timeout_ms of the route
	lookupPatience = 1500 * time.Millisecond // the clients' deadline
	afterTimeout   = 500 * time.Millisecond  // within which the rule wants an answer after timeout_ms
)

// playEndless has one of three runners of a service send bytes without end in the bodies of its answers for some
// seconds, until the caller closes.
func playEndless(w *world, trouble bool) (bool, error) {
	w.writeConfig([]map[string]any{route("lookup", "/q/", "desk", "idempotent", int(lookupTimeout.Milliseconds()), 100, 2, nil)},
		[]map[string]any{{"name": "desk", "health_path": "/health", "max_connections": 100}})
	var endless atomic.Pointer[string] // id of the runner in trouble; nil: none
	var runs atomic.Int64
	var runners []*runner
	for i := range 3 {
		r, err := w.startRunner(i, "desk", 6)
		if err != nil {
			return false, err
		}
		r.SetHandler(func(c net.Conn, q *http.Request, body string) fake.HandlerResult {
			r.RecordRun(q, body)
			runs.Add(1)
			w.out.printf("runner %s runs %s, Deadline-Ms %s", r.ID, q.Header.Get("Attempt-Id"), q.Header.Get("Deadline-Ms"))
			time.Sleep(15 * time.Millisecond)
			if id := endless.Load(); id != nil && *id == r.ID {
				return writeWithoutEnd(w, r, c, q)
			}
			text := strings.Repeat("a", 800)
			r.WriteHead(c, q, http.StatusOK, "Content-Length: "+strconv.Itoa(len(text)))
			fmt.Fprint(c, text)
			return fake.KeepOpen
		})
		runners = append(runners, r)
	}
	for i := range 2 {
		if _, err := w.startRouter(i, 8); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var calls []*call
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 12 {
		c := &client{router: w.routers[i%len(w.routers)], out: w.out}
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				done := c.do(request{method: http.MethodGet, path: fmt.Sprintf("/q/%d-%d", i, n), patience: lookupPatience}, nil)
				mu.Lock()
				calls = append(calls, done)
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w.out.say("runner %s sends bodies without end from now on", runners[0].ID)
		endless.Store(&runners[0].ID)
	}
	time.Sleep(6 * time.Second)
	if trouble {
		w.out.say("runner %s answers as usual from now on", runners[0].ID)
		endless.Store(nil)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	long, unanswered := 0, 0
	for _, c := range calls {
		if c.ended.IsZero() || c.ended.Sub(c.sent) > lookupTimeout {
			long++
			if c.ended.IsZero() || c.ended.Sub(c.sent) > lookupTimeout+afterTimeout {
				unanswered++
			}
		}
	}
	w.out.say("%d requests, %d runs; %d without an answer at their route's timeout_ms of %v, %d of them without one %v later",
		len(calls), runs.Load(), long, lookupTimeout, unanswered, afterTimeout)
	return unanswered >= 8 && 4*unanswered > long, nil
}

// writeWithoutEnd writes an answer whose body has no end, until the connection is closed.
func writeWithoutEnd(w *world, r *runner, c net.Conn, q *http.Request) fake.HandlerResult {
	id := q.Header.Get("Attempt-Id")
	r.WriteHead(c, q, http.StatusOK, "Transfer-Encoding: chunked")
	began := time.Now()
	for {
		if fake.WriteChunk(c, strings.Repeat("\x00", 200)) != nil {
			w.out.printf("runner %s: the connection of %s was closed after %v", r.ID, id, time.Since(began).Round(time.Millisecond))
			return fake.CloseConn
		}
		time.Sleep(50 * time.Millisecond)
	}
}
