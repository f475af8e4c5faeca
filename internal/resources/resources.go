// Package resources tells what this process uses.
package resources

import (
	"runtime"
	"syscall"
	"time"
)

// ProcessTime returns the processor time that this process has used, in user and
// system mode, of all its threads.
func ProcessTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Memory returns the bytes of heap and stacks in use; collect first for what is
// really needed.
func Memory() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
