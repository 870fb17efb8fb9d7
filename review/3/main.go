// Case 3: a faulty runner sends bytes that are not a response; routers keep all of them until they exceed their memory.
package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleyfront/parsleyfront/review/rig"
)

const (
	service     = "parsley-llm"
	key         = "n2ctnfzs989anu6wsjnb"
	deadline    = 12 * time.Second
	events      = 20
	pause       = 50 * time.Millisecond
	clients     = 12
	runners     = 6
	faulty      = 3   // of the runners: garble, share .5
	oneIn       = 20  // of their answers are wrong bytes: garble, x .05
	linkBytes   = 125 // thousands of bytes a millisecond: the 1,000 Mbit/s of a front machine
	length      = 60  // seconds with the disruption
	neededEnds  = 3   // of each of two machines' processes (Fault)
	restartWait = time.Second
)

func configuration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-chat", "host": rig.Host, "path_prefix": "/chat/", "service": service, "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 400, "max_attempts": 2, "priority": 0, "anonymous": false, "sticky": true, "resumable": true, "gap_aim_ms": 400},
		},
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	}
}

// world is the runners' state.
type world struct {
	g       *rig.Rig
	garbles atomic.Bool
	answers atomic.Int64
	sent    atomic.Int64 // wrong answers
}

// handle writes a stream, or with the disruption at times bytes that are no response.
func (w *world) handle(p *rig.Process, rw http.ResponseWriter, req *http.Request) {
	if n, _ := strconv.Atoi(strings.TrimPrefix(p.Runner.ID, "i-")); n <= faulty && w.garbles.Load() && w.answers.Add(1)%oneIn == 0 {
		w.garble(p, rw, req)
		return
	}
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= events; i++ {
		if !rig.Wait(req.Context(), pause) {
			return
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: token-%d\n\n", i, i); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
	}
}

// garble sends bytes without a line end at the pace of the link, until the connection is closed.
func (w *world) garble(p *rig.Process, rw http.ResponseWriter, req *http.Request) {
	c, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	w.sent.Add(1)
	id := req.Header.Get("Attempt-Id")
	total, began := int64(0), time.Now()
	piece := bytes.Repeat([]byte("weights\x00"), linkBytes*1000*10/8) // of 10 ms
	for gone := watch(c); ; {
		n, err := c.Write(piece)
		total += int64(n)
		if err != nil || time.Since(began) > deadline {
			break
		}
		select {
		case <-gone: // the router has closed its side: nothing more is asked for
			w.g.Record.Line("%s: answered %s with wrong bytes; its router closed its side after %v and %d bytes", p.Runner.ID, id, time.Since(began), total)
			gone = nil
		default:
		}
		time.Sleep(time.Until(began.Add(time.Duration(total/(linkBytes*1000)) * time.Millisecond)))
	}
	w.g.Record.Line("%s: answered %s with %d wrong bytes in %v", p.Runner.ID, id, total, time.Since(began))
}

// watch returns a channel that is closed when the other side has closed the connection, or its half.
func watch(c net.Conn) chan struct{} {
	gone := make(chan struct{})
	go func() {
		var b [1]byte
		_, _ = c.Read(b[:])
		close(gone)
	}()
	return gone
}

// residentMB returns the memory of a process that the platform sees.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// watchMemory does what the platform does: it kills a process that exceeds its memory, and starts it again.
func watchMemory(g *rig.Rig, n *rig.Router, stop <-chan struct{}, ends *atomic.Int64, peak *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-n.Exited():
			ends.Add(1)
			g.Record.Line("%s has ended by itself", n.Name)
		case <-time.After(10 * time.Millisecond):
			mb := residentMB(n.Pid())
			peak.Store(max(peak.Load(), int64(mb)))
			if mb <= n.MemoryMB {
				continue
			}
			ends.Add(1)
			g.Record.Line("%s: its process takes %d MB, over memory_mb %d: the platform kills it (%d)", n.Name, mb, n.MemoryMB, ends.Load())
			n.Kill()
		}
		time.Sleep(restartWait)
		if err := n.Start(); err != nil {
			g.Record.Line("%s: %v", n.Name, err)
			return
		}
	}
}

func play() int {
	g, err := rig.New(2)
	if err != nil {
		return rig.Fail(err)
	}
	defer g.Close()
	w := &world{g: g}
	for i := range runners {
		if _, err := g.NewRunner(fmt.Sprintf("i-%d", i+1), service, "v1", w.handle); err != nil {
			return rig.Fail(err)
		}
	}
	g.Configure(configuration())
	if err := g.StartRouters(); err != nil {
		return rig.Fail(err)
	}
	stop := make(chan struct{})
	var whole, cut atomic.Int64
	var all sync.WaitGroup
	ends, peaks := make([]atomic.Int64, len(g.Routers)), make([]atomic.Int64, len(g.Routers))
	for i, n := range g.Routers {
		all.Go(func() { watchMemory(g, n, stop, &ends[i], &peaks[i]) })
	}
	for i := range clients * len(g.Routers) {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				a := rig.NewAttempt(http.MethodPost, "/chat/2f", key, deadline)
				a.Body = fmt.Appendf(nil, "chat %d of %d", n, i)
				a.Header = map[string]string{"Model": "m", "Token-Usage": "700,240", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:119,%08x:580,%08x:130", i, n<<8+i)}
				a.Send(g.Routers[i%len(g.Routers)])
				g.Record.Line("client: %s to %s: status %d, error %v, %d bytes", a.ID, g.Routers[i%len(g.Routers)].Name, a.Status, a.Err, len(a.Answer))
				if a.Status == http.StatusOK && a.Err == nil {
					whole.Add(1)
				} else {
					cut.Add(1)
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	w.garbles.Store(rig.Trouble())
	time.Sleep(length * time.Second)
	close(stop)
	all.Wait()
	machines := 0
	text := fmt.Sprintf("streams: %d whole, %d not; wrong answers of runners: %d;", whole.Load(), cut.Load(), w.sent.Load())
	for i, n := range g.Routers {
		text += fmt.Sprintf(" %s: peak %d MB, ended %d times;", n.Name, peaks[i].Load(), ends[i].Load())
		if ends[i].Load() >= neededEnds {
			machines++
		}
	}
	g.Record.Line("%s", text)
	fmt.Println(text)
	switch {
	case machines >= 2:
		fmt.Println("BROKEN")
		return rig.Broken
	case whole.Load() < clients:
		return rig.Fail(fmt.Errorf("too few streams"))
	}
	fmt.Println("held")
	return rig.Held
}

func main() { os.Exit(play()) }
