package gateway

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/apierror"
	"github.com/dalebend/dalebend/internal/outcome"
)

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) handleModels(ctx *fasthttp.RequestCtx, c *call) *apierror.Error {
	if err := needMethod(ctx, fasthttp.MethodGet); err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range c.snap.Models() {
		list.Data = append(list.Data, modelItem{ID: m, Object: "model", OwnedBy: c.snap.Name()})
	}
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(outcome.Header, outcome.Done.String())
	_ = json.NewEncoder(ctx).Encode(list)
	return nil
}

// handleReady says whether the balancer should send requests here.
func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	reason := ""
	switch {
	case s.leaving.Load():
		reason = "leaving"
	case s.Fleet.Current() == nil:
		reason = "no configuration yet"
	case s.isolated.Load():
		reason = "cut off from the configuration"
	}
	if reason == "" {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString(reason + "\n")
}
