package daemon

import (
	"log/slog"
	"time"

	"golang.org/x/sys/unix"
)

// suspendedTime returns the total time for which the VM has been suspended since it
// started: the difference between the clock that includes suspension and the one that does
// not. It returns zero if a clock cannot be read.
func suspendedTime() time.Duration {
	var boot, monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		slog.Debug("could not read the clock of the time since boot", "error", err)
		return 0
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		slog.Debug("could not read the monotonic clock", "error", err)
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
