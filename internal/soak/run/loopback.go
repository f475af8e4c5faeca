package run

import (
	"errors"
	"fmt"
	"net"
)

const (
	// claimPort is a port that a run listens on to keep its addresses to itself.
	claimPort = 7199
	// firstNet and lastNet bound the second byte of a run's addresses.
	firstNet = 100
	lastNet  = 250
	// firstBox and firstProxy are the last byte of the first box's address, and of
	// that of its proxies. Between them 90 boxes have one, the most that settings allow.
	firstBox   = 10
	firstProxy = 100
)

// loopback is the part of the loopback network that a run has for itself.
type loopback struct {
	claim net.Listener
	part  string
}

// claim finds a part that no other run has. Runs beside each other find their own.
func claim() (*loopback, error) {
	var faults []error
	for n := firstNet; n <= lastNet; n++ {
		part := fmt.Sprintf("127.%d.7.", n)
		ln, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", part, claimPort))
		if err == nil {
			return &loopback{claim: ln, part: part}, nil
		}
		faults = append(faults, err)
	}
	return nil, fmt.Errorf("no addresses are free: %w", errors.Join(faults...))
}

// box returns the address of a box by its number.
func (l *loopback) box(n int) string { return fmt.Sprint(l.part, firstBox+n) }

// proxy returns the address of the proxies of a box, with any free port.
func (l *loopback) proxy(n int) string { return fmt.Sprint(l.part, firstProxy+n, ":0") }

// store returns the address of the store, with any free port.
func (l *loopback) store() string { return l.part + "1:0" }

// servers returns the address of the backend servers.
func (l *loopback) servers() string { return l.part + "2" }

// close gives the addresses back.
func (l *loopback) close() error { return l.claim.Close() }
