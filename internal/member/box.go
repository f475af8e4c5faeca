package member

// Box is one machine of ours and the addresses that it is reached at. Its
// addresses may differ from one start to the next; the name does not.
type Box struct {
	// Name identifies the box in the fleet.
	Name string
	// Addr is the UDP address of its heartbeats, as host:port.
	Addr string
	// CallAddr is the TCP address of its remote procedure calls, as host:port.
	CallAddr string
	// Domain is the failure domain that the box stands in.
	Domain string
}
