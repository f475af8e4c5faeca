// Package telemetry holds the metrics of a box and serves them in the Prometheus text format.
//
// The metrics of the request path are fields of Metrics; a test keeps docs/METRICS.md in sync with
// them. Other packages may use the go-metrics registry, whose metrics follow these in the output.
package telemetry

import (
	"github.com/rcrowley/go-metrics"
)

// namePrefix is the prefix of all exported names.
const namePrefix = "dalebend_"

// Metrics are the metrics of one box. They are safe for concurrent use.
type Metrics struct {
	// Requests counts ended requests by kind of route and outcome.
	Requests *counters
	// Refusals counts requests that were refused without being sent, by reason.
	Refusals *counters
	// Attempts counts attempts by backend server and result.
	Attempts *counters
	// Resends counts attempts on a second server, by cause.
	Resends *counters
	// StreamsMoved counts streams that continued at another server, by way.
	StreamsMoved *counters
	// MovesFailed counts streams that a server failed to continue, by cause.
	MovesFailed *counters
	// Switches counts switches of stalled streams to the engine with their copy, by outcome.
	Switches *counters
	// CopiesFreed counts copies that are no longer needed, by whether their memory was freed.
	CopiesFreed *counters
	// StreamsLost counts streams that were cut at the caller, by cause.
	StreamsLost *counters
	// OverloadRefusals counts generations that were refused because no engine would begin them in
	// time, by route.
	OverloadRefusals *counters
	// LongPauses counts pauses of streams that were longer than callers accept, by whether the
	// engine was prefilling a prompt.
	LongPauses *counters
	// ReturningCallers counts generations of returning callers that had priority, by route.
	ReturningCallers *counters
	// CallersLeft counts callers that went away before the end, by kind of route.
	CallersLeft *counters
	// SlowCallersDropped counts callers that were dropped as too slow for their buffered bytes, by
	// bound.
	SlowCallersDropped *counters
	// ConnectionsEvicted counts connections that were closed for others, by port and by what there was too much of.
	ConnectionsEvicted *counters
	// QuarantineChanges counts state changes of requests during which servers ended, by change.
	QuarantineChanges *counters
	// LimitedSends counts requests sent to servers that state a rate limit, by server.
	LimitedSends *counters
	// UnreadableConditions counts conditions in servers' answers that can't be parsed, by kind.
	UnreadableConditions *counters
	// HoldOffs counts answers with which servers asked this box to hold off for longer than before,
	// by server.
	HoldOffs *counters
	// LeavingSends counts requests that were sent to servers that leave, by whether that was before or
	// after this box knew.
	LeavingSends *counters
	// TunnelRequests counts connections to servers that other boxes asked this one for, by result.
	TunnelRequests *counters
	// PeerConnections counts connections to servers through other boxes.
	PeerConnections *counters
	// Panics counts recovered panics by the work that they ended.
	Panics *counters
	// Ejections counts ejections of backend servers, by cause.
	Ejections *counters
	// StoreReturns counts the times that the store came back from an older copy.
	StoreReturns *counters

	// Answer is the time from a request to the end of its answer, by kind of route.
	Answer *histograms
	// FirstEvent is the time from a request to its first event, by kind of route.
	FirstEvent *histograms
	// FirstEventDeviation is the difference between actual and expected time of the first event, by
	// whether it was sooner or later.
	FirstEventDeviation *histograms
	// LeavingNews is how old the state of this box was when it learned that a server leaves, by what it
	// learned.
	LeavingNews *histograms
	// MovePause is the pause for the caller while its stream moved, by way.
	MovePause *histograms

	// ServerLimit is the rate limit in requests per second that a server states for all boxes
	// together, by server; it has a series while the limit is stated.
	ServerLimit *gauges
	// ServerLimitShare is this box's part of that limit.
	ServerLimitShare *gauges

	// ConfigVersion is the configuration version in force.
	ConfigVersion *gauge
	// ConfigAge is the time since the configuration was last known to be the newest.
	ConfigAge *gauge
	// ViewRevision is the revision of the view of the servers.
	ViewRevision *gauge
	// StoreEra is the era of the store to which that revision belongs.
	StoreEra *gauge
	// ViewAge is the age of that view.
	ViewAge *gauge
	// LiveBoxes is the number of live boxes, including this one.
	LiveBoxes *gauge
	// Servers is the number of known backend servers.
	Servers *gauge
	// CordonedDomains is the number of cordoned failure domains.
	CordonedDomains *gauge
	// RequestsHeld is the number of requests that are no longer sent, as servers ended during them.
	RequestsHeld *gauge
	// SegmentsHeld is the number of prompt segments that no request with them is sent to a server for.
	SegmentsHeld *gauge
	// PrefillTokenTime is the estimated prefill time of engines per prompt token.
	PrefillTokenTime *gauge
	// DecodeTokenTime is the median time of engines per output token, EnginesWithDecodeTime the
	// number of engines for which it is known.
	DecodeTokenTime       *gauge
	EnginesWithDecodeTime *gauge
	// ServersEjected is the number of servers that get no new requests because of failures.
	ServersEjected *gauge
	// ServersLimited is the number of servers that state a rate limit.
	ServersLimited *gauge
	// ServersLeaving is the number of servers that report in their answers that they are leaving,
	// ServersHeldOff the number that asked this box to hold off.
	ServersLeaving *gauge
	ServersHeldOff *gauge
	// Isolated is 1 while the box appears to have lost its paths to all servers.
	Isolated *gauge
	// ServersByPeer is the number of servers that are reached through peers, as the direct path is
	// down, and Tunnels the number of connections to servers that are open for other boxes.
	ServersByPeer *gauge
	Tunnels       *gauge
	// ServersBrittle is the number of servers that fall over when they turn away too many requests.
	ServersBrittle *gauge
	// ShutdownNotice is the notice that engines are expected to give, ShutdownsSeen the number of
	// ended engines behind the estimate.
	ShutdownNotice *gauge
	ShutdownsSeen  *gauge
	// RetryBudgetLeft is the number of retries that this box may send now.
	RetryBudgetLeft *gauge
	// ReturningCallersKnown is the number of refused callers, of any box, that have priority when
	// they retry.
	ReturningCallersKnown *gauge
	// OpenConnections is the number of caller connections.
	OpenConnections *gauge
	// OpenStreams is the number of running streams.
	OpenStreams *gauge
	// HeldUp is the time for which the box was not run since the start, in seconds.
	HeldUp *gauge
	// BufferedBytes is the number of bytes buffered now for callers and servers, MaxBufferedBytes
	// its maximum.
	BufferedBytes    *gauge
	MaxBufferedBytes *gauge
	// UnreadServerBytes is what servers hold of answers that this box doesn't read on.
	UnreadServerBytes *gauge
	// SlowCallers is the number of connections whose callers the box waits for.
	SlowCallers *gauge
	// LogLinesDropped is the number of lines dropped by the decision log.
	LogLinesDropped *gauge

	families []family
	registry metrics.Registry
}

