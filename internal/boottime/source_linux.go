package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine was started, suspensions included.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that Go runs on has this clock. Without it no suspension is noticed.
		return 0
	}
	return time.Duration(ts.Nano())
}
