package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

const (
	formerGraceS  = 8
	presentGraceS = 20
	draftEvents   = 140
	draftInterval = 100 * time.Millisecond
	draftTimeout  = 20 * time.Second
)

// playGrace raises grace_s in the settings file of a router, with a SIGHUP, and stops the router some seconds later
// while it streams.
func playGrace(w *world, trouble bool) (bool, error) {
	w.writeConfig([]map[string]any{route("draft", "/d/", "llm", "streaming", int(draftTimeout.Milliseconds()), 800, 1, map[string]any{"gap_aim_ms": 400})},
		[]map[string]any{{"name": "llm", "health_path": "/health", "max_connections": 100, "engine": map[string]any{"slots": 64, "kv_capacity": 500000}}})
	for i := range 3 {
		r, err := w.startRunner(i, "llm", 64)
		if err != nil {
			return false, err
		}
		r.SetHandler(func(c net.Conn, q *http.Request, body string) fake.HandlerResult {
			r.RecordRun(q, body)
			id := q.Header.Get("Attempt-Id")
			w.out.printf("runner %s runs %s, Deadline-Ms %s", r.ID, id, q.Header.Get("Deadline-Ms"))
			r.WriteHead(c, q, http.StatusOK, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
			for n := 1; n <= draftEvents; n++ {
				time.Sleep(draftInterval)
				if fake.WriteChunk(c, fake.Event(n)) != nil {
					w.out.printf("runner %s: the connection of %s was closed before event %d", r.ID, id, n)
					return fake.CloseConn
				}
			}
			fmt.Fprint(c, "0\r\n\r\n")
			w.out.printf("runner %s has ended %s", r.ID, id)
			return fake.KeepOpen
		})
	}
	first := presentGraceS
	if trouble {
		first = formerGraceS
	}
	for i := range 4 {
		if _, err := w.startRouter(i, first); err != nil {
			return false, err
		}
	}
	r := w.routers[0]
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w.out.say("the settings file of %s, one of %d routers, changes: grace_s is %d, it was %d; SIGHUP", r.name, len(w.routers), presentGraceS, formerGraceS)
		if err := r.writeSettings(presentGraceS); err != nil {
			return false, err
		}
		r.signal(syscall.SIGHUP)
	}
	time.Sleep(5 * time.Second)
	calls := make([]*call, 6)
	var streams sync.WaitGroup
	for i := range calls {
		c := &client{router: r, out: w.out}
		streams.Go(func() {
			calls[i] = c.do(request{method: http.MethodPost, path: fmt.Sprintf("/d/%d", i), body: "draft", patience: draftTimeout,
				header: map[string]string{"Model": "m", "Token-Usage": "1460,80", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,91bd3f0%d:410", i)}}, nil)
		})
	}
	time.Sleep(2 * time.Second)
	stopped := time.Now()
	w.out.say("SIGTERM; SIGKILL follows after %d s", presentGraceS)
	r.signal(syscall.SIGTERM)
	kill := time.AfterFunc(presentGraceS*time.Second, r.kill)
	defer kill.Stop()
	streams.Wait()
	<-r.exited
	w.out.say("the router ended %v after the SIGTERM", time.Since(stopped).Round(time.Millisecond))
	cut := 0
	for _, c := range calls {
		whole := c.complete && strings.HasSuffix(c.body, fake.Event(draftEvents))
		if !whole && !c.ended.IsZero() && c.ended.Sub(stopped) < presentGraceS*time.Second*5/6 {
			cut++
		}
	}
	w.out.say("%d of %d streams, which were sent before the SIGTERM, were cut earlier than in the last sixth of grace_s; each takes %v", cut, len(calls), draftEvents*draftInterval)
	return cut > 0, nil
}
