package exchange

import (
	"io"
	"net/http"
)

// Response is an answer whose head was read.
type Response struct {
	// Status is the final status code; informational answers are skipped.
	Status int
	// Header is as the server sent it, including hop-by-hop fields.
	Header http.Header
	// ContentLength is the length of the body in bytes, or -1 if unknown. For HEAD it is the stated
	// one.
	ContentLength int64
	// Body returns data as it arrives. Read returns io.EOF only after a clean end, otherwise a
	// *Failure of stage Truncated. Close must be called; it keeps the connection only after a clean
	// end. Only one goroutine at a time may use it; the end of the request's context interrupts a
	// Read.
	Body io.ReadCloser
	// Peer is the name of the box through which the server was reached, empty if directly.
	Peer string

	framing framing
}

// Unframed reports whether the body ends when the server closes the connection.
func (r *Response) Unframed() bool { return r.framing.kind == untilClose }

// body is the body of a response.
type body struct {
	x   *exchange
	in  bodyReader
	err error // sticky error of the last Read
}

// Read returns data as it arrives.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	returned := false
	defer func() {
		if !returned {
			// A panic must not leave the connection in use: it counts against the server's limit.
			b.err = errBodyClosed
			b.x.finish(false)
		}
	}()
	n, err := b.in.Read(p)
	returned = true
	if err != nil {
		b.err = b.end(err)
	}
	return n, b.err
}

// end maps the last error of the body reader to the error of Read.
func (b *body) end(err error) error {
	if b.in.clean() {
		return io.EOF
	}
	return b.x.fail(Truncated, err)
}

// Close ends the exchange.
func (b *body) Close() error {
	b.x.finish(b.in.clean())
	if b.err == nil {
		b.err = errBodyClosed
	}
	return nil
}
