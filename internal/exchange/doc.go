// Package exchange sends one HTTP/1.1 request to one backend server and reports exactly how the
// exchange ended.
//
// A router that must not run a request twice has to know whether any byte of a failed request left
// the process. The Transport of net/http cannot tell: it resends requests by itself when a reused
// connection turns out to be closed, and its errors do not say whether the request was written.
// This package therefore owns its connections: it dials them, writes the request, parses the answer
// and decides whether a connection may be reused. It never retries. Each failure is a *Failure
// whose Stage tells how far the request got; the caller decides what follows.
//
// Answers are parsed strictly. A server may be faulty, so an ambiguous length, an answer to another
// request or surplus bytes are rejected and end the connection. http.ReadResponse is not used for
// this: it repairs an answer with two lengths, and its chunk reader blocks until a chunk is
// complete, which would delay the events of a stream.
package exchange
