// Command parsleybench evaluates policies on a simulated pool and generates load against a
// running fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/parsleyfront/parsleyfront/internal/benchtool"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := benchtool.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(code))
}
