// Package atomictime provides a time with atomic access.
package atomictime

import (
	"sync/atomic"
	"time"
)

// Time is a time.Time with atomic access. It keeps the monotonic clock reading, so that differences
// stay right when the wall clock is set. The zero value holds no time.
type Time struct{ at atomic.Pointer[time.Time] }

// Store sets the time.
func (m *Time) Store(t time.Time) { m.at.Store(&t) }

// Load returns the time last stored, or the zero time.
func (m *Time) Load() time.Time {
	if at := m.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
