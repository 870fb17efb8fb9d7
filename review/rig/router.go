package rig

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The command of deploy/system.toml.
const (
	program     = "target/parsleyd"
	arguments   = "entry --log-format json --metrics-port 9464"
	metricsPort = "9464"
)

// Router is a router of the deployment: one process after the other on the same machine.
type Router struct {
	Name, Front, Ready string
	MemoryMB           int

	rig      *Rig
	settings string
	log      *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// settingsText is the settings file of a front machine of the small deployment nest-ktm (DEPLOY.md).
const settingsText = `node: %q
role: "entry"
machine_class: "front"
serves:
  - "front"
ip: %q
zone: "ktm-thamel"
region: "ktm"
zones:
  ktm-thamel: "ktm"
  ktm-patan: "ktm"
  ktm-baneshwor: "ktm"
listen:
  front: %q
  ready: %q
internal_ports:
  - %s
  - %s
seed_nodes: []
bootstrap: true
fault_counted: false
limits:
  cpu_share: 0.304
  cores: 1
  memory_mb: 284
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
fault_tolerance: {machines: 1, zones: 0, regions: 0}
bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  stable_ms: 3000
  ack_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_s: 8
  loss_slack_ms: 200
  config_apply_ms: 2000
  downgrade_slack_ms: 250
  outer_ms: 5000
  strict_revoke: false
  revoke_ms: 5000
  retry_ratio: 0.2
  budget_window_s: 10
  retry_slack: 54
  recover_s: 12
  pass_ms: 120
  reuse_window_s: 10
  cap_factor: 2
platform:
  address: %q
  form: "objects"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
`

// newRouter writes the settings file of a router at an IP address.
func (r *Rig) newRouter(name, ip string) (*Router, error) {
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	n := &Router{Name: name, rig: r, MemoryMB: 284, Front: net.JoinHostPort(ip, ports[0]), Ready: net.JoinHostPort(ip, ports[1])}
	n.settings = filepath.Join(r.dir, name+".yaml")
	text := fmt.Sprintf(settingsText, name, ip, n.Front, n.Ready, ports[2], ports[3], r.Link.Addr())
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(r.dir, name+".log"))
	return n, err
}

// Start starts a process of the router.
func (n *Router) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rig.closed.Load() {
		return errors.New("the case is over")
	}
	cmd := exec.Command(program, strings.Fields(arguments)...)
	cmd.Env = []string{"PARSLEYFRONT_BOOT=" + n.settings}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		cmd.Env = append(cmd.Env, name+"="+os.Getenv(name))
	}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	n.rig.Record.Line("%s: process %d started", n.Name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.rig.Record.Line("%s: process %d ended: %v", n.Name, cmd.Process.Pid, err)
		close(exited)
	}()
	return nil
}

// Pid returns the id of the present process.
func (n *Router) Pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

// Exited returns a channel that is closed when the present process has ended.
func (n *Router) Exited() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exited
}

// Kill ends the present process and waits for its end.
func (n *Router) Kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// IsReady asks the router as the platform does.
func (n *Router) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.Ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freePorts returns ports that are free at an address, and checks that the metrics port is.
func freePorts(ip string, n int) ([]string, error) {
	var out []string
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	m, err := net.Listen("tcp", net.JoinHostPort(ip, metricsPort))
	if err != nil {
		return nil, err
	}
	open = append(open, m)
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		_, port, _ := net.SplitHostPort(l.Addr().String())
		out = append(out, port)
	}
	return out, nil
}
