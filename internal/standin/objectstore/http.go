package objectstore

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/standin/fault"
)

const (
	pathObjects = "/v1/objects/"
	pathStats   = "/standin/stats"
)

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == pathStats {
		writeJSON(ctx, s.Stats())
		return
	}
	if s.Faults.Misbehave(ctx, s.Clock) {
		return
	}
	rest, ok := strings.CutPrefix(string(ctx.Path()), pathObjects)
	kind, name, single := strings.Cut(rest, "/")
	if !ok || kind == "" || single && name == "" {
		ctx.Error("no such path", fasthttp.StatusNotFound)
		return
	}
	if !s.allow(ctx) {
		ctx.Error("too many calls", fasthttp.StatusTooManyRequests)
		ctx.Response.Header.Set("Retry-After", "1")
		return
	}
	s.serve(ctx, kind, name, single)
}

// serve carries out a call that was allowed.
func (s *Store) serve(ctx *fasthttp.RequestCtx, kind, name string, single bool) {
	switch {
	case ctx.IsGet() && single:
		s.handleGet(ctx, kind, name)
	case ctx.IsGet():
		s.handleList(ctx, kind)
	case single && (ctx.IsPut() || ctx.IsDelete()):
		s.handleWrite(ctx, kind, name)
	default:
		ctx.Error("method not allowed", fasthttp.StatusMethodNotAllowed)
	}
}

// allow counts the call against its rate.
func (s *Store) allow(ctx *fasthttp.RequestCtx) bool {
	limit := s.writes
	if ctx.IsGet() {
		limit = s.reads
	}
	ok := limit.AllowN(s.Clock.Now(), 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !ok:
		s.stats.Refused++
	case ctx.IsGet() && ctx.QueryArgs().Has("wait"):
		s.stats.Watches++
	case ctx.IsGet():
		s.stats.Reads++
	default:
		s.stats.Writes++
	}
	return ok
}

func (s *Store) handleGet(ctx *fasthttp.RequestCtx, kind, name string) {
	o, ok := s.get(kind, name)
	if !ok {
		ctx.Error("no such object", fasthttp.StatusNotFound)
		return
	}
	ctx.Response.Header.Set("ETag", etag(o.Version))
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(o.Value)
}

// handleList answers at once, or with wait=MILLISECONDS when something changes.
func (s *Store) handleList(ctx *fasthttp.RequestCtx, kind string) {
	args := ctx.QueryArgs()
	after, _ := strconv.ParseUint(string(args.Peek("after")), 10, 64)
	prefix := string(args.Peek("prefix"))
	wait := time.Duration(args.GetUintOrZero("wait")) * time.Millisecond
	deadline := s.Clock.After(wait)
	for {
		out, changed := s.list(kind, prefix, after)
		if len(out.Objects) > 0 || wait == 0 {
			writeJSON(ctx, out)
			return
		}
		select {
		case <-s.stopped:
			return
		case <-changed:
		case <-deadline:
			writeJSON(ctx, out)
			return
		}
		if f := s.Faults.Get(); f.Dead || f.Unavailable {
			ctx.Error("the store is down", fasthttp.StatusServiceUnavailable)
			return
		}
	}
}

func (s *Store) handleWrite(ctx *fasthttp.RequestCtx, kind, name string) {
	expect, ok := expectation(ctx)
	if !ok {
		ctx.Error("If-Match is not a quoted version", fasthttp.StatusBadRequest)
		return
	}
	var value []byte
	if ctx.IsPut() {
		value = append([]byte{}, ctx.PostBody()...)
	}
	if len(value) > maxValue {
		ctx.Error("a value holds at most a megabyte", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	version, ok := s.put(kind, name, value, expect)
	if s.Faults.LoseAnswer() {
		fault.DropAnswer(ctx)
		return
	}
	if !ok {
		ctx.Error("the object has another version", fasthttp.StatusPreconditionFailed)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
	ctx.Response.Header.Set("ETag", etag(version))
}

// expectation reads If-Match and If-None-Match: the version that must be current.
func expectation(ctx *fasthttp.RequestCtx) (*uint64, bool) {
	if string(ctx.Request.Header.Peek("If-None-Match")) == "*" {
		return new(uint64), true
	}
	match := string(ctx.Request.Header.Peek("If-Match"))
	if match == "" {
		return nil, true
	}
	v, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	return &v, err == nil
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(v)
}
