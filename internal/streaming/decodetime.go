package streaming

import "time"

// windowEvents is the number of events over which the time per token is measured, so that a late
// event and an early one after it cancel out.
const windowEvents = 4

// decodeWindow measures a stream on one engine since the last observation.
type decodeWindow struct {
	// engine is the id of the engine instance.
	engine string
	// began is the time of the event before the first measured one, events the number passed on by
	// then.
	began  time.Time
	events int
	// last is the time of the last event, lastEvents the number passed on by then.
	last       time.Time
	lastEvents int
}

// recordDecodeTime learns from the events that were just passed on. The lock must be held.
func (x *run) recordDecodeTime() {
	now := x.relay.Clock.Now()
	perEvent := x.job.Service.Engine.TokensPerEvent
	if x.relay.DecodeTime == nil || x.engine == nil || perEvent <= 0 {
		return
	}
	w := &x.decodeWindow
	events := x.split.Events()
	if w.engine != x.engine.ID {
		*w = decodeWindow{engine: x.engine.ID, began: now, events: events, last: now, lastEvents: events}
		return
	}
	if made := (events - w.lastEvents) * perEvent; made > 0 && x.relay.EngineLoad.PendingPrefill(w.engine, now) > 0 {
		x.relay.DecodeTime.ObserveDuringPrefill(w.engine, now.Sub(w.last)/time.Duration(made))
	}
	w.last, w.lastEvents = now, events
	if events-w.events >= windowEvents {
		x.relay.DecodeTime.Observe(w.engine, now.Sub(w.began)/time.Duration((events-w.events)*perEvent))
		w.began, w.events = now, events
	}
}
