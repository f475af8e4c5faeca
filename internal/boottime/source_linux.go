package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine started, including suspensions.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All kernels that Go supports have this clock. Without it no suspension is detected.
		return 0
	}
	return time.Duration(ts.Nano())
}
