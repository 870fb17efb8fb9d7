package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

const (
	drainBound  = 2 * time.Second         // drain_ms
	writeWait   = time.Second             // for which a runner waits for the answer to a write
	cutFor      = 3 * time.Second         // under three heartbeats
	lateBy      = 2600 * time.Millisecond // from the end of the cut to when the bytes that it held arrive
	leavesAfter = 3 * time.Second         // from when the store has accepted draining to the runner's end
	commitWork  = 400 * time.Millisecond
)

// link is a runner's way to the store. While it is cut, bytes on open connections are held back, as a sender's kernel
// does that sends them again later, and new connections lead nowhere.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	isCut    bool
	resume   chan struct{} // closed when held bytes go on
}

func newLink(addr, target string) (*link, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	out := &link{listener: l, target: target, resume: make(chan struct{})}
	go out.serve()
	return out, nil
}

func (l *link) serve() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(c)
	}
}

func (l *link) forward(c net.Conn) {
	defer c.Close()
	if l.cut() {
		_, _ = io.Copy(io.Discard, c) // an open that was never answered: nothing was sent
		return
	}
	s, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer s.Close()
	go func() { _, _ = io.Copy(c, s) }()
	piece := make([]byte, 16<<10)
	for {
		n, err := c.Read(piece)
		if n > 0 && l.cut() {
			<-l.resume
		}
		if n > 0 {
			if _, err := s.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			time.Sleep(200 * time.Millisecond) // for the answer to what was sent last
			return
		}
	}
}

func (l *link) cut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCut
}

func (l *link) setCut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
}

// remoteRunner writes its entry over a link, by calls of the store.
type remoteRunner struct {
	*runner
	link   *link
	client *http.Client
}

// write writes the entry, as it is now, and reports whether the store has acknowledged it.
func (r *remoteRunner) write() bool {
	entry := r.entry()
	body, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": r.ID}, "spec": entry})
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(r.world.ctx, writeWait)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.link.listener.Addr().String()+"/v1/objects/servers/"+r.ID, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := r.client.Do(q)
	if err != nil {
		r.world.out.printf("runner %s: write %v (%v) was not answered", r.ID, entry["sequence"], entry["state"])
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	r.world.out.printf("runner %s: write %v (%v) was answered %d", r.ID, entry["sequence"], entry["state"], resp.StatusCode)
	return resp.StatusCode == http.StatusOK
}

// playLate cuts a runner from the store for a moment. One of its writes is done seconds later, after it has said that
// it leaves.
func playLate(w *world, trouble bool) (bool, error) {
	w.writeConfig([]map[string]any{route("commit", "/b/", "desk", "non_idempotent", 800, 600, 1, nil)},
		[]map[string]any{{"name": "desk", "health_path": "/health", "max_connections": 100}})
	var ended sync.Map // ids of runners that have ended
	var runners []*runner
	for i := range 5 {
		r, err := w.startRunner(i, "desk", 6)
		if err != nil {
			return false, err
		}
		r.SetHandler(func(c net.Conn, q *http.Request, body string) fake.HandlerResult {
			id := q.Header.Get("Attempt-Id")
			r.RecordRun(q, body)
			w.out.printf("runner %s runs %s", r.ID, id)
			for began := time.Now(); time.Since(began) < commitWork; time.Sleep(10 * time.Millisecond) {
				if _, has := ended.Load(r.ID); has {
					w.out.printf("runner %s ends while it runs %s", r.ID, id)
					return fake.CloseConn
				}
			}
			r.WriteHead(c, q, http.StatusOK, "Content-Length: 4")
			fmt.Fprint(c, "done")
			return fake.KeepOpen
		})
		runners = append(runners, r)
	}
	l, err := newLink(w.network+".3:0", w.address)
	if err != nil {
		return false, err
	}
	defer l.listener.Close()
	leaving := &remoteRunner{runner: runners[0], link: l, client: &http.Client{Transport: &http.Transport{MaxIdleConns: 1}}}
	leaving.stopBeats()
	for i := range 2 {
		if _, err := w.startRouter(i, 8); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	burst := func(n int, apart time.Duration) []*call {
		calls := make([]*call, n)
		var done sync.WaitGroup
		for i := range calls {
			c := &client{router: w.routers[i%len(w.routers)], out: w.out}
			done.Go(func() {
				time.Sleep(time.Duration(i) * apart)
				calls[i] = c.do(request{method: http.MethodPost, path: fmt.Sprintf("/b/%d", i), body: "commit", patience: 1500 * time.Millisecond}, nil)
			})
		}
		done.Wait()
		return calls
	}
	beats := func(n int) {
		for range n {
			leaving.write()
			time.Sleep(heartbeat)
		}
	}
	beats(4)
	burst(20, 0)
	if trouble {
		w.out.say("runner %s is cut from the store", leaving.ID)
		l.setCut(true)
	}
	cutAt := time.Now()
	leaving.write()
	time.Sleep(time.Until(cutAt.Add(heartbeat)))
	leaving.write()
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	if trouble {
		w.out.say("the cut has ended; what it held arrives %v later", lateBy)
		l.setCut(false)
		time.AfterFunc(lateBy, func() { close(l.resume) })
	}
	leaving.mu.Lock()
	leaving.state = "draining"
	leaving.mu.Unlock()
	leaving.SetExtraHeaders("Server-Leaving: 1")
	if !leaving.write() {
		return false, fmt.Errorf("the store has not acknowledged that the runner leaves")
	}
	acknowledged := time.Now()
	w.out.say("the store has acknowledged that runner %s is draining", leaving.ID)
	time.AfterFunc(leavesAfter, func() {
		w.out.say("runner %s ends", leaving.ID)
		_ = leaving.Close()
		ended.Store(leaving.ID, true)
		w.store.Remove("servers", leaving.ID)
	})
	go func() {
		for time.Sleep(heartbeat); time.Since(acknowledged) < leavesAfter; time.Sleep(heartbeat) {
			leaving.write()
		}
	}()
	time.Sleep(time.Until(cutAt.Add(cutFor + lateBy + 150*time.Millisecond)))
	calls := burst(20, 15*time.Millisecond)
	time.Sleep(time.Second)
	late := 0
	for _, a := range leaving.Arrivals() {
		if a.At.After(acknowledged.Add(drainBound)) {
			late++
			w.out.say("%s reached runner %s %v after the store acknowledged that it is draining", a.ID, leaving.ID, a.At.Sub(acknowledged).Round(time.Millisecond))
		}
	}
	failed := 0
	for _, c := range calls {
		if c.status != http.StatusOK || !c.complete {
			failed++
		}
	}
	w.out.say("%d of %d requests reached the runner later than %v after that; %d were not answered with success", late, len(calls), drainBound, failed)
	return late > 0, nil
}
