// Package endless sends bytes without end, as a server in trouble does, for tests of those who read them.
package endless

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
)

const (
	// repeats is how often a text is repeated in one write.
	repeats = 4 << 10
	// maxBoundBytes is the largest bound that tests require of a reader.
	maxBoundBytes = 32 << 20
)

// Send writes a text, and then another one again and again until the connection is closed. It returns the
// number of bytes that were taken. So that a test ends whose reader has no bound, it stops after twice as many
// as any bounded reader and the kernel take.
func Send(conn net.Conn, begin, repeat string) int {
	most := 2 * (maxBoundBytes + KernelBytes())
	text := strings.Repeat(repeat, repeats)
	total, err := io.WriteString(conn, begin)
	for err == nil && total < most {
		var n int
		n, err = io.WriteString(conn, text)
		total += n
	}
	return total
}

// KernelBytes returns how many bytes the kernel may hold that one end of a TCP connection has written and the
// other one has not read: the largest send and receive buffers that it sizes by itself.
func KernelBytes() int { return maxBuffer("tcp_wmem") + maxBuffer("tcp_rmem") }

// maxBuffer returns the maximum of one of the kernel's settings for buffers, in bytes.
func maxBuffer(setting string) int {
	data, err := os.ReadFile("/proc/sys/net/ipv4/" + setting)
	if err != nil {
		panic(fmt.Errorf("read the size of the kernel's buffers: %w", err))
	}
	var least, usual, most int
	if _, err := fmt.Sscan(string(data), &least, &usual, &most); err != nil {
		panic(fmt.Errorf("parse %s: %w", setting, err))
	}
	return most
}
