// Package daemon implements parsleyd: it starts and stops a process in one of its roles.
package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/settings"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

// Exit codes of parsleyd.
const (
	exitOK       = 0
	exitFailed   = 1 // an error at the start or while running
	exitSettings = 2 // invalid settings
)

// flushTimeout bounds how long the process waits at its end for the export of spans and
// the writing of queued log lines.
const flushTimeout = 3 * time.Second

// Main runs parsleyd with the command-line arguments args, which exclude the program's
// name, until a signal starts a planned stop and the stop is over. It returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	p, err := settings.Parse(args)
	var help settings.Help
	if errors.As(err, &help) {
		fmt.Fprintln(stdout, help)
		return exitOK
	}
	if p.Common().PrintSettings.On {
		_ = p.Print(stdout)
	}
	if err != nil {
		fmt.Fprintln(stderr, "parsleyd:", err)
		return exitSettings
	}
	if p.Common().PrintSettings.On {
		return exitOK
	}
	level, err := p.Common().Level()
	if err != nil {
		fmt.Fprintln(stderr, "parsleyd:", err)
		return exitSettings
	}
	out := stderr
	if p.Role == settings.RoleEntry {
		lines := telemetry.NewQueuedWriter(stdout)
		telemetry.SetProcessLines(lines)
		defer lines.Close(flushTimeout)
		out = lines
	}
	slog.SetDefault(telemetry.NewLogger(out, telemetry.LogFormat(p.Common().LogFormat), level))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go handleSignals(signals, stop)
	if err := run(ctx, p, stdout); err != nil {
		slog.Error("ended", "error", err.Error())
		return exitFailed
	}
	return exitOK
}

// secondSignalFlushTimeout bounds how long a second signal waits for the log to be written.
const secondSignalFlushTimeout = 200 * time.Millisecond

// handleSignals starts a planned stop at the first signal. A second one ends the process at once, as its
// default handling does.
func handleSignals(signals chan os.Signal, stop func()) {
	<-signals
	stop()
	second := <-signals
	slog.Error("ended by a second signal", "signal", second.String())
	telemetry.CloseProcessLines(secondSignalFlushTimeout)
	signal.Reset(second)
	if number, ok := second.(syscall.Signal); ok {
		_ = syscall.Kill(os.Getpid(), number)
	}
}

func run(ctx context.Context, p *settings.Parsed, stdout io.Writer) error {
	flush, err := startTracing(p)
	if err != nil {
		return err
	}
	defer flush()
	switch p.Role {
	case settings.RoleRouter:
		return runRouter(ctx, p.Router)
	case settings.RoleSidecar:
		return runSidecar(ctx, p.Sidecar)
	case settings.RoleEntry:
		return runEntry(ctx, p.Entry)
	default:
		return runDev(ctx, p.Dev, stdout)
	}
}

// startTracing turns tracing on if the settings name a collector. flush exports the
// spans that are still queued and turns tracing off.
func startTracing(p *settings.Parsed) (flush func(), err error) {
	common, node := p.Common(), p.Node()
	if common.TraceEndpoint == "" {
		return func() {}, nil
	}
	stop, err := telemetry.StartTracing(context.Background(), telemetry.TraceConfig{
		Endpoint: string(common.TraceEndpoint),
		Ratio:    common.TraceRatio.R,
		Resource: telemetry.Resource{Role: string(p.Role), VM: node.VM, Region: node.Region, FailureDomain: node.FailureDomain},
	})
	if err != nil {
		return nil, err
	}
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
		defer cancel()
		_ = stop(ctx)
	}, nil
}
