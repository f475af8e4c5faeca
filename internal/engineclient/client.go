// Package engineclient speaks to model engines as docs/BACKENDS.md describes.
//
// It makes one attempt for each call and never repeats one: retries are decided
// by the caller. An error says whether a byte can have reached the engine and
// whether the engine itself refused.
package engineclient

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/dialer"
)

const (
	dialTimeout = time.Second
	// readIdle is over three keep-alive intervals of an engine.
	readIdle        = 3500 * time.Millisecond
	writeIdle       = 5 * time.Second
	maxConnsPerHost = 16384
	idleConn        = 30 * time.Second
	callTimeout     = 2 * time.Second
	traceHeader     = "traceparent"
	loadHeader      = "Endpoint-Load-Metrics"
)

// Client calls engines. Set Clock before Prepare.
type Client struct {
	// Clock gives the time.
	Clock clockwork.Clock
	// OnLoad hears each load report that comes with an answer; may be nil.
	OnLoad func(server string, r Load)

	dialer  *dialer.Dialer
	streams *fasthttp.Client
	calls   *fasthttp.Client
}

// Request is one generation as an engine takes it.
type Request struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Priority  int    `json:"priority"`
	Stream    bool   `json:"stream"`
	RequestID string `json:"request_id"`
	// Sampling holds settings that engines take as they are.
	Sampling

	// Traceparent is sent as a header.
	Traceparent string `json:"-"`
}

// Sampling holds settings that callers give and engines read; nothing in between
// looks at them.
type Sampling struct {
	Temperature      json.RawMessage `json:"temperature,omitempty"`
	TopP             json.RawMessage `json:"top_p,omitempty"`
	Seed             json.RawMessage `json:"seed,omitempty"`
	Stop             json.RawMessage `json:"stop,omitempty"`
	PresencePenalty  json.RawMessage `json:"presence_penalty,omitempty"`
	FrequencyPenalty json.RawMessage `json:"frequency_penalty,omitempty"`
}

// Load is an engine's report of itself; it lags.
type Load struct {
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	KVUsed      int   `json:"kv_used"`
	KVTotal     int   `json:"kv_total"`
	Preemptions int64 `json:"preemptions"`
	Sample      int64 `json:"sample"`
	Draining    bool  `json:"draining"`
	// Models are those that the engine holds; nil when it does not say.
	Models []string `json:"models"`
}

// Prepare makes the client ready for use.
func (c *Client) Prepare() {
	d := &dialer.Dialer{Clock: c.Clock, Timeout: dialTimeout, ReadIdle: readIdle, WriteIdle: writeIdle}
	c.dialer = d
	c.streams = newHTTPClient(d)
	c.streams.StreamResponseBody = true
	c.calls = newHTTPClient(d)
	c.calls.ReadTimeout = callTimeout
	c.calls.MaxResponseBodySize = maxCallBytes
}

func newHTTPClient(d *dialer.Dialer) *fasthttp.Client {
	return &fasthttp.Client{
		Dial:                      d.Dial,
		MaxConnsPerHost:           maxConnsPerHost,
		MaxIdleConnDuration:       idleConn,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		NoDefaultUserAgentHeader: true,
	}
}

// Open starts a generation on a backend server.
func (c *Client) Open(server, addr string, in *Request) (*Stream, error) {
	in.Stream = true
	body, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("write request: %w", err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + "/v1/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	if in.Traceparent != "" {
		req.Header.Set(traceHeader, in.Traceparent)
	}
	req.SetBody(body)
	return c.stream(server, req, in.RequestID)
}

// Resume goes on with a generation after offset.
func (c *Client) Resume(server, addr, generation string, offset uint64) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + addr + "/v1/generations/" + generation + "/events")
	req.Header.Set("Last-Event-ID", generation+":"+strconv.FormatUint(offset, 10))
	return c.stream(server, req, generation)
}

func (c *Client) stream(server string, req *fasthttp.Request, generation string) (*Stream, error) {
	resp := fasthttp.AcquireResponse()
	if err := c.streams.Do(req, resp); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, sendError(server, err)
	}
	c.heardLoad(server, resp)
	if resp.StatusCode() != fasthttp.StatusOK {
		err := statusError(server, resp, nil)
		err.describe(c.closeRead(resp))
		return nil, err
	}
	if got := string(resp.Header.Peek("X-Request-Id")); got != generation {
		err := &CallError{server: server, sent: true, err: fmt.Errorf("answer is for request %q, not %q", got, generation)}
		closeResponse(resp, err)
		return nil, err
	}
	return newStream(c, server, resp), nil
}

// heardLoad passes on the load report in an answer's header.
func (c *Client) heardLoad(server string, resp *fasthttp.Response) {
	if c.OnLoad == nil {
		return
	}
	raw, ok := bytes.CutPrefix(resp.Header.Peek(loadHeader), []byte("JSON "))
	if !ok {
		return
	}
	var r Load
	if json.Unmarshal(raw, &r) == nil {
		c.OnLoad(server, r)
	}
}

// Load asks for an engine's load report.
func (c *Client) Load(server, addr string) (Load, error) {
	var r Load
	status, body, err := c.calls.GetTimeout(nil, "http://"+addr+"/v1/load", callTimeout)
	if err != nil {
		return r, sendError(server, err)
	}
	if status != fasthttp.StatusOK {
		return r, &CallError{server: server, sent: true, refused: true, status: status, err: errors.New("load report refused")}
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return r, &CallError{server: server, sent: true, err: fmt.Errorf("read load report: %w", err)}
	}
	return r, nil
}

// Cancel ends a generation. With a reader, which a Stream names, it does so only
// while nobody else has taken the stream over.
func (c *Client) Cancel(server, addr, generation, reader string) error {
	url := "http://" + addr + "/v1/generations/" + generation
	if reader != "" {
		url += "?reader=" + reader
	}
	return c.verb(server, fasthttp.MethodDelete, url)
}

// Pause frees a generation's memory until it is resumed.
func (c *Client) Pause(server, addr, generation string) error {
	return c.verb(server, fasthttp.MethodPost, "http://"+addr+"/v1/generations/"+generation+"/pause")
}

// Unpause lets a paused generation go on; its reader stays attached.
func (c *Client) Unpause(server, addr, generation string) error {
	return c.verb(server, fasthttp.MethodPost, "http://"+addr+"/v1/generations/"+generation+"/resume")
}

func (c *Client) verb(server, method, url string) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	if err := c.calls.DoTimeout(req, resp, callTimeout); err != nil {
		return sendError(server, err)
	}
	if resp.StatusCode() != fasthttp.StatusNoContent {
		return statusError(server, resp, resp.Body())
	}
	return nil
}

// retryAfter reads a Retry-After header in seconds.
func retryAfter(resp *fasthttp.Response) time.Duration {
	n, err := strconv.Atoi(strings.TrimSpace(string(resp.Header.Peek("Retry-After"))))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}
