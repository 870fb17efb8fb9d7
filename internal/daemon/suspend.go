package daemon

import (
	"log/slog"
	"time"

	"golang.org/x/sys/unix"
)

// suspendedTime returns for how long the machine has been suspendedTime since it started:
// by how much the clock that counts such time is ahead of the one that does not.
func suspendedTime() time.Duration {
	var boot, monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		slog.Debug("the time since the machine's start is not known", "error", err)
		return 0
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		slog.Debug("the steady clock cannot be read", "error", err)
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
