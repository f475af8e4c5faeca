// Package serverlimit records which backend servers name a limit, the requests a second that they
// accept from all boxes in total, and keeps the requests that boxes send within it.
//
// An overloaded server names a limit in its answers for as long as it is overloaded. A limit begins
// with an answer that names it, and ends with verified answers of the server that name none. Boxes
// send both to each other in notes.
//
// Boxes do not coordinate before sending. From heartbeats every box knows the demand of every other
// box for a service, and computes its own share of a limit from that, so that the sum over all
// boxes is the limit: distributed rate limiting by flow proportional share (Raghavan et al., Cloud
// Control with Distributed Rate Limiting, SIGCOMM 2007). A box enforces its share by a token bucket
// as soon as it learns of the limit.
//
// Invariants: a request is sent to a server with a limit only with a permit, except for streams
// that continue there, which use up later permits; the permits of boxes with the same knowledge
// never exceed, within 4 s, four times the limit plus one for each box with a share, of which there
// are at most 1.5 x limit + 2. No capacity of a server is reserved for boxes without demand.
//
// Not guaranteed: network partitions that outlast the memory of demand each use the whole limit.
// Where boxes have a demand below about 0.7 requests a second each, and far more boxes than have a
// share could use the limit, part of it stays unused.
package serverlimit
