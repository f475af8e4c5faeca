package exchange

import "sync"

// firstWrite is the size in bytes of the buffer that the head and the beginning of
// the body are put together in. Most requests fit it and cost one write.
const firstWrite = 32 << 10

// writeBuffers holds the buffers that requests are put together in.
var writeBuffers = sync.Pool{New: func() any { return new([]byte) }}

// sending is the progress of writing a request.
type sending struct {
	done chan struct{} // closed when the writer ends; nil if none was needed
	n    int           // bytes that the connection took
	err  error
}

// send writes the request. What the connection doesn't take at once is written by a
// goroutine, because the server may answer early and never read the rest.
func send(c *conn, r *Request) *sending {
	buf := writeBuffers.Get().(*[]byte)
	first := r.appendHead((*buf)[:0])
	part := min(len(r.Body), max(0, firstWrite-len(first)))
	first = append(first, r.Body[:part]...)
	*buf = first
	s := &sending{}
	s.n, s.err = c.tryWrite(first)
	if s.err != nil || s.n == len(first)+len(r.Body)-part {
		writeBuffers.Put(buf)
		return s
	}
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		defer writeBuffers.Put(buf)
		s.write(c, first[s.n:])
		s.write(c, r.Body[part:])
	}()
	return s
}

// write writes p unless an earlier write failed, and waits as long as it takes.
func (s *sending) write(c *conn, p []byte) {
	if s.err != nil || len(p) == 0 {
		return
	}
	n, err := c.nc.Write(p)
	s.n += n
	s.err = err
}

// wait blocks until the writer has ended. The connection is closed before, which
// ends a write that blocks.
func (s *sending) wait() {
	if s.done != nil {
		<-s.done
	}
}

// unfinished returns nil once the whole request was written without an error.
func (s *sending) unfinished() error {
	if s.done == nil {
		return s.err
	}
	select {
	case <-s.done:
		return s.err
	default:
		return errClosedEarly
	}
}
