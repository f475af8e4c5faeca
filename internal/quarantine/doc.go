// Package quarantine records which requests crash backend servers (queries of death), and decides
// when such requests are no longer sent to servers.
//
// What may crash servers is a trait of requests: being one particular request, known by a fingerprint
// that is the same for all attempts and on all boxes, or having one particular segment in the prompt. A
// Tracker keeps a crash history for each trait of requests under which servers have ended: which
// servers, and when. Boxes exchange histories in notes.
//
// A server that ends takes down all that it runs, so most histories are those of innocent traits.
// One complete answer, at any box, clears that of a request, and a request that was just answered gets
// none: lookups shared by thousands of callers are never held because a failure domain died. For
// segments an answer that has begun is enough, and only requests whose answer had not begun count.
//
// After three ends a trait may be held: no box sends such a request to a server until the hold expires
// or an operator lifts it. Of all traits in question the fewest that explain the ends are held, see
// judge. What else may explain them is tried with one request at a time, as is a request under which
// one or two servers ended.
//
// Invariants: a request is refused only if this box knows of three different server instances that
// ended while they ran it or others with one of its segments, without an answer afterwards, or while
// another server runs one of these. The state is bounded, in total and per account. An account can
// cause the refusal only of its own requests, unless servers ended under three accounts; callers of
// routes without accounts count as one account.
//
// Not guaranteed: that no fourth server ends. Boxes that run such requests at the same time, or that
// are partitioned, each find out for themselves.
package quarantine
