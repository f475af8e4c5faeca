package front

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

// problem is the body of an answer of our own.
type problem struct {
	Error string `json:"error"`
}

// refuse answers the caller ourselves. With retryAfter the caller is told when
// to come back.
func (x *exchange) refuse(status int, reason string, retryAfter time.Duration) {
	x.log(event.RequestRefused,
		slog.Int(event.KeyStatus, status), slog.String(event.KeyReason, reason),
		slog.Int64(event.KeyRetryAfter, retryAfter.Milliseconds()),
		slog.Bool(event.KeyNotRun, status < 500 || status == http.StatusServiceUnavailable))
	h := x.w.Header()
	x.server.Wire.Identify(h, x.req.ID)
	h.Set("Content-Type", "application/json")
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(problem{Error: reason})
	if err != nil {
		x.server.Logger.Error("problem report could not be encoded", "error", err)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		x.callerLeft()
	}
}

// ended notes a whole answer.
func (x *exchange) ended(status, events int) {
	x.log(event.RequestEnded, slog.Int(event.KeyStatus, status), slog.Int(event.KeyEvents, events))
}

// brokenOff notes an answer that ended early after a part of it was passed on.
func (x *exchange) brokenOff(err error, events int) {
	if x.http.Context().Err() != nil {
		x.callerLeft()
		return
	}
	x.log(event.RequestEnded, slog.Int(event.KeyEvents, events), slog.String(event.KeyCause, err.Error()))
}

func (x *exchange) callerLeft() { x.log(event.CallerLeft) }

func (x *exchange) firstEvent() {}

// log writes one line of the decision log about the request, with the beliefs
// that it was decided on.
func (x *exchange) log(name event.Name, attrs ...slog.Attr) {
	elapsed := x.server.Clock.Since(x.req.Arrived)
	attrs = append(attrs,
		slog.String(event.KeyRequest, x.req.ID), slog.Int64(event.KeyElapsed, elapsed.Milliseconds()))
	if x.route != nil {
		attrs = append(attrs, slog.String(event.KeyRoute, x.route.Name), slog.String(event.KeyAccount, x.account.Name))
	}
	if x.table != nil {
		attrs = append(attrs, slog.Int64(event.KeyConfigVersion, x.table.Version()))
	}
	x.server.Logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}
