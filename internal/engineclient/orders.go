package engineclient

import (
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"
)

// State is what an engine says that it holds.
type State struct {
	Models    []string `json:"models"`
	Loading   []string `json:"loading"`
	Fence     uint64   `json:"fence"`
	LastOrder string   `json:"last_order"`
}

// Order is one thing for an engine to do, under the fence of the lease's holder.
type Order struct {
	ID    string `json:"id"`
	Fence uint64 `json:"fence"`
	// Op is "load" or "unload".
	Op    string `json:"op"`
	Model string `json:"model"`
}

// State asks an engine what it holds.
func (c *Client) State(server, addr string) (State, error) {
	var s State
	status, body, err := c.calls.GetTimeout(nil, "http://"+addr+"/v1/state", callTimeout)
	if err != nil {
		return s, sendError(server, err)
	}
	if status != fasthttp.StatusOK {
		return s, &CallError{server: server, sent: true, status: status, err: fmt.Errorf("state refused")}
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, &CallError{server: server, sent: true, err: fmt.Errorf("read state: %w", err)}
	}
	return s, nil
}

// Order gives an order on a connection of its own, which is closed behind it: no
// order waits in a connection for later.
func (c *Client) Order(server, addr string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("write order: %w", err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/v1/orders")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetConnectionClose()
	req.SetBody(body)
	if err := c.calls.DoTimeout(req, resp, callTimeout); err != nil {
		return sendError(server, err)
	}
	if resp.StatusCode() != fasthttp.StatusAccepted {
		return statusError(server, resp, resp.Body())
	}
	return nil
}
