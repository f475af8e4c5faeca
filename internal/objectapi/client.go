// Package objectapi is a rate-limited client of the platform's object API.
//
// Every call is counted by its kind and against a local rate limit; a watch counts
// as one call. After a failure, calls fail at once until a back-off with full jitter
// ends, so that retries don't worsen an outage. A write whose response is lost is
// reported as uncertain: the caller reads the object to see if its own value is there.
package objectapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/dalebend/dalebend/internal/dialer"
)

const (
	callTimeout    = 3 * time.Second
	dialTimeout    = time.Second
	watchSlack     = 3 * time.Second
	initialBackOff = 100 * time.Millisecond
	maxBackOff     = 10 * time.Second
	// minBurst allows a short burst of calls, however low the rate.
	minBurst = 10
	maxValue = 4 << 20
)

// Errors that callers distinguish.
var (
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("no such object")
	// ErrConflict means that the object's version is not the expected one.
	ErrConflict = errors.New("object has another version")
	// ErrUnavailable means that the store was not reached, or did not accept the call.
	ErrUnavailable = errors.New("object API is unavailable")
	// ErrUncertain means that a write failed but may have taken effect.
	ErrUncertain = errors.New("answer of the object API was lost")
)

// Client calls the object API. Set the exported fields before Prepare.
type Client struct {
	// Addr is HOST:PORT.
	Addr  string
	Clock clockwork.Clock
	// Metrics counts calls by kind.
	Metrics metrics.Registry
	// Reads and Writes limit this box's calls per second; 0 means the default.
	Reads  float64
	Writes float64

	dialer  *dialer.Dialer
	http    *fasthttp.Client
	reads   *rate.Limiter
	writes  *rate.Limiter
	mu      sync.Mutex
	backOff *backoff.ExponentialBackOff
	retryAt time.Time
	down    bool
}

// Object is one stored value.
type Object struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	Deleted bool   `json:"deleted"`
}

// Page is the result of List or Watch: the objects written after a revision.
type Page struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Default calls per second, in effect until SetBoxes divides the total rates.
const (
	defaultReadRate  = 50
	defaultWriteRate = 10
)

// Calls per second of all boxes together. The rest of the platform's limits is left
// for operators, and for times when the boxes disagree on how many they are.
const (
	totalReadRate  = 1200
	totalWriteRate = 60
)

// SetBoxes sets this box's rate limits to its share of the totals among n live boxes,
// but not below 1 read a second and a write each 5 s.
func (c *Client) SetBoxes(n int) {
	const minReadRate, minWriteRate = 1.0, 0.2
	reads := max(totalReadRate/float64(max(n, 1)), minReadRate)
	writes := max(totalWriteRate/float64(max(n, 1)), minWriteRate)
	c.reads.SetLimit(rate.Limit(min(reads, maxBoxRate)))
	c.writes.SetLimit(rate.Limit(min(writes, maxBoxRate)))
}

// maxBoxRate limits one box's share, in calls per second, when there are few boxes.
const maxBoxRate = 50

// Prepare applies the defaults and builds the HTTP client.
func (c *Client) Prepare() {
	if c.Reads == 0 {
		c.Reads = defaultReadRate
	}
	if c.Writes == 0 {
		c.Writes = defaultWriteRate
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	c.reads = rate.NewLimiter(rate.Limit(c.Reads), max(int(2*c.Reads), minBurst))
	c.writes = rate.NewLimiter(rate.Limit(c.Writes), max(int(2*c.Writes), minBurst))
	d := &dialer.Dialer{Clock: c.Clock, Timeout: dialTimeout}
	c.dialer = d
	c.http = &fasthttp.Client{
		Dial:                      d.Dial,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxValue,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		NoDefaultUserAgentHeader: true,
	}
	c.backOff = backoff.NewExponentialBackOff()
	c.backOff.InitialInterval = initialBackOff
	c.backOff.MaxInterval = maxBackOff
	// recordResult draws the full jitter; the library only grows the interval.
	c.backOff.RandomizationFactor = 0
}

// Abort makes pending calls fail, for shutdown.
func (c *Client) Abort() { c.dialer.AbortAll() }

// Down reports whether the last attempted call ended in ErrUnavailable or ErrUncertain.
func (c *Client) Down() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down
}

// Get reads one object; it returns ErrNotFound if there is none.
func (c *Client) Get(kind, name string) (Object, error) {
	o := Object{Name: name}
	err := c.call("get", kind, c.reads, callTimeout, func(req *fasthttp.Request) {
		req.SetRequestURI(c.url(kind, name))
	}, func(resp *fasthttp.Response) error {
		v, err := version(resp)
		o.Version = v
		o.Value = append([]byte(nil), resp.Body()...)
		return err
	})
	return o, err
}

// List reads the objects of a kind that were written after a revision.
func (c *Client) List(kind, prefix string, after uint64) (Page, error) {
	return c.list("list", kind, prefix, after, 0)
}

