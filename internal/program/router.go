package program

import (
	"fmt"
	"io"
	"net"

	"github.com/dalebend/dalebend/internal/boottime"
	"github.com/dalebend/dalebend/internal/gateway"
	"github.com/dalebend/dalebend/internal/peerrpc"
	"github.com/dalebend/dalebend/internal/policy"
	"github.com/dalebend/dalebend/internal/router"
	"github.com/dalebend/dalebend/internal/settings"
)

// Router runs dalebend-router.
func Router(args []string, out, errOut io.Writer) int {
	s := &settings.Router{}
	p, code, ok := begin(s, &s.Log, "dalebend-router", args, out, errOut)
	if !ok {
		return code
	}
	return p.end(runRouter(p, s), errOut)
}

func runRouter(p *process, s *settings.Router) error {
	tls, err := peerrpc.NewTLS(s.PeerCert, s.PeerKey, s.PeerCA)
	if err != nil {
		return err
	}
	chosen, err := policy.ByName(s.Policy)
	if err != nil {
		return err
	}
	clock := boottime.New()
	r := &router.Router{
		Box: s.Box, Domain: s.Domain, Policy: chosen, Yield: s.Yield,
		Controller: &peerrpc.Client{Addr: s.Controller, TLS: tls, Clock: clock},
		LoadLag:    s.LoadLag, PollEvery: s.PollEvery, Clock: clock, Seed: uint64(clock.Now().UnixNano()),
		Logger: p.logger.With("box", s.Box), Tracer: p.tracer,
		Gateway: gateway.Server{
			MaxConns: s.MaxConns, ResumeGrace: s.ResumeGrace, StopLag: s.StopLag, StopLimit: s.StopLimit,
		},
	}
	if s.PeerListen != "" {
		r.PeerTLS = tls
		if r.PeerListener, err = net.Listen("tcp", s.PeerListen); err != nil {
			return fmt.Errorf("listen for routers: %w", err)
		}
	}
	r.Prepare()
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	adminLn, err := net.Listen("tcp", s.Admin)
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	p.logger.Info("router begins", "box", s.Box, "listen", s.Listen)
	return r.Run(p.ctx, ln, adminLn)
}
