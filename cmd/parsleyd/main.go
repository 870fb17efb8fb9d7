// Command parsleyd is the daemon of a parsleyfront fleet. It runs as a router
// on entry VMs and as a sidecar beside each upstream.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/parsleyfront/parsleyfront/internal/daemon"
	"github.com/parsleyfront/parsleyfront/internal/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var s settings.Daemon
	parser := flags.NewParser(&s, flags.Default)
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(ctx, parser.Active.Name, s); err != nil {
		os.Stderr.WriteString("parsleyd: " + err.Error() + "\n")
		os.Exit(1)
	}
}

func run(ctx context.Context, role string, s settings.Daemon) error {
	switch role {
	case "router":
		if err := s.Router.Check(); err != nil {
			return err
		}
		return daemon.RunRouter(ctx, s.Router)
	case "sidecar":
		if err := s.Sidecar.Check(); err != nil {
			return err
		}
		return daemon.RunSidecar(ctx, s.Sidecar)
	default:
		return daemon.RunDev(ctx, s.Dev, os.Stdout)
	}
}
