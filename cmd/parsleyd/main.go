// Command parsleyd is the daemon of a parsleyfront fleet. It runs as a router
// on entry VMs and as a sidecar beside each upstream.
package main

import (
	"os"

	"github.com/parsleyfront/parsleyfront/internal/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
