// Package boxsettings holds the settings of dalebend-box.
package boxsettings

import (
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"time"
)

// Settings are the settings of one box. They are read-only; a change creates new ones.
type Settings struct {
	// Box and Domain name the box and its failure domain.
	Box    string
	Domain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// Front is the address for callers, Ready the one for the balancer's health checks, as
	// HOST:PORT.
	Front string
	Ready string
	// Heartbeat is the UDP address for other boxes, Calls the TCP one.
	Heartbeat string
	Calls     string
	// Metrics is the address that serves metrics.
	Metrics string
	// Seeds are heartbeat addresses of boxes that may be running.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// MemoryBytes is the memory limit of the process; 0 is unknown.
	MemoryBytes int64
	// KeptShare is the part of the memory that may be used for buffers of callers and servers that
	// read slowly; 0 is no bound.
	KeptShare float64
	// HeadShare is the part of the memory that the parsed heads of callers' requests may take, and those of servers' answers; 0 is
	// no bound.
	HeadShare float64
	// MaxConnections is the greatest number of callers' connections; 0 follows from memory and sockets.
	MaxConnections int
	// Descriptors is the limit on open files, Sockets the part of it for sockets; 0 is unknown.
	Descriptors int
	Sockets     int
	// LinkMbps is the rate of the box's link in Mbit/s, Cores its share of a processor core; 0 is
	// unknown.
	LinkMbps float64
	Cores    float64
	// StopGrace is the time between the signal to stop and the kill.
	StopGrace time.Duration
	// ChangeBound is the time within which a change in the store must be in force; 0 is unknown.
	ChangeBound time.Duration
	// RetryRatio, RetryFloor and RetryWindow define the retry budget of all boxes.
	RetryRatio  float64
	RetryFloor  int
	RetryWindow time.Duration
	// Cordons is set if the store lists cordoned failure domains.
	Cordons bool
	// ColdOver and ColdSlack bound what all boxes together send within a second to a server that
	// has just started: the rate that its service declares x ColdOver + ColdSlack.
	ColdOver  float64
	ColdSlack float64
}

// Check returns an error that names every invalid setting.
func (s *Settings) Check() error {
	var faults []error
	if s.Box == "" {
		faults = append(faults, errors.New("name of the box is missing"))
	}
	if s.Domain == "" {
		faults = append(faults, errors.New("failure domain is missing"))
	}
	for _, a := range s.addresses() {
		if err := checkAddr(a.value); err != nil {
			faults = append(faults, fmt.Errorf("%s address: %w", a.name, err))
		}
	}
	if s.MemoryBytes < 0 || s.Descriptors < 0 {
		faults = append(faults, errors.New("limits of memory and descriptors must not be below 0"))
	}
	if s.StopGrace <= 0 {
		faults = append(faults, errors.New("time to stop must be above 0"))
	}
	return errors.Join(append(faults, s.checkRetry())...)
}

// minRetryWindow is the shortest window that the retry budget can divide into its counters.
const minRetryWindow = time.Millisecond

func (s *Settings) checkRetry() error {
	var faults []error
	if math.IsNaN(s.RetryRatio) || math.IsInf(s.RetryRatio, 0) || s.RetryRatio < 0 {
		faults = append(faults, fmt.Errorf("ratio of the retry budget: %v is not a number at least 0", s.RetryRatio))
	}
	if s.RetryFloor < 0 {
		faults = append(faults, errors.New("fixed part of the retry budget must not be below 0"))
	}
	if s.RetryWindow < minRetryWindow {
		faults = append(faults, fmt.Errorf("window of the retry budget must be at least %v", minRetryWindow))
	}
	return errors.Join(faults...)
}

// checkAddr checks HOST:PORT. The host is required, as the address is sent to other boxes.
func checkAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if host == "" {
		return fmt.Errorf("%q has no host", addr)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q has no port from 0 to 65535", addr)
	}
	return nil
}

// address is one address setting.
type address struct{ name, value string }

func (s *Settings) addresses() []address {
	return []address{
		{"front", s.Front}, {"ready", s.Ready}, {"heartbeat", s.Heartbeat},
		{"calls", s.Calls}, {"metrics", s.Metrics}, {"store", s.Store},
	}
}

// SameAddresses reports whether both have the same names and addresses.
func (s *Settings) SameAddresses(o *Settings) bool {
	if s.Box != o.Box || s.Domain != o.Domain {
		return false
	}
	theirs := o.addresses()
	for i, a := range s.addresses() {
		if a != theirs[i] {
			return false
		}
	}
	return true
}
