// Command parsleyctl is the operators' command-line tool. It changes the configuration of a
// parsleyfront fleet and shows the fleet's state.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/parsleyfront/parsleyfront/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