// New returns the metrics of a box, all zero.
func New() *Metrics {
	m := &Metrics{registry: metrics.NewRegistry()}
	m.declareCounters()
	m.declareHistograms()
	m.declareGauges()
	return m
}

// discarded receives the updates of parts that got no metrics.
var discarded = New()

// OrDiscard returns m, or metrics that are never exported if m is nil, so that parts of a box work
// without metrics.
func (m *Metrics) OrDiscard() *Metrics {
	if m == nil {
		return discarded
	}
	return m
}

// Registry returns the registry for other packages. Dots and dashes in its names are exported as
// underscores.
func (m *Metrics) Registry() metrics.Registry { return m.registry }

func (m *Metrics) declareCounters() {
	m.Requests = m.counters("requests_total", "ended requests", "kind", "outcome")
	m.Refusals = m.counters("refusals_total", "requests refused without being sent to a server", "reason")
	m.Attempts = m.counters("attempts_total", "attempts on backend servers", "server", "result")
	m.Resends = m.counters("resends_total", "attempts repeated on another server", "cause")
	m.StreamsMoved = m.counters("streams_moved_total", "streams that went on from another server", "way")
	m.MovesFailed = m.counters("stream_moves_failed_total", "streams that a server could not take over", "cause")
	m.Switches = m.counters("stream_switches_total", "switches of stalled streams to the server with their copy", "outcome")
	m.CopiesFreed = m.counters("copies_freed_total", "copies that no stream goes on from", "result")
	m.StreamsLost = m.counters("streams_lost_total", "streams cut at the caller", "cause")
	m.OverloadRefusals = m.counters("crowded_total", "generations refused as no engine would begin them in time", "route")
	m.LongPauses = m.counters("long_pauses_total", "pauses of streams that callers call too long, by what the engine did beside", "beside")
	m.ReturningCallers = m.counters("returned_total", "generations of callers that came back after a refusal and went first", "route")
	m.CallersLeft = m.counters("callers_left_total", "callers that went away before the end of their answer", "kind")
	m.ConnectionsEvicted = m.counters("connections_evicted_total", "connections without a whole request that were closed for others", "port", "bound")
	m.SlowCallersDropped = m.counters("gave_way_total", "callers that were too slow for what was kept for them", "bound")
	m.LeavingSends = m.counters("leaving_sends_total", "requests sent to backend servers that leave, perhaps before this box knew or surely after", "when")
	m.TunnelRequests = m.counters("tunnel_requests_total", "connections to backend servers that other boxes asked for", "result")
	m.PeerConnections = m.counters("peer_connections_total", "connections to backend servers that were opened through other boxes")
	m.Ejections = m.counters("ejections_total", "times that a backend server was taken out of use for failures", "cause")
	m.StoreReturns = m.counters("store_returns_total", "times that the store came back from an older copy and this box took its servers")
	m.Panics = m.counters("panics_total", "defects of the program that ended the work for one request, server or peer, by the work", "work")
	m.QuarantineChanges = m.counters("quarantined_total", "changes of what is known of requests under which servers ended", "change")
	m.LimitedSends = m.counters("limited_sends_total", "requests given to servers that name a limit", "server")
	m.UnreadableConditions = m.counters("words_unreadable_total", "words of servers on themselves, in their answers, that cannot be read", "word")
	m.HoldOffs = m.counters("hold_offs_total", "answers by which servers asked this box to hold off for longer than it knew", "server")
}

