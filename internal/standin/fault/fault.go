// Package fault tells a stand-in to misbehave.
//
// Faults are set by a test or over HTTP, hold until they are set anew, and are
// counted when they strike.
package fault

import (
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// Path is where a stand-in takes faults over HTTP.
const Path = "/standin/faults"

// Setting is one state of misbehaviour; the zero value is none.
type Setting struct {
	// Dead closes every connection without an answer.
	Dead bool `json:"dead"`
	// LateMS delays each answer by so many milliseconds.
	LateMS int `json:"late_ms"`
	// StallMS stops streams for so many milliseconds after each CutEvery tokens.
	StallMS int `json:"stall_ms"`
	// CutEvery cuts the connection of a stream after so many tokens; 0 never.
	CutEvery int `json:"cut_every"`
	// Unavailable answers every call with 503.
	Unavailable bool `json:"unavailable"`
	// LoseAnswerEvery runs a call and then drops the answer, every so many calls.
	LoseAnswerEvery int `json:"lose_answer_every"`
}

// Late returns the delay of each answer.
func (s Setting) Late() time.Duration { return time.Duration(s.LateMS) * time.Millisecond }

// Stall returns how long a stalled stream stops.
func (s Setting) Stall() time.Duration { return time.Duration(s.StallMS) * time.Millisecond }

// Switch holds the current setting. The zero value misbehaves in no way.
type Switch struct {
	current atomic.Pointer[Setting]
	calls   atomic.Int64
}

// Set replaces the setting.
func (w *Switch) Set(s Setting) { w.current.Store(&s) }

// Get returns the setting.
func (w *Switch) Get() Setting {
	if s := w.current.Load(); s != nil {
		return *s
	}
	return Setting{}
}

// Misbehave strikes before a call is handled, and reports whether it was answered,
// or dropped, by that; it takes settings over HTTP too.
func (w *Switch) Misbehave(ctx *fasthttp.RequestCtx, clock clockwork.Clock) bool {
	if w.Handle(ctx) {
		return true
	}
	f := w.Get()
	switch {
	case f.Dead:
		DropAnswer(ctx)
		return true
	case f.LateMS > 0:
		<-clock.After(f.Late())
	}
	if f.Unavailable {
		ctx.Error("stand-in is told to be unavailable", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("Dalebend-Outcome", "not-run")
		return true
	}
	return false
}

// DropAnswer closes the connection without an answer.
func DropAnswer(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

// LoseAnswer reports whether the answer to this call is to be lost.
func (w *Switch) LoseAnswer() bool {
	every := w.Get().LoseAnswerEvery
	return every > 0 && w.calls.Add(1)%int64(every) == 0
}

// Handle takes a setting over HTTP and reports whether the call was one for it.
func (w *Switch) Handle(ctx *fasthttp.RequestCtx) bool {
	if string(ctx.Path()) != Path {
		return false
	}
	var s Setting
	if err := json.Unmarshal(ctx.PostBody(), &s); err != nil {
		ctx.Error(fmt.Sprintf("read fault setting: %v", err), fasthttp.StatusBadRequest)
		return true
	}
	w.Set(s)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
	return true
}
