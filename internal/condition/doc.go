// Package condition collects what backend servers report about themselves in their answers, and
// decides whether this box may send to a server now.
//
// A server may report, in the headers of any answer, how many requests a second it accepts (package
// serverlimit), that it is about to end (package departure), or that this box must not send to it
// for a time (package holdoff). Each of these packages knows how its condition begins, ends and
// reaches other boxes; Tracker combines them by server instance. A further condition needs a field
// in hop.Condition, its parsing in package platform, and a part here.
//
// What the store knows of servers is in package registry, and how they behave in package evidence.
package condition
