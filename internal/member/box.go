package member

// Box is one machine of the fleet and its addresses, which may differ from one incarnation to the
// next; the name does not.
type Box struct {
	// Name identifies the box in the fleet.
	Name string
	// Addr is the UDP address of its heartbeats, as host:port.
	Addr string
	// CallAddr is the TCP address of its remote procedure calls, as host:port.
	CallAddr string
	// Domain is the box's failure domain.
	Domain string
}
