// Package quarantine knows the requests under which backend servers end (queries of death), and
// says when one is not to be given to a server any more.
//
// A request is known again by its fingerprint, whatever attempt it is and whichever box it comes
// to. A Book keeps a trail for each request under which servers have ended: which ones, and when.
// Boxes tell each other of trails in notes. Once three servers have ended the request is held: no
// box gives it to a server, until the hold is forgotten or an operator lifts it. A request that
// one server has ended under is tried at one server at a time.
//
// A server that ends takes all that it runs with it, so that most trails are those of innocent
// requests. One good answer, at any box, clears a trail, and a request that was answered well a
// moment ago gets none: lookups that thousands of callers share are never held because a failure
// domain died.
//
// Invariants: a request is refused only if this box believes that three different starts of servers
// have ended while they ran it, without a good answer after them, or while another server tries it.
// What is kept is bounded, in all and by account. An account can have no request refused but its
// own; callers of routes without accounts share one.
//
// Not promised: that no fourth server ends. Boxes that run the request at the same moment, or that
// cannot hear of each other, each find out for themselves.
package quarantine