func (m *Metrics) declareHistograms() {
	m.Answer = m.histograms("answer_seconds", "time from a request to the end of its answer", "kind")
	m.FirstEvent = m.histograms("first_event_seconds", "time from a request to the first event of its stream", "kind")
	m.FirstEventDeviation = m.histograms("first_event_off_seconds", "by how much a first event came sooner or later than expected", "way")
	m.LeavingNews = m.histograms("leaving_news_seconds", "age of what this box knew of the servers when it learned that one leaves", "state")
	m.MovePause = m.histograms("move_pause_seconds", "time in which the caller of a moved stream got nothing", "way")
}

func (m *Metrics) declareGauges() {
	m.ServerLimit = m.gauges("server_limit_per_second", "requests a second that a server takes from all boxes together, by its own word", "server")
	m.ServerLimitShare = m.gauges("server_limit_share", "the part of that which this box may use", "server")
	m.ServersLimited = m.gauge("servers_limited", "backend servers that name such a limit")
	m.ServersLeaving = m.gauge("servers_leaving", "backend servers that say in their answers that they leave")
	m.ServersHeldOff = m.gauge("servers_held_off", "backend servers that want nothing from this box for a time, or have not answered since")
	m.ServersBrittle = m.gauge("servers_brittle", "backend servers that say that they fall over when they turn away too many requests")
	m.Isolated = m.gauge("isolated", "1 while the box appears to have lost its own paths to all backend servers")
	m.ServersByPeer = m.gauge("servers_by_peer", "backend servers that are reached through other boxes, as the direct path is down")
	m.Tunnels = m.gauge("tunnels", "connections to backend servers that are open for other boxes")
	m.ConfigVersion = m.gauge("config_version", "configuration version in force")
	m.ConfigAge = m.gauge("config_age_seconds", "time since the configuration was last known to be the newest")
	m.ViewRevision = m.gauge("view_revision", "revision of what the box knows of the backend servers")
	m.StoreEra = m.gauge("store_era", "era of the store to which that revision belongs, 0 if it states none")
	m.ViewAge = m.gauge("view_age_seconds", "age of that knowledge")
	m.LiveBoxes = m.gauge("live_boxes", "boxes believed to live, this one among them")
	m.Servers = m.gauge("servers", "backend servers known")
	m.CordonedDomains = m.gauge("cordoned_domains", "failure domains that get no more work")
	m.RequestsHeld = m.gauge("requests_held", "requests that are not given to servers any more, as servers ended under them")
	m.SegmentsHeld = m.gauge("segments_held", "prompt segments with which no request is given to servers any more, as servers ended when they began to answer such requests")
	m.PrefillTokenTime = m.gauge("prompt_token_seconds", "time that engines are believed to take to read a token of a prompt")
	m.DecodeTokenTime = m.gauge("engine_token_seconds", "time that the middle of the engines is believed to take to make a token")
	m.EnginesWithDecodeTime = m.gauge("engines_paced", "engines whose pace is known")
	m.ShutdownNotice = m.gauge("engine_notice_seconds", "notice that engines are expected to give before they end, as learned")
	m.ShutdownsSeen = m.gauge("engine_ends_seen", "ended engines that the notice was learned from")
	m.ServersEjected = m.gauge("servers_ejected", "backend servers out of use for failures")
	m.RetryBudgetLeft = m.gauge("retry_budget_left", "attempts that this box may repeat now, for all services together")
	m.ReturningCallersKnown = m.gauge("comebacks_known", "callers that were refused by any box and may come back first")
	m.OpenConnections = m.gauge("open_connections", "open connections of callers")
	m.OpenStreams = m.gauge("open_streams", "running streams")
	m.HeldUp = m.gauge("held_up_seconds", "time since the start for which the box was not run, by late checks of streams")
	m.BufferedBytes = m.gauge("kept_bytes", "bodies, answers and events kept for callers and servers now")
	m.MaxBufferedBytes = m.gauge("kept_bytes_most", "the most of them kept at once since the start")
	m.UnreadServerBytes = m.gauge("unread_bytes", "what servers are believed to hold as their answers are not read on")
	m.SlowCallers = m.gauge("slow_callers", "connections whose callers are waited for, to read or to send")
	m.LogLinesDropped = m.gauge("log_lines_dropped", "lines that the decision log left out since the start")
}

func (m *Metrics) counters(name, help string, labels ...string) *counters {
	c := &counters{vector: newVector(name, help, labels, metrics.NewCounter)}
	m.families = append(m.families, c)
	return c
}

func (m *Metrics) histograms(name, help string, labels ...string) *histograms {
	h := &histograms{vector: newVector(name, help, labels, newBuckets)}
	m.families = append(m.families, h)
	return h
}

func (m *Metrics) gauge(name, help string) *gauge {
	g := &gauge{metricInfo: metricInfo{name: namePrefix + name, help: help}, value: metrics.NewGaugeFloat64()}
	m.families = append(m.families, g)
	return g
}

func (m *Metrics) gauges(name, help string, labels ...string) *gauges {
	g := &gauges{vector: newVector(name, help, labels, metrics.NewGaugeFloat64)}
	m.families = append(m.families, g)
	return g
}
