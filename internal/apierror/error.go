// Package apierror is the JSON error that callers get.
package apierror

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/outcome"
)

// Error is a request that was not answered as asked. It says what to mend.
type Error struct {
	// Status is the HTTP status.
	Status int
	// Code is short and stable, for programs.
	Code string
	// Message is for people.
	Message string
	// Param names the field at fault, if there is one.
	Param string
	// Outcome says what became of the request.
	Outcome outcome.Outcome
	// RetryAfter is when to come back, or 0.
	RetryAfter time.Duration
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// Bad returns the error of a request that can never be served as it is.
func Bad(status int, code, param, format string, args ...any) *Error {
	return &Error{
		Status: status, Code: code, Param: param,
		Message: fmt.Sprintf(format, args...), Outcome: outcome.NotRun,
	}
}

// body is the shape of the JSON.
type body struct {
	Error detail `json:"error"`
}

type detail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   string `json:"param,omitempty"`
	Outcome string `json:"outcome"`
}

// JSON returns the error as callers get it.
func (e *Error) JSON() []byte {
	kind := "invalid_request_error"
	if e.Status >= fasthttp.StatusInternalServerError || e.Status == fasthttp.StatusTooManyRequests {
		kind = "server_error"
	}
	b, _ := json.Marshal(body{Error: detail{
		Message: e.Message, Type: kind, Code: e.Code, Param: e.Param, Outcome: e.Outcome.String(),
	}})
	return b
}

// Write makes the error the response of a request.
func (e *Error) Write(ctx *fasthttp.RequestCtx) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(e.Status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(outcome.Header, e.Outcome.String())
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	ctx.SetBody(e.JSON())
}
