package soak

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// quotaPeriod is the time after which a router that has used up its share of a core runs again.
	quotaPeriod = 100 * time.Millisecond
	// quotaInterval is the pause between two looks at the processor time of a process.
	quotaInterval = 2 * time.Millisecond
)

// limitProcessor gives the router's process a share of a core until stop is closed, as a machine does whose share is a
// quota: it runs at full speed until the share of a period is used up, and then not at all before the next period.
func (e *entry) limitProcessor(share float64, stop <-chan struct{}) {
	quota := time.Duration(share * float64(quotaPeriod))
	defer e.signal(syscall.SIGCONT)
	for !isStopped(stop) {
		pid, end := e.processID(), time.Now().Add(quotaPeriod)
		began := processorTimeOf(pid)
		for time.Now().Before(end) && processorTimeOf(pid)-began < quota {
			time.Sleep(quotaInterval)
		}
		if left := time.Until(end); left > 0 {
			e.signal(syscall.SIGSTOP)
			time.Sleep(left)
			e.signal(syscall.SIGCONT)
		}
	}
}

// processorTimeOf returns the processor time that a process has used; zero: it has ended.
func processorTimeOf(pid int) time.Duration {
	const schedulerClock = 2 // CPUCLOCK_SCHED of the kernel
	var t unix.Timespec
	if pid == 0 || unix.ClockGettime(int32(^pid<<3|schedulerClock), &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
