// Package reader extracts the conditions that backend servers report in their answers.
//
// It wraps the connections, below package quarantine/gate, so that it sees every send and the
// header of every answer as it arrives: first sends, resends, hedges and continuations alike.
package reader

import (
	"context"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/condition"
	"github.com/dalebend/dalebend/internal/exchange"
)

// Exchanger sends requests, and finds out whether a server accepts connections.
type Exchanger interface {
	Do(ctx context.Context, t exchange.Target, r *exchange.Request) (*exchange.Response, error)
	Listens(ctx context.Context, t exchange.Target) error
}

// Reader is an Exchanger that reports answers to a Tracker. Set the fields before use.
type Reader struct {
	Exchanger

	Clock   clockwork.Clock
	Codec   backend.Codec
	Tracker *condition.Tracker
}

// Do sends a request as the embedded Exchanger does, unless the server reports that it wants none
// before the request has a connection. Answers of another server at the same address are ignored.
func (r *Reader) Do(ctx context.Context, t exchange.Target, request *exchange.Request) (*exchange.Response, error) {
	if !request.Continues {
		request.BeforeSend = func() error { return r.Tracker.CheckSend(t.Key) }
	}
	sent := r.Clock.Now()
	r.Tracker.RecordSent(t.Key)
	resp, err := r.Exchanger.Do(ctx, t, request)
	if err != nil || r.Codec.Misdirected(resp.Status) {
		return resp, err
	}
	r.Tracker.RecordAnswer(t.Key, condition.Answer{
		Condition: r.Codec.Condition(resp.Status, resp.Header), Sent: sent, Verified: r.Codec.Authentic(resp.Header),
		NotRun: r.Codec.NotRun(resp.Status, resp.Header),
	})
	return resp, nil
}
