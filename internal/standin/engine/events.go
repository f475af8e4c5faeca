package engine

import (
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

const (
	eventsKept  = 4096
	eventDelay  = 500 * time.Millisecond
	eventGapOne = 50
)

// cacheEvent tells that a block of a prefix came or went.
type cacheEvent struct {
	Seq  uint64 `json:"seq"`
	Op   string `json:"op"`
	Hash string `json:"hash"`
	at   time.Time
}

// eventLog keeps the last events; one in eventGapOne is lost.
type eventLog struct {
	mu     sync.Mutex
	clock  clockwork.Clock
	seq    uint64
	events []cacheEvent
}

func (l *eventLog) stored(hash uint64)  { l.add("stored", hash) }
func (l *eventLog) removed(hash uint64) { l.add("removed", hash) }

func (l *eventLog) add(op string, hash uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	if l.seq%eventGapOne == 0 {
		return
	}
	l.events = append(l.events, cacheEvent{
		Seq: l.seq, Op: op, Hash: strconv.FormatUint(hash, 16), at: l.clock.Now(),
	})
	if len(l.events) > 2*eventsKept {
		l.events = append([]cacheEvent(nil), l.events[len(l.events)-eventsKept:]...)
	}
}

// after returns the events past seq that are old enough to be told.
func (l *eventLog) after(seq uint64) []cacheEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	ripe := l.clock.Now().Add(-eventDelay)
	out := []cacheEvent{}
	for _, ev := range l.events {
		if ev.Seq > seq && !ev.at.After(ripe) {
			out = append(out, ev)
		}
	}
	return out
}

func (e *Engine) handleEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		ctx.Error("after is not a number", fasthttp.StatusBadRequest)
		return
	}
	writeJSON(ctx, e.events.after(after))
}