// Watch blocks until an object of the kind is written after a revision. If none is
// within wait, the page has no objects.
func (c *Client) Watch(kind string, after uint64, wait time.Duration) (Page, error) {
	return c.list("watch", kind, "", after, wait)
}

func (c *Client) list(op, kind, prefix string, after uint64, wait time.Duration) (Page, error) {
	var page Page
	err := c.call(op, kind, c.reads, wait+watchSlack, func(req *fasthttp.Request) {
		q := url.Values{}
		q.Set("after", strconv.FormatUint(after, 10))
		if prefix != "" {
			q.Set("prefix", prefix)
		}
		if wait > 0 {
			q.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
		}
		req.SetRequestURI("http://" + c.Addr + "/v1/objects/" + kind + "?" + q.Encode())
	}, func(resp *fasthttp.Response) error {
		return json.Unmarshal(resp.Body(), &page)
	})
	return page, err
}

// Create writes an object that must not exist yet.
func (c *Client) Create(kind, name string, value []byte) (uint64, error) {
	return c.write(fasthttp.MethodPut, kind, name, value, 0)
}

// Update writes an object if its version is expect.
func (c *Client) Update(kind, name string, value []byte, expect uint64) (uint64, error) {
	return c.write(fasthttp.MethodPut, kind, name, value, expect)
}

// Delete removes an object if its version is expect.
func (c *Client) Delete(kind, name string, expect uint64) error {
	_, err := c.write(fasthttp.MethodDelete, kind, name, nil, expect)
	return err
}

func (c *Client) write(method, kind, name string, value []byte, expect uint64) (uint64, error) {
	var v uint64
	err := c.call("write", kind, c.writes, callTimeout, func(req *fasthttp.Request) {
		req.SetRequestURI(c.url(kind, name))
		req.Header.SetMethod(method)
		if expect == 0 {
			req.Header.Set("If-None-Match", "*")
		} else {
			req.Header.Set("If-Match", `"`+strconv.FormatUint(expect, 10)+`"`)
		}
		req.SetBody(value)
	}, func(resp *fasthttp.Response) error {
		var err error
		v, err = version(resp)
		return err
	})
	return v, err
}

func (c *Client) url(kind, name string) string {
	return "http://" + c.Addr + "/v1/objects/" + kind + "/" + url.PathEscape(name)
}

// call makes one call, subject to back-off and rate limit, and reads its response.
func (c *Client) call(op, kind string, limit *rate.Limiter, timeout time.Duration,
	fill func(*fasthttp.Request), read func(*fasthttp.Response) error,
) error {
	now := c.Clock.Now()
	if !c.ready(now) {
		return fmt.Errorf("%s %s: %w: waiting after failures", op, kind, ErrUnavailable)
	}
	if !limit.AllowN(now, 1) {
		metrics.GetOrRegisterCounter("objectapi.over_budget", c.Metrics).Inc(1)
		return fmt.Errorf("%s %s: %w: this box's own rate is used up", op, kind, ErrUnavailable)
	}
	metrics.GetOrRegisterCounter("objectapi."+op+"."+kind, c.Metrics).Inc(1)
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fill(req)
	err := c.http.DoTimeout(req, resp, timeout)
	if err == nil {
		err = status(resp)
	} else {
		err = transportError(op, err)
	}
	c.recordResult(err)
	if err != nil {
		return fmt.Errorf("%s %s: %w", op, kind, err)
	}
	if err := read(resp); err != nil {
		return fmt.Errorf("%s %s: read answer: %w", op, kind, err)
	}
	return nil
}

// transportError returns ErrUncertain for a write that may have been sent.
func transportError(op string, err error) error {
	var dial *dialer.Error
	if errors.As(err, &dial) || op != "write" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrUncertain, err)
}

func status(resp *fasthttp.Response) error {
	switch code := resp.StatusCode(); {
	case code == fasthttp.StatusNotFound:
		return ErrNotFound
	case code == fasthttp.StatusPreconditionFailed:
		return ErrConflict
	case code == fasthttp.StatusTooManyRequests, code >= fasthttp.StatusInternalServerError:
		return fmt.Errorf("%w: status %d", ErrUnavailable, code)
	case code >= fasthttp.StatusBadRequest:
		return fmt.Errorf("status %d: %s", code, bytes.TrimSpace(resp.Body()))
	default:
		return nil
	}
}

func version(resp *fasthttp.Response) (uint64, error) {
	v, err := strconv.ParseUint(string(bytes.Trim(resp.Header.Peek("ETag"), `"`)), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("ETag is not a quoted version: %w", err)
	}
	return v, nil
}

// ready reports whether the back-off after failures is over.
func (c *Client) ready(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.retryAt)
}

// recordResult starts a back-off after a failure, or resets it.
func (c *Client) recordResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUncertain)
	if !c.down {
		c.backOff.Reset()
		c.retryAt = time.Time{}
		return
	}
	metrics.GetOrRegisterCounter("objectapi.failures", c.Metrics).Inc(1)
	full := c.backOff.NextBackOff()
	c.retryAt = c.Clock.Now().Add(rand.N(full))
}
