package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

const (
	awayFor       = time.Second // the store, before it comes back from a copy
	betweenWrites = 1500 * time.Millisecond
	downgradeIn   = 250 * time.Millisecond // downgrade_slack_ms
)

// playReplay has the store come back from a copy that lacks the last two versions of the configuration, of which the
// last moves a route to another service. The operator writes both again.
func playReplay(w *world, trouble bool) (bool, error) {
	services := []map[string]any{{"name": "former", "health_path": "/health", "max_connections": 100}, {"name": "present", "health_path": "/health", "max_connections": 100}}
	write := func(version int, service string, timeoutMS int) {
		w.version = version - 2
		w.out.say("the operator writes version %d: route /b/ goes to service %s, timeout_ms %d", version, service, timeoutMS)
		w.writeConfig([]map[string]any{route("book", "/b/", service, "non_idempotent", timeoutMS, 100, 1, nil)}, services)
	}
	write(5, "former", 800)
	var mu sync.Mutex
	ranAt := make(map[string]time.Time) // by id and service
	for i := range 4 {
		service := services[i%2]["name"].(string)
		r, err := w.startRunner(i, service, 6)
		if err != nil {
			return false, err
		}
		r.SetHandler(func(c net.Conn, q *http.Request, body string) fake.HandlerResult {
			id := q.Header.Get("Attempt-Id")
			r.RecordRun(q, body)
			mu.Lock()
			ranAt[service+" "+id] = time.Now()
			mu.Unlock()
			w.out.printf("runner %s of service %s runs %s", r.ID, service, id)
			time.Sleep(15 * time.Millisecond)
			r.WriteHead(c, q, http.StatusOK, fmt.Sprintf("Content-Length: %d", len(service)))
			fmt.Fprint(c, service)
			return fake.KeepOpen
		})
	}
	for i := range 2 {
		if _, err := w.startRouter(i, 8); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	var calls []*call
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 4 {
		c := &client{router: w.routers[i%len(w.routers)], out: w.out}
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				done := c.do(request{method: http.MethodPost, path: fmt.Sprintf("/b/%d-%d", i, n), body: "book", patience: 1500 * time.Millisecond}, nil)
				mu.Lock()
				calls = append(calls, done)
				mu.Unlock()
			}
		})
	}
	time.Sleep(5 * time.Second)
	saved := w.store.Snapshot()
	time.Sleep(500 * time.Millisecond)
	write(7, "former", 900)
	time.Sleep(betweenWrites)
	write(9, "present", 900)
	time.Sleep(4 * time.Second)
	if trouble {
		w.out.say("the store is away for %v", awayFor)
		w.store.SetOutage(func(string) int { return http.StatusServiceUnavailable })
		time.Sleep(awayFor)
		w.store.Restore(saved)
		w.store.SetOutage(nil)
		w.out.say("the store is back from a copy of before version 7")
		time.Sleep(500 * time.Millisecond)
		write(7, "former", 900)
		time.Sleep(betweenWrites)
		write(9, "present", 900)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	// A machine regresses if it sends a request to the former service that a client has sent to it later than
	// downgrade_slack_ms after a runner of the present one has run one of its requests.
	firstPresent := make(map[string]time.Time)
	for _, c := range calls {
		if at, ran := ranAt["present "+c.id]; ran && (firstPresent[c.router].IsZero() || at.Before(firstPresent[c.router])) {
			firstPresent[c.router] = at
		}
	}
	regressed := 0
	for _, c := range calls {
		seen := firstPresent[c.router]
		if _, former := ranAt["former "+c.id]; former && !seen.IsZero() && c.sent.After(seen.Add(downgradeIn)) {
			regressed++
		}
	}
	var each strings.Builder
	for _, r := range w.routers {
		fmt.Fprintf(&each, " %s: version 9 took effect at %.3f", r.name, firstPresent[r.name].Sub(w.out.began).Seconds())
	}
	w.out.say("%s; of %d requests, %d were run by the former service though they were sent over %v after that", strings.TrimSpace(each.String()), len(calls), regressed, downgradeIn)
	return regressed > 0, nil
}
