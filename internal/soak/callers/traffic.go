package callers

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/soak/backends"
	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/operator"
	"github.com/dalebend/dalebend/platform/standin"
)

const (
	// plainWait and streamWait are how long callers wait: as long as the operator's
	// routes allow.
	plainWait  = 2 * time.Second
	streamWait = 6 * time.Second
	// mostBody is the size of the largest body, in words.
	mostBody = 40
	// prompt is the number of tokens of a prompt.
	prompt = 300
)

// order is a request that is to be sent: what the caller knows of it.
type order struct {
	history.Request

	// wait is how long the caller waits, most the tokens that it takes at most; 0 is a
	// plain request.
	wait time.Duration
	most int
	// chunked bodies are sent without their length.
	chunked bool
}

// call returns the order as it is sent.
func (o *order) call() standin.Call {
	c := standin.Call{
		ID: o.ID, Key: o.Key, Method: o.Method, Host: o.Host, URI: o.URI,
		Body: o.Body, Chunked: o.chunked, Timeout: o.wait, MaxTokens: o.most,
		Segments: o.Segments,
	}
	if o.most > 0 {
		c.PromptTokens = prompt
	}
	return c
}

// draw draws a caller's next request.
func draw(rng *rand.Rand, id string) *order {
	hosts := []string{operator.OnceHost, operator.ManyHost, operator.ChatHost}
	return newOrder(rng, id, hosts[rng.IntN(len(hosts))], operator.BaseKey)
}

// probe draws a request that shows which version is in force: on a route, or with a
// key, that came with one of the latest versions.
func probe(rng *rand.Rand, id string, recent []int64) *order {
	number := recent[rng.IntN(len(recent))]
	if rng.IntN(2) == 0 {
		return newOrder(rng, id, operator.ProbeHost(number), operator.BaseKey)
	}
	return newOrder(rng, id, operator.ManyHost, operator.ProbeKey(number))
}

// newOrder draws a request to a host with a key.
func newOrder(rng *rand.Rand, id, host, key string) *order {
	methods := []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, "PURGE"}
	o := &order{wait: plainWait, Request: history.Request{
		ID: id, Method: methods[rng.IntN(len(methods))], Host: host, Key: key, Account: operator.Account(key),
		URI:        fmt.Sprintf("/a%%2F%d|b/?q=%%20%d&q", rng.IntN(100), rng.IntN(100)),
		Repeatable: host != operator.OnceHost && host != operator.ChatHost, Timeout: operator.Timeout(host),
	}}
	if o.Method != http.MethodGet {
		o.chunked = rng.IntN(2) == 0
		o.Body = strings.Repeat("body of "+id+" ", 1+rng.IntN(mostBody))
	}
	if host == operator.ChatHost {
		o.wait = streamWait
		o.Events = backends.Events(id)
		o.most = o.Events * operator.TokensPerEvent
		o.Segments = backends.Segments(id)
	}
	return o
}
