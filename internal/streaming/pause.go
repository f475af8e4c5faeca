package streaming

import "time"

// recordEventTime records the time to the first event and the pauses after it.
func (x *run) recordEventTime() {
	now := x.relay.Clock.Now()
	if x.lastPassed.IsZero() {
		x.timeToFirstEvent = now.Sub(x.began)
		if !x.prefillAloneSince.IsZero() {
			x.relay.PrefillTime.Observe(x.job.Request.PromptTokens, now.Sub(x.prefillAloneSince))
		}
		x.recordForecastDeviation(now)
	} else {
		x.recordPause(now.Sub(x.lastPassed))
	}
	x.lastPassed = now
}

// recordPause keeps the longest pause with the engine's pending prefill at that time, and counts
// pauses longer than the route accepts.
func (x *run) recordPause(pause time.Duration) {
	accepted := x.job.Route.MaxPause
	tooLong := accepted > 0 && pause > accepted
	if pause <= x.longestPause && !tooLong {
		return
	}
	beside := x.relay.EngineLoad.PendingPrefill(idOf(x.engine), x.lastPassed.Add(pause))
	if pause > x.longestPause {
		x.longestPause, x.longestPausePrefill = pause, beside
	}
	if tooLong {
		x.relay.Metrics.OrDiscard().LongPauses.Inc(pauseLabel(beside))
	}
}

// Metric labels for the engine's concurrent work during a pause.
const (
	duringPrefill  = "prompt"
	withoutPrefill = "nothing"
)

func pauseLabel(unread int) string {
	if unread > 0 {
		return duringPrefill
	}
	return withoutPrefill
}

// Metric labels for the direction of a deviation of the first event.
const (
	firstEventSooner = "sooner"
	firstEventLater  = "later"
)

// recordForecastDeviation records the deviation of the first event from its forecast.
func (x *run) recordForecastDeviation(now time.Time) {
	if x.firstEventForecast.IsZero() {
		return
	}
	off := x.relay.Metrics.OrDiscard().FirstEventDeviation
	if now.Before(x.firstEventForecast) {
		off.Observe(x.firstEventForecast.Sub(now), firstEventSooner)
		return
	}
	off.Observe(now.Sub(x.firstEventForecast), firstEventLater)
}
