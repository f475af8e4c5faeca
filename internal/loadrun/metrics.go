package loadrun

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/dalebend/dalebend/internal/outcome"
)

// Metrics are the figures of one run. Times are in milliseconds, as a caller sees
// them.
type Metrics struct {
	// StallP99 is over streams: the longest time without progress between a
	// stream's first token and its end.
	StallP99 float64 `json:"stall_p99_ms"`
	// WaitP99 is over streams too, with the wait for the first token counted in.
	WaitP99 float64 `json:"stall_with_wait_p99_ms"`
	// TokenGap is over all gaps between tokens of all streams.
	TokenGapP99  float64 `json:"token_gap_p99_ms"`
	TokenGapP999 float64 `json:"token_gap_p999_ms"`
	// FirstToken is from when the request was due.
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP99 float64 `json:"first_token_p99_ms"`
	// TopFirstTokenP99 is that of the highest priority, LookupP99 that of lookups.
	TopFirstTokenP99 float64 `json:"top_priority_first_token_p99_ms"`
	LookupP99        float64 `json:"lookup_p99_ms"`
	// Preemptions are the engines' own; PushedAside are the routers'. Both count from
	// when times are recorded.
	Preemptions int64 `json:"preemptions"`
	PushedAside int64 `json:"pushed_aside"`
	// MemoryBias and MemoryRMS are the mean and the root mean square of the error of
	// what routers believe of an engine's memory at the same moment, in percent of it.
	MemoryBias float64 `json:"memory_belief_bias_percent"`
	MemoryRMS  float64 `json:"memory_belief_rms_percent"`
	// Goodput counts tokens of whole answers a second, while requests arrived.
	Goodput float64 `json:"goodput_tokens_per_s"`
	// Outcomes: sent = done + not_run + cut + unknown; refused is the part of
	// not_run that was refused for load.
	Refused int64 `json:"refused"`
	Sent    int64 `json:"sent"`
	Done    int64 `json:"done"`
	NotRun  int64 `json:"not_run"`
	Cut     int64 `json:"cut"`
	Unknown int64 `json:"unknown"`
	// Wrong counts answers with a token that was not the next of its own answer.
	Wrong int64 `json:"wrong"`
	// Repeated counts plain calls that may not be repeated and ran twice.
	Repeated int64 `json:"repeated"`
	// What the stand-ins counted themselves, to be held against the outcomes.
	EnginesStarted   int64 `json:"engines_started"`
	EnginesFinished  int64 `json:"engines_finished"`
	EnginesCancelled int64 `json:"engines_cancelled"`
	PlainRuns        int64 `json:"plain_runs"`
	// Generations is the part of done that are generations.
	Generations int64 `json:"done_generations"`
	// Shares is the part of the tokens of whole answers that each account got.
	Shares map[string]float64 `json:"token_shares"`
	// LongestWait is the longest wait for a first token of any answer that came.
	LongestWait float64 `json:"longest_wait_ms"`
}

const (
	lowest  = 1
	highest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

// recorder gathers the figures of one run.
type recorder struct {
	// warm and end bound the due times of the requests whose times are recorded.
	warm, end time.Duration
	top       string

	mu       sync.Mutex
	stall    *hdrhistogram.Histogram
	wait     *hdrhistogram.Histogram
	gap      *hdrhistogram.Histogram
	first    *hdrhistogram.Histogram
	topFirst *hdrhistogram.Histogram
	lookup   *hdrhistogram.Histogram
	out      Metrics
	tokens   map[string]int64
	good     int64
}

func newRecorder(warm, end time.Duration, top string) *recorder {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }
	return &recorder{
		warm: warm, end: end, top: top,
		stall: h(), wait: h(), gap: h(), first: h(), topFirst: h(), lookup: h(),
		tokens: make(map[string]int64),
	}
}

// report is what a client saw of one request.
type report struct {
	arrival *arrival
	outcome outcome.Outcome
	refused bool
	wrong   bool
	first   time.Duration
	longest time.Duration
	gaps    []time.Duration
	tokens  int
	ended   time.Duration
	// inWindow counts the tokens that came while goodput was measured.
	inWindow int
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// A value over the range is recorded as the range's end.
	_ = h.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

func (r *recorder) note(p *report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(p)
	if p.arrival.at < r.warm {
		return
	}
	if p.arrival.lookup {
		record(r.lookup, p.ended-p.arrival.at)
		return
	}
	if p.tokens == 0 {
		return
	}
	for _, g := range p.gaps {
		record(r.gap, g)
	}
	record(r.first, p.first)
	if p.arrival.account == r.top {
		record(r.topFirst, p.first)
	}
	record(r.stall, p.longest)
	record(r.wait, max(p.longest, p.first))
}

// count adds the request to the outcomes, whenever it was due.
func (r *recorder) count(p *report) {
	r.out.Sent++
	switch p.outcome {
	case outcome.Done:
		r.out.Done++
	case outcome.NotRun:
		r.out.NotRun++
	case outcome.Cut:
		r.out.Cut++
	case outcome.Unknown:
		r.out.Unknown++
	}
	if p.refused {
		r.out.Refused++
	}
	if p.wrong {
		r.out.Wrong++
	}
	if p.outcome == outcome.Done && !p.arrival.lookup {
		r.out.Generations++
		r.good += int64(p.inWindow)
		r.tokens[p.arrival.account] += int64(p.inWindow)
	}
}

// complete counts requests whose answer had not ended when the run was over: what
// became of them is not known.
func (m *Metrics) complete(sent int) {
	m.Unknown += int64(sent) - m.Sent
	m.Sent = int64(sent)
}

// metrics closes the recorder.
func (r *recorder) metrics() Metrics {
	r.mu.Lock()
	defer r.mu.Unlock()
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	m := r.out
	m.StallP99 = ms(r.stall, 99)
	m.WaitP99 = ms(r.wait, 99)
	m.TokenGapP99 = ms(r.gap, 99)
	m.TokenGapP999 = ms(r.gap, 99.9)
	m.FirstTokenP50 = ms(r.first, 50)
	m.FirstTokenP99 = ms(r.first, 99)
	m.TopFirstTokenP99 = ms(r.topFirst, 99)
	m.LookupP99 = ms(r.lookup, 99)
	m.LongestWait = float64(r.first.Max()) / 1000
	m.Goodput = float64(r.good) / (r.end - r.warm).Seconds()
	m.Shares = make(map[string]float64)
	for a, n := range r.tokens {
		m.Shares[a] = float64(n) / float64(max(r.good, 1))
	}
	return m
}
