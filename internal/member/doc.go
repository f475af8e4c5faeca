// Package member finds the boxes of the fleet and tells which of them are live.
//
// Each box sends heartbeats, which are datagrams with a digest of its state, to
// the others, and counts a box as live while it hears that box. There is no
// vote: a box that hears a peer over a link that is cut in the other direction
// still counts it as live, and only the peer notices.
package member
