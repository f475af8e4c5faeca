// Package statuscheck refuses answers whose status code is none of HTTP.
//
// The client of package fasthttp takes the status 000 for its zero value, and reports 200.
package statuscheck

import (
	"errors"
	"net"
	"sync/atomic"
)

const (
	// minStatus and maxStatus are the lowest and highest status codes of HTTP.
	minStatus = 100
	maxStatus = 599
	// minFinal is the lowest status code of a final answer.
	minFinal = 200
	// codeDigits is the length of a status code.
	codeDigits = 3
)

// ErrStatus means that an answer's status code is none of HTTP.
var ErrStatus = errors.New("answer without a status code of HTTP")

// phase is the part of an answer that is read.
type phase uint8

const (
	// version is the protocol version, and blank lines before it.
	version phase = iota
	// code is the status code.
	code
	// head is the rest of an interim answer's head.
	head
	// rest is not looked at.
	rest
)

// Conn is a client's connection, on which a request is written as a whole before its answer is read.
type Conn struct {
	net.Conn

	// requested is set when a request was written since the last read.
	requested atomic.Bool

	phase phase
	// digits and value are the part of the status code read so far, lineEnds the line ends in a row.
	digits, value, lineEnds int
	failed                  bool
}

// Write writes a part of a request.
func (c *Conn) Write(p []byte) (int, error) {
	c.requested.Store(true)
	return c.Conn.Write(p)
}

// Read reads a part of an answer. The error is ErrStatus once its status code is found to be none of HTTP.
func (c *Conn) Read(p []byte) (int, error) {
	if c.requested.Swap(false) {
		c.begin()
	}
	n, err := c.Conn.Read(p)
	for _, b := range p[:n] {
		if c.phase == rest || c.failed {
			break
		}
		c.next(b)
	}
	if c.failed {
		return 0, ErrStatus
	}
	return n, err
}

// begin begins an answer.
func (c *Conn) begin() { c.phase, c.digits, c.value, c.lineEnds = version, 0, 0, 0 }

// next takes one byte of an answer.
func (c *Conn) next(b byte) {
	switch c.phase {
	case version:
		if b == ' ' {
			c.phase = code
		}
	case code:
		c.nextOfCode(b)
	case head:
		c.nextOfHead(b)
	case rest:
	}
}

// nextOfCode takes one byte after the version.
func (c *Conn) nextOfCode(b byte) {
	switch {
	case b == ' ' && c.digits == 0:
	case b >= '0' && b <= '9' && c.digits < codeDigits:
		c.digits++
		c.value = 10*c.value + int(b-'0')
	default:
		c.endCode(b)
	}
}

// endCode takes the byte after the status code.
func (c *Conn) endCode(b byte) {
	ends := b == ' ' || b == '\r' || b == '\n'
	switch {
	case !ends || c.digits != codeDigits || c.value < minStatus || c.value > maxStatus:
		c.failed = true
	case c.value < minFinal:
		c.phase = head
		c.nextOfHead(b)
	default:
		c.phase = rest
	}
}

// nextOfHead takes one byte of an interim answer's head, which ends with an empty line.
func (c *Conn) nextOfHead(b byte) {
	switch b {
	case '\n':
		c.lineEnds++
	case '\r':
	default:
		c.lineEnds = 0
	}
	const emptyLine = 2
	if c.lineEnds == emptyLine {
		c.begin()
	}
}
