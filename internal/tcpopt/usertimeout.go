// Package tcpopt sets options of TCP connections that package net does not.
package tcpopt

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout makes the kernel give a connection up when sent bytes stay
// unacknowledged for this long, in whole milliseconds. Without it the kernel
// sends again for minutes.
func SetUserTimeout(raw syscall.RawConn, limit time.Duration) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	if err = errors.Join(err, set); err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}
