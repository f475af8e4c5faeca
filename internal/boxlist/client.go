// Package boxlist reads the platform's list of boxes. The list lags: it is only a hint of which
// boxes exist, not proof.
package boxlist

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/dialer"
	"github.com/dalebend/dalebend/internal/jsonsplit"
)

// Path is the path of the list on the platform's server.
const Path = "/v1/boxes"

// Roles and states of boxes.
const (
	RoleEntry    = "entry"
	RoleBackend  = "backend"
	StateLive    = "live"
	StateLeaving = "leaving"
)

const (
	callTimeout = 2 * time.Second
	dialTimeout = time.Second
	// maxListBytes bounds the list, which takes some hundred bytes for each box.
	maxListBytes = 8 << 20
)

// Box is one entry of the list.
type Box struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// Role is "entry" for boxes of the system, "backend" for backend servers.
	Role string `json:"role"`
	// State is "live" or "leaving"; a box that is gone is not listed.
	State string `json:"state"`
	// Control is HOST:PORT of an entry box's controller.
	Control string `json:"control,omitempty"`
	// Router is HOST:PORT of an entry box's router for other routers.
	Router string `json:"router,omitempty"`
}

// List is the platform's answer.
type List struct {
	Revision uint64 `json:"revision"`
	Boxes    []Box  `json:"boxes"`
	// Refused holds why entries that are not among Boxes could not be decoded. It is set once for each
	// list that the server sent.
	Refused []error `json:"-"`
}

// Client reads the list. Set the exported fields before Prepare.
type Client struct {
	// Addr is HOST:PORT.
	Addr  string
	Clock clockwork.Clock

	http *fasthttp.Client
	last List
	etag string
}

// Prepare makes the client ready for use.
func (c *Client) Prepare() {
	d := &dialer.Dialer{Clock: c.Clock, Timeout: dialTimeout}
	c.http = &fasthttp.Client{Dial: d.Dial, NoDefaultUserAgentHeader: true, MaxResponseBodySize: maxListBytes}
}

// Read returns the current list. The server does not send an unchanged list again, as it grows with
// the fleet and is read every few seconds. Read is not safe for concurrent use.
func (c *Client) Read() (List, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.Addr + Path)
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	if err := c.http.DoTimeout(req, resp, callTimeout); err != nil {
		return List{}, fmt.Errorf("read box list: %w", err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusNotModified:
		return c.last, nil
	case fasthttp.StatusOK:
	default:
		return List{}, fmt.Errorf("read box list: status %d", resp.StatusCode())
	}
	l, err := decode(resp.Body())
	if err != nil {
		return List{}, fmt.Errorf("read box list: %w", err)
	}
	c.last, c.etag = l, string(resp.Header.Peek("ETag"))
	c.last.Refused = nil
	return l, nil
}

// errNoBoxes means that an answer is no list, errNoName that an entry is no box.
var (
	errNoBoxes = errors.New("it has no boxes")
	errNoName  = errors.New("it has no name")
)

// decode decodes a list, its boxes one by one, so that a malformed or deeply nested one does not hide the others.
func decode(body []byte) (List, error) {
	members, err := jsonsplit.Members(body)
	if err != nil {
		return List{}, err
	}
	var l List
	err = errNoBoxes
	for _, m := range members {
		switch m.Name {
		case "revision":
			if err := json.Unmarshal(m.Value, &l.Revision); err != nil {
				return List{}, err
			}
		case "boxes":
			err = l.decodeBoxes(m.Value)
		}
	}
	return l, err
}

func (l *List) decodeBoxes(value json.RawMessage) error {
	if string(value) == "null" {
		return nil
	}
	boxes, err := jsonsplit.Elements(value)
	for i, text := range boxes {
		var b Box
		err := json.Unmarshal(text, &b)
		if err == nil && b.Name == "" {
			err = errNoName
		}
		if err != nil {
			l.Refused = append(l.Refused, fmt.Errorf("box %d of the list: %w", i, err))
			continue
		}
		l.Boxes = append(l.Boxes, b)
	}
	return err
}
