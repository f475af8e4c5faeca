package front

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dalebend/dalebend/internal/bufferlimit"
	"github.com/dalebend/dalebend/internal/clockctx"
)

// bodyRetryAfter is the retry delay for callers whose body did not fit the buffer limits: about the
// time in which requests of other callers end.
const bodyRetryAfter = 250 * time.Millisecond

// readBody reads the whole body within the size limit of the configuration and the buffer limits.
func (x *exchange) readBody() bool {
	if !x.req.HasBody {
		return true
	}
	limit := x.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	control := http.NewResponseController(x.w)
	if err := control.SetReadDeadline(clockctx.RuntimeTime(x.server.Clock, x.deadline())); err != nil {
		x.server.Logger.Debug("read deadline of a request body not set", "error", err)
	}
	body, err := x.receiveBody(http.MaxBytesReader(x.w, x.http.Body, int64(limit)))
	if err != nil {
		x.refuseBody(err)
		return false
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		x.server.Logger.Debug("read deadline of a request body not cleared", "error", err)
	}
	x.req.Body = body
	return true
}

// receiveBody reads a body whose caller may be dropped in favour of others.
func (x *exchange) receiveBody(from io.Reader) ([]byte, error) {
	hold := x.conn.Buffers()
	x.conn.SetReceivingBody(true)
	defer x.conn.SetReceivingBody(false)
	body, err := io.ReadAll(&bodyReader{from: from, x: x})
	if dropped := hold.Err(); dropped != nil {
		// The caller may have been dropped as the last byte arrived; the connection is not usable
		// any more.
		return nil, dropped
	}
	return body, err
}

// bodyReader accounts for a body as it arrives.
type bodyReader struct {
	from io.Reader
	x    *exchange
}

// Read reads what has arrived and waits until it fits the buffer limits.
func (r *bodyReader) Read(p []byte) (int, error) {
	r.x.conn.Buffers().StartWaiting()
	n, err := r.from.Read(p)
	if n > 0 {
		if full := r.x.buffers.AddBody(r.x.http.Context(), n); full != nil {
			return n, full
		}
	}
	return n, err
}

// refuseBody refuses a request whose body is incomplete. It has not run.
func (x *exchange) refuseBody(err error) {
	var tooLarge *http.MaxBytesError
	var slow *bufferlimit.SlowCallerError
	switch {
	case errors.As(err, &slow):
		x.recordSlowCaller(err)
		x.w.Header().Set("Connection", "close")
		x.refuse(refusal{
			status: http.StatusServiceUnavailable, class: callerSlow,
			reason: err.Error(), retryAfter: bodyRetryAfter,
		})
	case errors.As(err, &tooLarge):
		x.refuse(refusal{status: http.StatusRequestEntityTooLarge, class: bodyTooLarge, reason: "the body is too large"})
	default:
		x.refuse(refusal{status: http.StatusRequestTimeout, class: bodyMissing, reason: "the body did not arrive: " + err.Error()})
	}
}
