// Package exchange sends one HTTP/1.1 request to one backend server and reports
// exactly how the exchange ended.
//
// A router that may not run a request twice has to know whether any byte of a
// failed request left the process. The Transport of net/http can't tell: it
// resends requests by itself when a reused connection turns out to be closed, and
// its errors don't say whether the request had been written. This package owns its
// connections instead. It dials them, writes the request, parses the answer and
// decides whether a connection may carry another request. It never retries: each
// failure is a *Failure whose Stage says what is known about the request, and the
// caller decides.
//
// Answers are parsed strictly. A server may be faulty, so an ambiguous length, an
// answer to another request or surplus bytes are refused and end the connection.
// http.ReadResponse isn't used for this: it repairs an answer with two lengths, and
// its chunk reader waits until a chunk is whole, which would hold up a stream's
// events.
package exchange
