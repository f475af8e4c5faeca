// Package departure knows which backend servers say in their answers that they are about to end, and
// keeps new work from them.
//
// That word may come long before the same one in the server's entry, which cannot be written while the
// store is away. Boxes tell each other of it in notes, those of several servers in one.
//
// Invariants: a server gets no new work from a box that has heard its word, whoever told it, and whatever
// the list of servers says; the word ends with the start of the server that said it. What runs at the
// server goes on: only its entry, or its report, tells that its end is near.
package departure
