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
	maxDelay          = time.Hour // of --drain-delay, --lease-ttl and other durations without a limit of their own
	maxStopTimeout    = 24 * time.Hour

	maxPort   = 1<<16 - 1
	maxWeight = 255 // the largest that fits into a load sample
	maxSlots  = 1 << 16
	minKeys   = 1 << 10
	maxKeys   = 1 << 22

	// Limits of buffers for responses and waiting requests, in bytes. minAnswerBytes is
	// enough to keep the part of a response that was in transit when a router lost its
	// connection, so that the router can fetch it again.
	minAnswerBytes = 64 << 10
	maxAnswerBytes = 1 << 30
	maxBufferBytes = 1 << 40
)

// ValidationErrors lists all errors of a command line and its environment.
type ValidationErrors []string

// Error implements error, with one error a line.
func (errs ValidationErrors) Error() string {
	return "mistakes in the settings:\n  " + strings.Join(errs, "\n  ")
}

// add appends an error about the value of flag.
func (errs *ValidationErrors) add(flag, format string, args ...any) {
	*errs = append(*errs, "--"+flag+": "+fmt.Sprintf(format, args...))
}

// required adds an error if value is empty.
func (errs *ValidationErrors) required(flag, value string) {
	if value == "" {
		errs.add(flag, "is required")
	}
}

// address adds an error if value is not of the form host:port.
func (errs *ValidationErrors) address(flag, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		errs.add(flag, "want an address such as 10.0.0.2:8080, have %q", value)
	}
}

func (errs *ValidationErrors) optionalAddress(flag, value string) {
	if value != "" {
		errs.address(flag, value)
	}
}

func (errs *ValidationErrors) oneOf(flag, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	errs.add(flag, "want one of %s, have %q", strings.Join(allowed, ", "), value)
}

// duration adds an error if v is not within low and high, inclusive. It skips a value whose
// text is invalid, since Parse has already reported it.
func (errs *ValidationErrors) duration(flag string, v Duration, low, high time.Duration) {
	if v.err == nil && (v.D < low || v.D > high) {
		errs.add(flag, "want from %s to %s, have %s", low, high, v.D)
	}
}

// count adds an error if v is not within low and high, inclusive. It skips a value whose
// text is invalid, since Parse has already reported it.
func (errs *ValidationErrors) count(flag string, v Count, low, high int) {
	if v.err == nil && (v.N < low || v.N > high) {
		errs.add(flag, "want from %d to %d, have %d", low, high, v.N)
	}
}

// file adds an error if the file at path cannot be opened. It skips an empty path.
func (errs *ValidationErrors) file(flag, path string) {
	if path == "" {
		return
	}
	f, err := os.Open(path)
	if err != nil {
		errs.add(flag, "%s", err)
		return
	}
	_ = f.Close()
}

// checker is implemented by the settings of each role. check adds an error to errs for each
// invalid value.
type checker interface{ check(errs *ValidationErrors) }

func (c Common) check(errs *ValidationErrors) {
	errs.oneOf("log-format", c.LogFormat, string(telemetry.LogText), string(telemetry.LogJSON))
	if _, err := c.Level(); err != nil {
		errs.add("log-level", "want debug, info, warn or error, have %q", c.LogLevel)
	}
	errs.duration("stop-timeout", c.StopTimeout, time.Second, maxStopTimeout)
}

// Level returns the minimum level of log lines that are written. It fails if LogLevel is
// not a level.
func (c Common) Level() (slog.Level, error) {
	var l slog.Level
	err := l.UnmarshalText([]byte(c.LogLevel))
	return l, err
}

func (n Node) check(errs *ValidationErrors) {
	errs.required("vm", n.VM)
	if len(n.VM) > token.MaxVMLen {
		errs.add("vm", "is over %d bytes, more than a request key can carry", token.MaxVMLen)
	}
	errs.file("admin-token-file", n.AdminTokenFile)
	errs.duration("reload-interval", n.ReloadInterval, minReloadInterval, maxReloadInterval)
}

