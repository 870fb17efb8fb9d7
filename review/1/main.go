// Case 1: operators take away all API keys, and routers then run the requests of anybody.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/review/rig"
)

const (
	service     = "desk-api"
	keyOne      = "n2ctnfzs989anu6wsjnb"
	keyTwo      = "anfqasnmgkcuyj8pjbvk"
	neverHeld   = "zzzz9f0k2m4x7q1w8e3r" // in no configuration
	configApply = 2 * time.Second        // config_apply_ms
	sendMargin  = time.Second            // beyond config_apply_ms
	deadline    = 1500 * time.Millisecond
)

// configuration is like the one that `fleetbench wire` prints: one tenant, with these keys.
func configuration(version int, keys ...string) map[string]any {
	if keys == nil {
		keys = []string{}
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-pay", "host": rig.Host, "path_prefix": "/pay/", "service": service, "kind": "non_idempotent", "timeout_ms": 800, "target_latency_ms": 100, "max_attempts": 1, "priority": 2, "anonymous": false},
			{"name": "r-code", "host": rig.Host, "path_prefix": "/code/", "service": service, "kind": "idempotent", "timeout_ms": 800, "target_latency_ms": 100, "max_attempts": 2, "priority": 2, "anonymous": false},
		},
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "hule930", "api_keys": keys, "priority": 1}},
	}
}

// runs is what the runners have run, by the id of the client's attempt.
type runs struct {
	mu  sync.Mutex
	byA map[string]rig.Run
}

func (r *runs) handle(p *rig.Process, w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	id := req.Header.Get("Attempt-Id")
	r.byA[id] = rig.Run{ID: id, Tenant: req.Header.Get("Tenant"), Runner: p.Runner.ID, At: time.Now()}
	r.mu.Unlock()
	time.Sleep(15 * time.Millisecond)
	_, _ = fmt.Fprintf(w, "done by %s for %s", p.Runner.ID, id)
}

func (r *runs) of(id string) (rig.Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run, ok := r.byA[id]
	return run, ok
}

// sendAll sends requests with each of the keys to all routers for a time, and returns them.
func sendAll(g *rig.Rig, d time.Duration, keys ...string) []*rig.Attempt {
	var out []*rig.Attempt
	var done sync.WaitGroup
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		for _, key := range keys {
			a := rig.NewAttempt(http.MethodPost, "/pay/2f", key, deadline)
			a.Body = []byte("hold 100")
			if n%2 == 1 {
				a.Method, a.Path, a.Body = http.MethodGet, "/code/2f", nil
			}
			out = append(out, a)
			done.Go(func() { a.Send(g.Routers[n%len(g.Routers)]) })
		}
		time.Sleep(100 * time.Millisecond)
	}
	done.Wait()
	return out
}

// report writes what became of attempts, and returns how many have run.
func report(g *rig.Rig, r *runs, what string, attempts []*rig.Attempt) map[string]int {
	ran := make(map[string]int)
	answered := make(map[string]int)
	for _, a := range attempts {
		run, ok := r.of(a.ID)
		text := "not run"
		if ok {
			ran[a.Key]++
			text = fmt.Sprintf("RAN at %s, Tenant %q", run.Runner, run.Tenant)
		}
		answered[fmt.Sprintf("key %q: status %d", a.Key, a.Status)]++
		g.Record.Line("%s: %s %s %s key %q: status %d, error %v, %s", what, a.ID, a.Method, a.Path, a.Key, a.Status, a.Err, text)
	}
	fmt.Println(what, answered, "ran, by key:", ran)
	return ran
}

func play() int {
	g, err := rig.New(2)
	if err != nil {
		return rig.Fail(err)
	}
	defer g.Close()
	seen := &runs{byA: make(map[string]rig.Run)}
	for i := range 3 {
		if _, err := g.NewRunner(fmt.Sprintf("i-%d", i+1), service, "v1", seen.handle); err != nil {
			return rig.Fail(err)
		}
	}
	g.Configure(configuration(7, keyOne, keyTwo))
	if err := g.StartRouters(); err != nil {
		return rig.Fail(err)
	}
	time.Sleep(4 * time.Second) // in touch: stable_ms after the start
	before := report(g, seen, "before", sendAll(g, 3*time.Second, keyOne, keyTwo, neverHeld, ""))
	if before[keyOne] == 0 || before[keyTwo] == 0 {
		return rig.Fail(fmt.Errorf("the tenant is not served: %v", before))
	}
	if before[neverHeld]+before[""] > 0 {
		fmt.Println("BROKEN before the disruption:", before)
		return rig.Broken
	}
	if rig.Trouble() { // revoke, count 2, gap_s 0.4
		g.Configure(configuration(9, keyTwo))
		time.Sleep(400 * time.Millisecond)
		g.Configure(configuration(12))
	}
	time.Sleep(configApply + sendMargin)
	after := report(g, seen, "after", sendAll(g, 5*time.Second, keyOne, keyTwo, neverHeld, ""))
	wrong := after[neverHeld] + after[""]
	if rig.Trouble() {
		wrong += after[keyOne] + after[keyTwo]
	}
	g.Record.Line("requests that ran though no configuration in force allows it: %d", wrong)
	if wrong > 0 {
		fmt.Println("BROKEN:", wrong, "requests ran though no configuration in force allows it")
		return rig.Broken
	}
	fmt.Println("held")
	return rig.Held
}

func main() { os.Exit(play()) }
