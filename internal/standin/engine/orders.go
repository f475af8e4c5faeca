package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"
)

// order is the body of POST /v1/orders.
type order struct {
	ID    string `json:"id"`
	Fence uint64 `json:"fence"`
	// Op is "load" or "unload".
	Op    string `json:"op"`
	Model string `json:"model"`
}

// stateReport is the answer of GET /v1/state.
type stateReport struct {
	Models    []string `json:"models"`
	Loading   []string `json:"loading"`
	Fence     uint64   `json:"fence"`
	LastOrder string   `json:"last_order"`
}

// orderState is what orders change.
type orderState struct {
	mu      sync.Mutex
	models  []string
	loading []string
	fence   uint64
	last    string
}

func (o *orderState) begin(models []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.models = slices.Clone(models)
}

func (o *orderState) holds(model string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.ContainsFunc(o.models, func(held string) bool {
		base, _, _ := strings.Cut(held, "@")
		return base == model
	})
}

func (o *orderState) state() stateReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	return stateReport{
		Models:    append([]string{}, o.models...),
		Loading:   append([]string{}, o.loading...),
		Fence:     o.fence,
		LastOrder: o.last,
	}
}

// take accepts an order, or says why not.
func (o *orderState) take(in order, checks bool) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if checks && in.Fence < o.fence {
		return fmt.Errorf("fence %d is below %d", in.Fence, o.fence)
	}
	o.fence = max(o.fence, in.Fence)
	o.last = in.ID
	switch in.Op {
	case "load":
		if !slices.Contains(o.models, in.Model) && !slices.Contains(o.loading, in.Model) {
			o.loading = append(o.loading, in.Model)
		}
	case "unload":
		o.models = slices.DeleteFunc(o.models, func(m string) bool { return m == in.Model })
		o.loading = slices.DeleteFunc(o.loading, func(m string) bool { return m == in.Model })
	}
	return nil
}

// loaded ends a load; one that was unloaded meanwhile stays away.
func (o *orderState) loaded(model string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	i := slices.Index(o.loading, model)
	if i < 0 {
		return
	}
	o.loading = slices.Delete(o.loading, i, i+1)
	if err == nil {
		o.models = append(o.models, model)
	}
}

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var in order
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.Error(fmt.Sprintf("read order: %v", err), fasthttp.StatusBadRequest)
		return
	}
	if in.ID == "" || in.Model == "" || in.Op != "load" && in.Op != "unload" {
		ctx.Error("an order needs id, model and op load or unload", fasthttp.StatusBadRequest)
		return
	}
	if err := e.orders.take(in, e.ChecksFence); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusConflict)
		return
	}
	if in.Op == "load" {
		go e.load(in.Model)
	}
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

func (e *Engine) load(model string) {
	var err error
	if e.Weights != nil {
		base, _, _ := strings.Cut(model, "@")
		err = e.Weights(context.Background(), base)
	}
	e.orders.loaded(model, err)
}
