package rig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Trouble reports whether the case is to bring about its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Rig is a small deployment: the platform's store behind a Link, runners and routers.
type Rig struct {
	Record  *Record
	Store   *fake.Store
	Link    *Link
	Routers []*Router
	Runners []*Runner

	dir    string
	subnet string // first three numbers of the addresses
	server *http.Server
	closed atomic.Bool // no process is started any more
}

// New starts the store, and prepares so many routers. The record is written to the file that the command
// line names.
func New(routers int) (*Rig, error) {
	if len(os.Args) != 2 {
		return nil, errors.New("the path of the record is missing")
	}
	record, err := OpenRecord(os.Args[1])
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &Rig{Record: record, Store: fake.NewStore(), dir: dir}
	r.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	l, err := net.Listen("tcp", r.subnet+".250:0")
	if err != nil {
		return nil, err
	}
	r.server = &http.Server{Handler: r.Store, ReadHeaderTimeout: time.Second}
	go func() { _ = r.server.Serve(l) }()
	if r.Link, err = NewLink(r.subnet+".251:0", l.Addr().String()); err != nil {
		return nil, err
	}
	for i := range routers {
		n, err := r.newRouter(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("%s.%d", r.subnet, i+1))
		if err != nil {
			return nil, err
		}
		r.Routers = append(r.Routers, n)
	}
	go r.endEarly()
	return r, nil
}

// maxDuration ends a case that hangs, before the limit of 120 s.
const maxDuration = 115 * time.Second

// endEarly ends all processes when the case is stopped from outside or lasts too long.
func (r *Rig) endEarly() {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-stopped:
	case <-time.After(maxDuration):
	}
	r.Close()
	fmt.Fprintln(os.Stderr, "the case could not run to its end")
	os.Exit(CannotRun)
}

// StartRouters starts all routers and waits until they are ready.
func (r *Rig) StartRouters() error {
	for _, n := range r.Routers {
		if err := n.Start(); err != nil {
			return err
		}
	}
	for _, n := range r.Routers {
		if err := r.awaitReady(n); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) awaitReady(n *Router) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.IsReady() {
			r.Record.Line("%s is ready", n.Name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.Name)
}

// Configure writes a configuration, as the operator does.
func (r *Rig) Configure(spec map[string]any) {
	r.Store.Put("config", "main", spec)
	r.Record.Line("operator: version %v of the configuration is acknowledged", spec["version"])
}

// Close ends all processes and stand-ins, and removes the temporary folder.
func (r *Rig) Close() {
	r.closed.Store(true)
	for _, n := range r.Routers {
		n.Kill()
		_ = n.log.Close()
	}
	for _, v := range r.Runners {
		v.Stop()
	}
	r.Link.Close()
	_ = r.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
	r.Record.Close()
}

// Fail reports why a case could not run, and returns its exit code.
func Fail(err error) int {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return CannotRun
}
