// Package member discovers the boxes of the fleet, detects which of them are live, and distributes
// their state.
//
// Each box sends heartbeats, which are datagrams with its state, and considers another box live
// while it receives that box's heartbeats. There is no vote: if a link fails in one direction, the
// box that still receives heartbeats considers its peer live, and only the peer notices the
// failure.
//
// With up to directPeers live peers, a box sends each change to all of them. In a larger fleet it
// sends its changes to two relays in its failure domain, which batch what they receive for some
// milliseconds and forward it within their failure domain and to relays of the others. Relays are
// not elected: a box is one while others send it items to forward.
//
// Invariants: the state accepted from a box is never older than what was accepted from it before;
// OnNote gets each note once. Neither the order of notes nor their delivery is guaranteed: state
// that must arrive in the end is fetched by the boxes that lack it.
package member
