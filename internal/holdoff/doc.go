// Package holdoff records which backend servers have refused requests of this box and asked it to
// hold off, that is, to send nothing for a time, and enforces that.
//
// A hold-off applies only to the box that received it, so boxes do not share it: a server that
// refuses one box may serve the others.
//
// Invariants: from the answer that asks for it until the hold-off has elapsed, no request goes to
// the server except streams that cannot continue elsewhere, at most maxContinuing of them; of
// overlapping hold-offs the one that ends last counts. After that the box sends one request at a
// time until the server has answered one without asking for a hold-off, so that one caller of each
// box probes the server, not all of them.
package holdoff
