package storewatch

import (
	"context"
	"time"

	"github.com/dalebend/dalebend/internal/registry"
	"github.com/dalebend/dalebend/internal/storerev"
)

// call is one call of a scripted source, waiting for its answer.
type call struct {
	from  storerev.Revision
	wait  time.Duration
	reply chan reply
}

// reply is the answer to any of the calls.
type reply struct {
	doc     []byte
	view    registry.View
	changes []registry.Change
	cordons registry.Cordons
	domains []registry.CordonChange
	at      storerev.Revision
	err     error
}

func (c call) answer(r reply) { c.reply <- r }

// script is a Source whose calls a test receives and answers, by operation.
type script struct {
	config       chan call
	watchConfig  chan call
	servers      chan call
	watchServers chan call
	cordons      chan call
	watchCordons chan call
}

func newScript() *script {
	return &script{
		config:       make(chan call),
		watchConfig:  make(chan call),
		servers:      make(chan call),
		watchServers: make(chan call),
		cordons:      make(chan call),
		watchCordons: make(chan call),
	}
}

func ask(ctx context.Context, calls chan call, from storerev.Revision, wait time.Duration) reply {
	c := call{from: from, wait: wait, reply: make(chan reply, 1)}
	select {
	case calls <- c:
	case <-ctx.Done():
		return reply{err: ctx.Err()}
	}
	select {
	case r := <-c.reply:
		return r
	case <-ctx.Done():
		return reply{err: ctx.Err()}
	}
}

func (s *script) Config(ctx context.Context) ([]byte, storerev.Revision, error) {
	r := ask(ctx, s.config, 0, 0)
	return r.doc, r.at, r.err
}

func (s *script) WatchConfig(ctx context.Context, from storerev.Revision, wait time.Duration) ([]byte, storerev.Revision, error) {
	r := ask(ctx, s.watchConfig, from, wait)
	return r.doc, r.at, r.err
}

func (s *script) Servers(ctx context.Context) (registry.View, error) {
	r := ask(ctx, s.servers, 0, 0)
	return r.view, r.err
}

func (s *script) WatchServers(
	ctx context.Context, from storerev.Revision, wait time.Duration,
) ([]registry.Change, storerev.Revision, error) {
	r := ask(ctx, s.watchServers, from, wait)
	return r.changes, r.at, r.err
}

func (s *script) Cordons(ctx context.Context) (registry.Cordons, error) {
	r := ask(ctx, s.cordons, 0, 0)
	return r.cordons, r.err
}

func (s *script) WatchCordons(
	ctx context.Context, from storerev.Revision, wait time.Duration,
) ([]registry.CordonChange, storerev.Revision, error) {
	r := ask(ctx, s.watchCordons, from, wait)
	return r.domains, r.at, r.err
}
