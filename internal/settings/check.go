package settings

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/token"
)

// Limits of the values of settings.
const (
	minReloadInterval = 50 * time.Millisecond
	maxReloadInterval = time.Minute
	maxDelay          = time.Hour
	maxStopTimeout    = 24 * time.Hour

	maxPort   = 1<<16 - 1
	maxWeight = 255 // the largest that fits into a load sample
	maxSlots  = 1 << 16
	minKeys   = 1 << 10
	maxKeys   = 1 << 22

	// minAnswerBytes is enough for a router that has lost its connection to fetch again
	// what was in transit.
	minAnswerBytes = 64 << 10
	maxAnswerBytes = 1 << 30
	maxBufferBytes = 1 << 40
)

// ValidationErrors lists all errors of a command line and its environment.
type ValidationErrors []string

// Error implements error, with one error a line.
func (m ValidationErrors) Error() string {
	return "mistakes in the settings:\n  " + strings.Join(m, "\n  ")
}

func (m *ValidationErrors) add(flag, format string, args ...any) {
	*m = append(*m, "--"+flag+": "+fmt.Sprintf(format, args...))
}

func (m *ValidationErrors) required(flag, value string) {
	if value == "" {
		m.add(flag, "is required")
	}
}

func (m *ValidationErrors) address(flag, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		m.add(flag, "want an address such as 10.0.0.2:8080, have %q", value)
	}
}

func (m *ValidationErrors) optionalAddress(flag, value string) {
	if value != "" {
		m.address(flag, value)
	}
}

func (m *ValidationErrors) oneOf(flag, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	m.add(flag, "want one of %s, have %q", strings.Join(allowed, ", "), value)
}

func (m *ValidationErrors) duration(flag string, v Duration, low, high time.Duration) {
	if v.err == nil && (v.D < low || v.D > high) {
		m.add(flag, "want from %s to %s, have %s", low, high, v.D)
	}
}

func (m *ValidationErrors) count(flag string, v Count, low, high int) {
	if v.err == nil && (v.N < low || v.N > high) {
		m.add(flag, "want from %d to %d, have %d", low, high, v.N)
	}
}

// file checks that the file can be opened. An empty path is not checked.
func (m *ValidationErrors) file(flag, path string) {
	if path == "" {
		return
	}
	f, err := os.Open(path)
	if err != nil {
		m.add(flag, "%s", err)
		return
	}
	_ = f.Close()
}

// checker is the settings of a role, which add their errors to m.
type checker interface{ check(m *ValidationErrors) }

func (c Common) check(m *ValidationErrors) {
	m.oneOf("log-format", c.LogFormat, string(telemetry.LogText), string(telemetry.LogJSON))
	if _, err := c.Level(); err != nil {
		m.add("log-level", "want debug, info, warn or error, have %q", c.LogLevel)
	}
	m.duration("stop-timeout", c.StopTimeout, time.Second, maxStopTimeout)
}

// Level returns the minimum level of log lines that are written. It fails if LogLevel is
// not a level.
func (c Common) Level() (slog.Level, error) {
	var l slog.Level
	err := l.UnmarshalText([]byte(c.LogLevel))
	return l, err
}

func (n Node) check(m *ValidationErrors) {
	m.required("vm", n.VM)
	if len(n.VM) > token.MaxVMLen {
		m.add("vm", "is over %d bytes, more than a request key can carry", token.MaxVMLen)
	}
	m.file("admin-token-file", n.AdminTokenFile)
	m.duration("reload-interval", n.ReloadInterval, minReloadInterval, maxReloadInterval)
}

func (f Fleet) check(m *ValidationErrors) {
	givenFiles := 0
	for _, path := range []string{f.Cert, f.Key, f.CA} {
		if path != "" {
			givenFiles++
		}
	}
	switch {
	case f.InsecurePlain.On && givenFiles > 0:
		m.add("insecure-plain", "does not go with --fleet-cert, --fleet-key and --fleet-ca: choose")
	case !f.InsecurePlain.On && givenFiles < 3:
		m.add("fleet-cert", "is required together with --fleet-key and --fleet-ca; on one machine, for development, --insecure-plain does without")
	}
	m.file("fleet-cert", f.Cert)
	m.file("fleet-key", f.Key)
	m.file("fleet-ca", f.CA)
	m.required("trust-domain", f.TrustDomain)
}

func (r Router) check(m *ValidationErrors) {
	r.Common.check(m)
	r.Node.check(m)
	r.Fleet.check(m)
	m.address("listen", r.Listen)
	m.optionalAddress("admin-listen", r.AdminListen)
	if (r.CallerCert == "") != (r.CallerKey == "") {
		m.add("caller-cert", "goes with --caller-key: give both or none")
	}
	m.file("caller-cert", r.CallerCert)
	m.file("caller-key", r.CallerKey)
	m.required("platform", string(r.Platform.URL))
	m.file("platform-ca", r.Platform.CA)
	m.required("token-secrets", r.TokenSecrets)
	m.file("token-secrets", r.TokenSecrets)
	m.duration("drain-delay", r.DrainDelay, 0, maxDelay)
	m.count("max-connections", r.MaxConnections, 1, 1<<20)
	m.duration("lease-ttl", r.LeaseTTL, time.Second, maxDelay)
	m.duration("weight-load-interval", r.WeightLoadInterval, 0, maxDelay)
}

func (s Sidecar) check(m *ValidationErrors) {
	s.Common.check(m)
	s.Node.check(m)
	s.Fleet.check(m)
	m.address("listen", s.Listen)
	m.optionalAddress("admin-listen", s.AdminListen)
	m.required("upstream", string(s.Upstream))
	m.file("platform-ca", s.Platform.CA)
	s.Admission.check(m)
	s.Answers.check(m)
	// Without TLS, anyone who can reach the port can run requests at the upstream.
	if host, _, err := net.SplitHostPort(s.Listen); err == nil && s.InsecurePlain.On && !net.ParseIP(host).IsLoopback() {
		m.add("listen", "with --insecure-plain only a loopback address such as 127.0.0.1:7400, have %q", s.Listen)
	}
}

func (a Admission) check(m *ValidationErrors) {
	m.count("weight", a.Weight, 1, maxWeight)
	m.count("slots", a.Slots, 1, maxSlots)
	m.count("reserve", a.Reserve, 0, a.Slots.N-1)
	m.count("headroom", a.Headroom, 0, maxSlots)
	m.count("max-waiting", a.MaxWaiting, 0, maxSlots)
	m.count("max-waiting-bytes", a.MaxWaitingBytes, minAnswerBytes, maxBufferBytes)
	m.count("keys", a.Keys, minKeys, maxKeys)
}

func (a Answers) check(m *ValidationErrors) {
	m.duration("detach-grace", a.DetachGrace, time.Second, maxDelay)
	m.duration("keep-answer", a.KeepAnswer, time.Second, maxDelay)
	m.count("answer-bytes", a.AnswerBytes, minAnswerBytes, maxAnswerBytes)
	m.count("buffer-bytes", a.BufferBytes, a.AnswerBytes.N, maxBufferBytes)
}

func (e Entry) check(m *ValidationErrors) {
	e.Common.check(m)
	m.count("metrics-port", e.MetricsPort, 0, maxPort)
	m.duration("drain-delay", e.DrainDelay, 0, maxDelay)
}

func (d Dev) check(m *ValidationErrors) {
	d.Common.check(m)
	m.address("listen", d.Listen)
	m.address("admin-listen", d.AdminListen)
	m.count("engines", d.Engines, 1, 100)
	m.required("key", string(d.Key))
}
