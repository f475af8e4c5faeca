package exchange

import "sync"

// firstWriteBytes is the size of the buffer for the head and the beginning of the body. Most
// requests fit and need one write.
const firstWriteBytes = 32 << 10

// writeBuffers holds the buffers in which requests are assembled.
var writeBuffers = sync.Pool{New: func() any { return new([]byte) }}

// sending is the progress of writing a request.
type sending struct {
	done chan struct{} // closed when the writer ends; nil if none was needed
	n    int           // bytes written to the connection
	err  error
}

// send writes the request. A goroutine writes what the connection does not take immediately,
// because the server may answer early and never read the rest.
func (x *exchange) send(r *Request) *sending {
	s, c := &sending{}, x.conn
	buf := writeBuffers.Get().(*[]byte)
	first := r.appendHead((*buf)[:0])
	part := min(len(r.Body), max(0, firstWriteBytes-len(first)))
	first = append(first, r.Body[:part]...)
	*buf = first
	left := s.try(c, first)
	rest := r.Body[part:]
	if len(left) == 0 {
		rest = s.try(c, rest)
	}
	if s.err != nil || len(left)+len(rest) == 0 {
		writeBuffers.Put(buf)
		return s
	}
	x.client.setUserTimeout(c.raw, x.addr, uploadTimeout)
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		defer writeBuffers.Put(buf)
		s.write(c, left)
		s.write(c, rest)
	}()
	return s
}

// try writes without blocking and returns what is left.
func (s *sending) try(c *conn, p []byte) []byte {
	if s.err != nil || len(p) == 0 {
		return p
	}
	n, err := c.tryWrite(p)
	s.n += n
	s.err = err
	return p[n:]
}

// write writes p unless an earlier write failed. It blocks.
func (s *sending) write(c *conn, p []byte) {
	if s.err != nil || len(p) == 0 {
		return
	}
	n, err := c.nc.Write(p)
	s.n += n
	s.err = err
}

// inline reports whether the whole request was written without blocking.
func (s *sending) inline() bool { return s.done == nil && s.err == nil }

// wait blocks until the writer has ended, which happens soon after either side closed the
// connection.
func (s *sending) wait() {
	if s.done != nil {
		<-s.done
	}
}
