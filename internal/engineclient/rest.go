package engineclient

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// restBytes and restTimeout bound what is read of a streamed answer of which no more is needed, so
	// that its connection can be reused. Usually that has arrived already.
	restBytes   = 4 << 10
	restTimeout = 100 * time.Millisecond
	// maxCallBytes bounds the answer to a call that is not streamed.
	maxCallBytes = 1 << 20
)

// errAbandoned closes the connection of an answer that is left early.
var errAbandoned = errors.New("answer was left early")

// closeRead reads the rest of a streamed answer and releases it. Its connection is reused only if
// the answer ended within the bounds; otherwise more of it may come. The text read is returned.
func (c *Client) closeRead(resp *fasthttp.Response) []byte {
	body := resp.BodyStream()
	if body == nil {
		fasthttp.ReleaseResponse(resp)
		return nil
	}
	local := localAddr(resp)
	timer := c.Clock.AfterFunc(restTimeout, func() { c.dialer.Abort(local) })
	text, err := io.ReadAll(io.LimitReader(body, restBytes+1))
	cause := errAbandoned
	// Once the timer has fired, the connection is being closed.
	if timer.Stop() && err == nil && len(text) <= restBytes {
		cause = nil
	}
	closeResponse(resp, cause)
	return text
}

// localAddr returns the address by which the dialer knows the connection of an answer.
func localAddr(resp *fasthttp.Response) string {
	if addr := resp.LocalAddr(); addr != nil {
		return addr.String()
	}
	return ""
}

// closeResponse ends a streamed answer and releases it. With a cause its connection is closed.
func closeResponse(resp *fasthttp.Response, cause error) {
	if s, ok := resp.BodyStream().(fasthttp.ReadCloserWithError); ok {
		_ = s.CloseWithError(cause)
	}
	fasthttp.ReleaseResponse(resp)
}
