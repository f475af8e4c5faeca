// Package reader extracts the conditions that backend servers report in their answers.
//
// It wraps the connections, below package quarantine/gate, so that it sees every send and the
// header of every answer as it arrives: first sends, resends, hedges and continuations alike.
package reader

import (
	"context"
	"errors"
	"fmt"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/condition"
	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/heldup"
	"github.com/dalebend/dalebend/internal/sendlog"
)

// Exchanger sends requests, and finds out whether a server accepts connections.
type Exchanger interface {
	Do(ctx context.Context, t exchange.Target, r *exchange.Request) (*exchange.Response, error)
	Listens(ctx context.Context, t exchange.Target) error
}

// Servers looks up server instances by id.
type Servers interface {
	// Takes reports whether an instance may get new work, MayContinue whether it may get a request that
	// continues work it holds.
	Takes(id string) bool
	MayContinue(id string) bool
}

// Reader is an Exchanger that reports answers to a Tracker. Set the fields before use.
type Reader struct {
	Exchanger

	Clock   clockwork.Clock
	Codec   backend.Codec
	Servers Servers
	Tracker *condition.Tracker
	// Sends records each request that is about to be written; it may be nil.
	Sends *sendlog.Tracker
	// HeldUp delays sends after a pause of the process, until what is known is current again; it may be nil.
	HeldUp *heldup.Detector
}

// errLeft means that a request is not sent because its server has begun to leave, or is gone.
var errLeft = errors.New("withheld: the server leaves or is gone")

// Do sends a request as the embedded Exchanger does, unless the server leaves or reports that it
// wants none before the request has a connection. Answers of another server at the same address are
// ignored.
func (r *Reader) Do(ctx context.Context, t exchange.Target, request *exchange.Request) (*exchange.Response, error) {
	beforeSend := request.BeforeSend
	request.BeforeSend = func() error {
		if err := r.HeldUp.Await(ctx); err != nil {
			return err
		}
		if err := r.checkSend(t.Key, request.Continues); err != nil {
			return err
		}
		if beforeSend != nil {
			if err := beforeSend(); err != nil {
				return err
			}
		}
		r.Sends.RecordSend(t.Key, request.ID)
		return nil
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

// checkSend returns why a request must not be sent to the server that was chosen for it, nil if it
// may.
func (r *Reader) checkSend(server string, continues bool) error {
	switch {
	case continues && !r.Servers.MayContinue(server), !continues && !r.Servers.Takes(server):
		return fmt.Errorf("%w: %s", errLeft, server)
	case continues:
		return nil
	default:
		return r.Tracker.CheckSend(server)
	}
}
