package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

const (
	pauseSlots    = 4 // requests that an engine runs at once
	pauseQueue    = 2 // and that wait there
	chatEvents    = 300
	chatInterval  = 40 * time.Millisecond
	chatTimeout   = 25 * time.Second
	chatGapAim    = 400 * time.Millisecond // the longest pause for which an answer is on time
	preemptedFor  = 340 * time.Millisecond // with chatInterval it is shorter than chatGapAim
	configApplied = 2 * time.Second
)

// engine runs pauseSlots streams at once, keeps pauseQueue more waiting and rejects others.
type engine struct {
	*runner
	mu      sync.Mutex
	running int
	waiting int
	pauseAt time.Time // streams stand still from then on for preemptedFor
}

// admit waits for a place, and reports whether there was one.
func (e *engine) admit() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= pauseSlots && e.waiting >= pauseQueue {
		return false
	}
	e.waiting++
	for e.running >= pauseSlots {
		e.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		e.mu.Lock()
	}
	e.waiting--
	e.running++
	return true
}

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *engine) load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.waiting
}

// handle runs a request, or rejects it if the engine is full.
func (e *engine) handle(c net.Conn, q *http.Request, body string) fake.HandlerResult {
	id := q.Header.Get("Attempt-Id")
	if !e.admit() {
		e.world.out.printf("engine %s is full and has not run %s (Last-Event-Id %q)", e.ID, id, q.Header.Get("Last-Event-Id"))
		e.WriteHead(c, q, http.StatusServiceUnavailable, "Not-Executed: 1", fmt.Sprintf("Server-Load: %d,%d,%d", pauseSlots, pauseQueue, pauseSlots), "Content-Length: 0")
		return fake.KeepOpen
	}
	defer e.leave()
	e.RecordRun(q, body)
	e.world.out.printf("engine %s runs %s (Last-Event-Id %q)", e.ID, id, q.Header.Get("Last-Event-Id"))
	running, waiting := e.load()
	e.WriteHead(c, q, http.StatusOK, "Content-Type: text/event-stream", "Transfer-Encoding: chunked", fmt.Sprintf("Server-Load: %d,%d,%d", running-1, waiting, pauseSlots))
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= chatEvents; n++ {
		time.Sleep(chatInterval)
		e.standStill()
		if fake.WriteChunk(c, fake.Event(n)) != nil {
			e.world.out.printf("engine %s: the connection of %s was closed before event %d", e.ID, id, n)
			return fake.CloseConn
		}
	}
	fmt.Fprint(c, "0\r\n\r\n")
	return fake.KeepOpen
}

// standStill waits if the engine's streams are preempted now.
func (e *engine) standStill() {
	e.mu.Lock()
	until := e.pauseAt.Add(preemptedFor)
	begun := !e.pauseAt.IsZero() && !time.Now().Before(e.pauseAt)
	e.mu.Unlock()
	if begun {
		time.Sleep(time.Until(until))
	}
}

// playPause lets the streams of one of two full engines stand still for a moment that is shorter than the pause that
// their route allows.
func playPause(w *world, trouble bool) (bool, error) {
	stream := func(name, prefix string, attempts int, resumable bool) map[string]any {
		return route(name, prefix, "llm", "streaming", int(chatTimeout.Milliseconds()), 400, attempts, map[string]any{"gap_aim_ms": chatGapAim.Milliseconds(), "resumable": resumable, "sticky": true})
	}
	w.writeConfig([]map[string]any{stream("chat", "/c/", 2, true), stream("draft", "/d/", 1, false)},
		[]map[string]any{{"name": "llm", "health_path": "/health", "max_connections": 100, "engine": map[string]any{"slots": pauseSlots, "kv_capacity": 500000}}})
	var engines []*engine
	for i := range 2 {
		r, err := w.startRunner(i, "llm", pauseSlots)
		if err != nil {
			return false, err
		}
		e := &engine{runner: r}
		r.SetHandler(e.handle)
		engines = append(engines, e)
	}
	for i := range 4 {
		if _, err := w.startRouter(i, 8); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	first := w.routers[0]
	w.out.say("SIGHUP to %s, one of %d routers; its settings file is the same", first.name, len(w.routers))
	first.signal(syscall.SIGHUP)
	hup := time.Now()
	// Eight chats and four drafts fill both engines: clients repeat what was turned away, as they may.
	var mu sync.Mutex
	var calls []*call
	var streams sync.WaitGroup
	for i := range 12 {
		path := fmt.Sprintf("/c/%d", i)
		if i >= 2*pauseSlots {
			path = fmt.Sprintf("/d/%d", i)
		}
		streams.Go(func() {
			for time.Since(hup) < configApplied {
				c := &client{router: first, out: w.out}
				done := c.do(request{method: http.MethodPost, path: path, body: "chat", patience: chatTimeout,
					header: map[string]string{"Model": "m", "Token-Usage": "1460,80", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,91bd3f0%x:410,e4402b7%x:250", i, i)}}, nil)
				mu.Lock()
				calls = append(calls, done)
				mu.Unlock()
				if done.status != http.StatusServiceUnavailable {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(time.Until(hup.Add(configApplied)) + time.Second)
	for _, e := range engines {
		running, waiting := e.load()
		w.out.say("engine %s runs %d and has %d waiting", e.ID, running, waiting)
	}
	for _, e := range engines {
		if trouble {
			w.out.say("the streams of engine %s stand still for %v", e.ID, preemptedFor)
			e.mu.Lock()
			e.pauseAt = time.Now()
			e.mu.Unlock()
		}
		time.Sleep(time.Second)
	}
	streams.Wait()
	cut := 0
	for _, c := range calls {
		if c.status == http.StatusOK && !c.complete && !c.ended.IsZero() && c.sent.Sub(hup) < configApplied {
			cut++
			w.out.say("%s", c)
		}
	}
	whole := 0
	for _, c := range calls {
		if c.complete && c.status == http.StatusOK && strings.HasSuffix(c.body, fake.Event(chatEvents)) {
			whole++
		}
	}
	w.out.say("%d streams were sent within %v of the SIGHUP and were whole, %d were cut though their engine was at work on them", whole, configApplied, cut)
	return cut > 0, nil
}