func (f Fleet) check(errs *ValidationErrors) {
	givenFiles := 0
	for _, path := range []string{f.Cert, f.Key, f.CA} {
		if path != "" {
			givenFiles++
		}
	}
	switch {
	case f.InsecurePlain.On && givenFiles > 0:
		errs.add("insecure-plain", "does not go with --fleet-cert, --fleet-key and --fleet-ca: choose")
	case !f.InsecurePlain.On && givenFiles < 3:
		errs.add("fleet-cert", "is required together with --fleet-key and --fleet-ca; on one machine, for development, --insecure-plain does without")
	}
	errs.file("fleet-cert", f.Cert)
	errs.file("fleet-key", f.Key)
	errs.file("fleet-ca", f.CA)
	errs.required("trust-domain", f.TrustDomain)
}

func (r Router) check(errs *ValidationErrors) {
	r.Common.check(errs)
	r.Node.check(errs)
	r.Fleet.check(errs)
	errs.address("listen", r.Listen)
	errs.optionalAddress("admin-listen", r.AdminListen)
	if (r.CallerCert == "") != (r.CallerKey == "") {
		errs.add("caller-cert", "goes with --caller-key: give both or none")
	}
	errs.file("caller-cert", r.CallerCert)
	errs.file("caller-key", r.CallerKey)
	errs.required("platform", string(r.Platform.URL))
	errs.file("platform-ca", r.Platform.CA)
	errs.required("token-secrets", r.TokenSecrets)
	errs.file("token-secrets", r.TokenSecrets)
	errs.duration("drain-delay", r.DrainDelay, 0, maxDelay)
	errs.count("max-connections", r.MaxConnections, 1, 1<<20)
	errs.count("max-caller-bytes", r.MaxCallerBytes, 1<<20, 1<<40)
	errs.duration("lease-ttl", r.LeaseTTL, time.Second, maxDelay)
	errs.duration("weight-load-interval", r.WeightLoadInterval, 0, maxDelay)
}

func (s Sidecar) check(errs *ValidationErrors) {
	s.Common.check(errs)
	s.Node.check(errs)
	s.Fleet.check(errs)
	errs.address("listen", s.Listen)
	errs.optionalAddress("admin-listen", s.AdminListen)
	errs.required("upstream", string(s.Upstream))
	errs.file("platform-ca", s.Platform.CA)
	s.Admission.check(errs)
	s.Answers.check(errs)
	// Without TLS, anyone who can reach the port can run requests at the upstream.
	if host, _, err := net.SplitHostPort(s.Listen); err == nil && s.InsecurePlain.On && !net.ParseIP(host).IsLoopback() {
		errs.add("listen", "with --insecure-plain only a loopback address such as 127.0.0.1:7400, have %q", s.Listen)
	}
}

func (a Admission) check(errs *ValidationErrors) {
	errs.count("weight", a.Weight, 1, maxWeight)
	errs.count("slots", a.Slots, 1, maxSlots)
	errs.count("reserve", a.Reserve, 0, a.Slots.N-1)
	errs.count("headroom", a.Headroom, 0, maxSlots)
	errs.count("max-waiting", a.MaxWaiting, 0, maxSlots)
	errs.count("max-waiting-bytes", a.MaxWaitingBytes, minAnswerBytes, maxBufferBytes)
	errs.count("keys", a.Keys, minKeys, maxKeys)
}

func (a Answers) check(errs *ValidationErrors) {
	errs.duration("detach-grace", a.DetachGrace, time.Second, maxDelay)
	errs.duration("keep-answer", a.KeepAnswer, time.Second, maxDelay)
	errs.count("answer-bytes", a.AnswerBytes, minAnswerBytes, maxAnswerBytes)
	errs.count("buffer-bytes", a.BufferBytes, a.AnswerBytes.N, maxBufferBytes)
}

func (e Entry) check(errs *ValidationErrors) {
	e.Common.check(errs)
	errs.count("metrics-port", e.MetricsPort, 0, maxPort)
	errs.duration("drain-delay", e.DrainDelay, 0, maxDelay)
	errs.oneOf("share-pools", string(e.SharePools), string(SharePoolsAuto), string(SharePoolsOn), string(SharePoolsOff))
}

func (d Dev) check(errs *ValidationErrors) {
	d.Common.check(errs)
	errs.address("listen", d.Listen)
	errs.address("admin-listen", d.AdminListen)
	errs.count("engines", d.Engines, 1, 100)
	errs.required("key", string(d.Key))
}
