// Package departure records which backend servers report in their answers that they are about to
// end, and stops new work for them.
//
// An answer may report this long before the server's entry does, since the entry cannot be written
// while the store is away. Boxes send it to each other in notes, several servers in one.
//
// Invariants: a box that knows of a departure gives the server no new work, whoever reported it and
// whatever the store's view says; a departure ends with the server instance. Running requests
// continue: that the end is near is known only from the server's entry or its load report.
package departure
