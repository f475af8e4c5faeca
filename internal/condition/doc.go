// Package condition is the one place that takes what backend servers say of themselves in their
// answers, and that is asked whether this box may send to a server now.
//
// A server says at the head of any answer how many requests a second it takes (package serverlimit),
// that it is about to end (package departure), or that it wants nothing from this box for a time
// (package holdoff). Each of these knows how its word begins, ends and reaches other boxes; the Book here
// keeps them together by start of a server. A further word needs a field in hop.Condition, its decoding
// in package platform, and a part here.
//
// Not here: what the store says of servers (package registry), and how they behave (package evidence).
package condition
