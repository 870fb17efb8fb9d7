package rig

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Runner is a runner of a service: one process after the other at the same address.
type Runner struct {
	ID, Addr, Service string
	Handle            func(p *Process, w http.ResponseWriter, req *http.Request)

	rig *Rig

	mu      sync.Mutex
	process *Process
}

// Process is one start of a runner.
type Process struct {
	Runner  *Runner
	Version string // of the software
	Born    int64

	server   *http.Server
	sequence int
}

// Run is a request that a runner has begun to run.
type Run struct {
	ID, Tenant, Runner, Version string
	At                          time.Time
}

// NewRunner starts a runner of a service and writes its entry to the store.
func (r *Rig) NewRunner(id, service, version string, handle func(p *Process, w http.ResponseWriter, req *http.Request)) (*Runner, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", r.subnet, 100+len(r.Runners)))
	if err != nil {
		return nil, err
	}
	v := &Runner{ID: id, Addr: l.Addr().String(), Service: service, Handle: handle, rig: r}
	r.Runners = append(r.Runners, v)
	v.serve(l, version)
	v.WriteEntry("ready")
	return v, nil
}

func (v *Runner) serve(l net.Listener, version string) {
	p := &Process{Runner: v, Version: version, Born: time.Now().UnixMilli()}
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	v.mu.Lock()
	v.process = p
	v.mu.Unlock()
	v.rig.Record.Line("%s: software %s starts at %s", v.ID, version, v.Addr)
	go func() { _ = p.server.Serve(l) }()
}

// WriteEntry writes the runner's entry to the store, with the state.
func (v *Runner) WriteEntry(state string) {
	v.mu.Lock()
	p := v.process
	p.sequence++
	sequence := p.sequence
	v.mu.Unlock()
	v.rig.Store.Put("servers", v.ID, map[string]any{
		"service": v.Service, "address": v.Addr, "zone": "ktm-thamel", "version": p.Version, "slots": 64,
		"state": state, "warmup_left_ms": 0, "sequence": sequence, "born": p.Born,
	})
	v.rig.Record.Line("%s: its entry says %s, software %s", v.ID, state, p.Version)
}

// Stop ends the present process at once: its connections end with it.
func (v *Runner) Stop() {
	v.mu.Lock()
	p := v.process
	v.mu.Unlock()
	_ = p.server.Close()
	v.rig.Record.Line("%s: software %s has ended", v.ID, p.Version)
}

// Restart starts the runner again under its id and address.
func (v *Runner) Restart(version string) error {
	l, err := net.Listen("tcp", v.Addr)
	if err != nil {
		return err
	}
	v.serve(l, version)
	return nil
}

// ServeHTTP implements http.Handler: the checks that all runners make.
func (p *Process) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	h.Set("Attempt-Id", req.Header.Get("Attempt-Id"))
	if req.Header.Get("Target-Instance") != p.Runner.ID {
		h.Set("Instance-Id", p.Runner.ID)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("Response-Signature", p.Runner.ID+"."+req.Header.Get("Attempt-Id"))
	h.Set("Keep-Alive", "timeout=10")
	p.Runner.Handle(p, w, req)
}

// Wait waits for a time or for the end of the request, and reports whether the request goes on.
func Wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
