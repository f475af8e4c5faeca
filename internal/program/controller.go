package program

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/dalebend/dalebend/internal/admin"
	"github.com/dalebend/dalebend/internal/boottime"
	"github.com/dalebend/dalebend/internal/boxlist"
	"github.com/dalebend/dalebend/internal/controller"
	"github.com/dalebend/dalebend/internal/engineclient"
	"github.com/dalebend/dalebend/internal/journal"
	"github.com/dalebend/dalebend/internal/objectapi"
	"github.com/dalebend/dalebend/internal/peerrpc"
	"github.com/dalebend/dalebend/internal/settings"
)

const (
	controllerJournal = 2000
	explainTimeout    = time.Second
)

// Controller runs dalebend-controller.
func Controller(args []string, out, errOut io.Writer) int {
	s := &settings.Controller{}
	p, code, ok := begin(s, &s.Log, "dalebend-controller", args, out, errOut)
	if !ok {
		return code
	}
	return p.end(runController(p, s), errOut)
}

// controllerMemoryLimit makes the garbage collector run more often: a controller may use 32 MB of a
// box, and its memory is mostly garbage of successive changes.
const controllerMemoryLimit = 16 << 20

func runController(p *process, s *settings.Controller) error {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(controllerMemoryLimit)
	}
	tls, err := peerrpc.NewTLS(s.PeerCert, s.PeerKey, s.PeerCA)
	if err != nil {
		return err
	}
	clock := boottime.New()
	registry := metrics.NewRegistry()
	api := &objectapi.Client{Addr: s.ObjectAPI, Clock: clock, Metrics: registry}
	api.Prepare()
	c := &controller.Controller{
		Box: s.Box, Domain: s.Domain, API: api, TLS: tls, Clock: clock, Metrics: registry,
		Journal: journal.New(controllerJournal), Logger: p.logger.With("box", s.Box),
		Explained: func(request string, limit int) []journal.Event {
			return routerJournal(s.RouterAdmin, request, limit)
		},
	}
	c.Engines = &engineclient.Client{Clock: clock}
	c.Engines.Prepare()
	if s.BoxList != "" {
		c.Boxes = &boxlist.Client{Addr: s.BoxList, Clock: clock}
		c.Boxes.Prepare()
	}
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	p.logger.Info("controller begins", "box", s.Box, "listen", s.Listen)
	return c.Run(p.ctx, ln)
}

// routerJournal fetches the decisions of this box's router; an unreachable router has none.
func routerJournal(addr, request string, limit int) []journal.Event {
	q := url.Values{"request": {request}, "limit": {strconv.Itoa(limit)}}
	status, body, err := fasthttp.GetTimeout(nil, "http://"+addr+admin.PathJournal+"?"+q.Encode(), explainTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return nil
	}
	var events []journal.Event
	if json.Unmarshal(body, &events) != nil {
		return nil
	}
	return events
}
