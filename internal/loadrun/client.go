package loadrun

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/outcome"
	"github.com/dalebend/dalebend/internal/standin/sampletext"
)

const (
	clientConns    = 1 << 16
	lookupTimeout  = 10 * time.Second
	clientReadSize = 4096
	maxComebacks   = 8
	comebackPause  = 20 * time.Millisecond
)

// client makes the requests of one run and looks at every token of the answers.
type client struct {
	clock clockwork.Clock
	began time.Time
	boxes []string
	model string
	keyOf func(account string) string
	check bool
	// resume lets a caller whose stream broke come back for it at another box.
	resume bool
	// from and to bound the time in which tokens count as goodput.
	from, to time.Duration
	streams  *fasthttp.Client
	calls    *fasthttp.Client
}

func (c *client) prepare() {
	c.streams = &fasthttp.Client{
		MaxConnsPerHost: clientConns, StreamResponseBody: true, ReadBufferSize: clientReadSize,
		MaxIdemponentCallAttempts: 1,
	}
	c.calls = &fasthttp.Client{MaxConnsPerHost: clientConns, MaxIdemponentCallAttempts: 1}
}

// askBody is the request for a stream.
type askBody struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Stream bool   `json:"stream"`
}

// do makes one request and reports what came.
func (c *client) do(a *arrival) *report {
	p := &report{arrival: a}
	if a.lookup {
		c.call(a, p)
	} else {
		c.generate(a, p)
	}
	p.ended = c.clock.Since(c.began)
	return p
}

func (c *client) request(a *arrival) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.Set("Authorization", "Bearer "+c.keyOf(a.account))
	return req
}

func (c *client) box(a *arrival) string { return "http://" + c.boxes[a.id%len(c.boxes)] }

// call makes a plain call.
func (c *client) call(a *arrival, p *report) {
	req := c.request(a)
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.box(a) + "/services/" + plainService + "/get")
	if a.push {
		req.SetRequestURI(c.box(a) + "/services/" + plainService + "/push")
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString("{}")
	}
	if err := c.calls.DoTimeout(req, resp, lookupTimeout); err != nil {
		return
	}
	p.outcome = outcome.Parse(string(resp.Header.Peek(outcome.Header)))
}

// generate asks for a stream and reads it to its end.
func (c *client) generate(a *arrival, p *report) {
	prompt := a.kind.prompt(a.id, a.length)
	req := c.request(a)
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	body, err := json.Marshal(askBody{Model: c.model, Prompt: prompt, Stream: true})
	if err != nil {
		return
	}
	req.SetRequestURI(c.box(a) + "/v1/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	f := &follower{client: c, arrival: a, report: p, seed: sampletext.Seed(prompt)}
	for box := a.id; ; box++ {
		if !c.exchange(req, resp, f) || !c.resume || f.token == "" || f.comebacks == maxComebacks {
			return
		}
		// The stream broke without a word: the next box has the rest of it.
		f.comebacks++
		req.SetRequestURI("http://" + c.boxes[(box+1)%len(c.boxes)] + "/v1/completions")
		req.Header.Set("Last-Event-ID", f.token)
		resp.Reset()
		<-c.clock.After(comebackPause)
	}
}

// exchange sends a request and follows its stream; it reports whether the stream
// broke without an outcome.
func (c *client) exchange(req *fasthttp.Request, resp *fasthttp.Response, f *follower) (broke bool) {
	if err := c.streams.Do(req, resp); err != nil {
		return true
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != fasthttp.StatusOK {
		f.report.outcome = outcome.Parse(string(resp.Header.Peek(outcome.Header)))
		f.report.refused = resp.StatusCode() == fasthttp.StatusTooManyRequests
		return false
	}
	return !f.read(resp.BodyStream())
}

// event is what is looked at in the data of an event.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Outcome string `json:"outcome"`
}

// read follows a stream to its end mark or its error; it reports whether an outcome
// came.
func (f *follower) read(body io.Reader) (stated bool) {
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return f.stated
		}
		line = bytes.TrimRight(line, "\n")
		if id, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			f.id(id)
			continue
		}
		if data, ok := bytes.CutPrefix(line, []byte("data: ")); ok {
			if string(data) == "[DONE]" || !f.data(data) {
				return f.stated
			}
		}
	}
}

// follower checks that each event of a stream is the next token of the prompt's own
// answer.
type follower struct {
	client  *client
	arrival *arrival
	report  *report
	seed    uint64
	offset  uint64
	last    time.Duration
	// token is the id of the last event, by which the stream can be resumed.
	token     string
	stated    bool
	comebacks int
}

// id takes the id of an event, which begins with the offset of its token.
func (f *follower) id(id []byte) {
	number, _, _ := bytes.Cut(id, []byte("."))
	n, err := strconv.ParseUint(string(number), 10, 64)
	f.report.wrong = f.report.wrong || err != nil || n != f.offset+1
	f.offset = n
	f.token = string(id)
	now := f.client.clock.Since(f.client.began)
	f.report.noteToken(now, f.last)
	if now >= f.client.from && now <= f.client.to {
		f.report.inWindow++
	}
	f.last = now
}

// data takes the data of an event; it returns false when it cannot be read.
func (f *follower) data(data []byte) bool {
	var ev event
	if json.Unmarshal(data, &ev) != nil {
		f.report.wrong = true
		return false
	}
	p := f.report
	switch {
	case ev.Outcome != "":
		f.stated = true
		p.outcome = outcome.Parse(ev.Outcome)
		p.wrong = p.wrong || f.client.check && p.outcome == outcome.Done && p.tokens != f.arrival.length
	case f.client.check && len(ev.Choices) == 1 && ev.Choices[0].Text != "":
		p.wrong = p.wrong || ev.Choices[0].Text != sampletext.Token(f.seed, f.offset)
	}
	return true
}

// noteToken records when a token came.
func (p *report) noteToken(now, last time.Duration) {
	p.tokens++
	if p.tokens == 1 {
		p.first = now - p.arrival.at
		return
	}
	gap := now - last
	p.gaps = append(p.gaps, gap)
	p.longest = max(p.longest, gap)
}
