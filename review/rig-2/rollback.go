package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

const (
	rollbackPlays = 8
	configBound   = 2 * time.Second // config_apply_ms
	watchEndsIn   = 850 * time.Millisecond
)

// watchSeen notes the calls of one client that watch the configuration.
type watchSeen struct {
	store http.Handler
	mu    sync.Mutex
	calls map[string]chan time.Time // by the client's host
	lists map[string]int            // of the configuration, by the client's host
}

// ServeHTTP implements http.Handler.
func (s *watchSeen) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	if r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/v1/objects/config") {
		s.mu.Lock()
		if c := s.calls[from]; c != nil && r.URL.Query().Get("wait_ms") == "900" {
			select {
			case c <- time.Now():
			default:
			}
		}
		if !r.URL.Query().Has("watch") {
			s.lists[from]++
		}
		s.mu.Unlock()
	}
	s.store.ServeHTTP(w, r)
}

// follow returns a channel that receives the time of the next watch of a client.
func (s *watchSeen) follow(from string) chan time.Time {
	c := make(chan time.Time, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[from] = c
	return c
}

func (s *watchSeen) listsBy(from string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists[from]
}

// playRollback changes the configuration and takes the change back half a second later, while the router that reads the
// store for the others stands still for about a second. It does so up to rollbackPlays times, each time with routers that
// have just started.
func playRollback(w *world, trouble bool) (bool, error) {
	seen := &watchSeen{store: w.store, calls: make(map[string]chan time.Time), lists: make(map[string]int)}
	w.setHandler(seen)
	services := []map[string]any{{"name": "former", "health_path": "/health", "max_connections": 100}, {"name": "present", "health_path": "/health", "max_connections": 100}}
	write := func(service string) {
		w.writeConfig([]map[string]any{route("book", "/b/", service, "non_idempotent", 800, 100, 1, nil)}, services)
		w.out.say("the store acknowledges version %d: route /b/ goes to service %s", w.version, service)
	}
	for i := range 4 {
		service := services[i%2]["name"].(string)
		r, err := w.startRunner(i, service, 6)
		if err != nil {
			return false, err
		}
		r.SetHandler(func(c net.Conn, q *http.Request, body string) fake.HandlerResult {
			r.RecordRun(q, body)
			w.out.printf("runner %s of service %s runs %s", r.ID, service, q.Header.Get("Attempt-Id"))
			time.Sleep(10 * time.Millisecond)
			r.WriteHead(c, q, http.StatusOK, fmt.Sprintf("Content-Length: %d", len(service)))
			fmt.Fprint(c, service)
			return fake.KeepOpen
		})
	}
	serviceAt := func(r *router) string {
		c := &client{router: r, out: w.out}
		defer c.drop()
		done := c.do(request{method: http.MethodPost, path: "/b/x", body: "book", patience: 1500 * time.Millisecond}, nil)
		if !done.complete || done.status != http.StatusOK {
			return fmt.Sprint("status ", done.status)
		}
		return done.body
	}
	for play := range rollbackPlays {
		w.out.say("play %d", play+1)
		write("former")
		for i := range 4 {
			if _, err := w.startRouter(10*play+i, 8); err != nil {
				return false, err
			}
		}
		if err := w.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
		time.Sleep(3500 * time.Millisecond)
		// The first in rank reads the store; the next one does if the first is silent.
		ranked := slices.Clone(w.routers)
		slices.SortFunc(ranked, func(a, b *router) int { return cmp.Compare(xxh3.HashString(a.name), xxh3.HashString(b.name)) })
		reader, next := ranked[0], ranked[1]
		var began time.Time
		select {
		case began = <-seen.follow(reader.ip):
		case <-time.After(3 * time.Second):
			return false, fmt.Errorf("%s doesn't read the store", reader.name)
		}
		time.Sleep(time.Until(began.Add(watchEndsIn)))
		if trouble {
			w.out.say("%s, which reads the store, stands still", reader.name)
			reader.signal(syscall.SIGSTOP)
		}
		stopped := time.Now()
		time.Sleep(150 * time.Millisecond)
		lists := seen.listsBy(next.ip)
		write("present")
		for seen.listsBy(next.ip) == lists && time.Since(stopped) < 1500*time.Millisecond && trouble {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Until(stopped.Add(500 * time.Millisecond)))
		time.Sleep(40 * time.Millisecond)
		write("former")
		rolledBack := time.Now()
		if trouble {
			reader.signal(syscall.SIGCONT)
			w.out.say("%s goes on, after %v", reader.name, time.Since(stopped).Round(time.Millisecond))
		}
		time.Sleep(time.Until(rolledBack.Add(configBound + 2*time.Second)))
		stale := 0
		for _, r := range w.routers {
			if r == reader {
				continue
			}
			for range 3 {
				if service := serviceAt(r); service != "former" {
					stale++
					w.out.say("%s, which was not disturbed, sends to service %s %v after version %d was acknowledged", r.name, service, time.Since(rolledBack).Round(100*time.Millisecond), w.version)
				}
			}
		}
		w.out.say("%d of 9 requests were handled as only the version before allows", stale)
		if stale > 0 {
			time.Sleep(10 * time.Second)
			for _, r := range w.routers {
				w.out.say("10 s later: %s sends to service %s", r.name, serviceAt(r))
			}
			return true, nil
		}
		w.endRouters()
	}
	return false, nil
}
