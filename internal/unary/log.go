package unary

import (
	"context"
	"errors"
	"log/slog"
	"math"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/internal/fingerprint"
	"github.com/dalebend/dalebend/internal/picker"
)

// Results of sends in the log and the metrics, besides the stages of package exchange.
const (
	resultAnswered    = "answered"
	resultStatus      = "failed"
	resultSlow        = "slow"
	resultNoRoom      = "no-room"
	resultQuarantined = "quarantined"
	stageTurnedAway   = "turned-away"
	stageAnswered     = "answered"
)

var (
	errUnproven = errors.New("success without the server's proof")
	errSlow     = errors.New("the first backend server takes long")
)

// resend is the reason for sending a request to a further server; it is zero for the first.
type resend struct {
	// from is the server that had the request before.
	from  string
	cause error
	// result is the metric label of the cause.
	result string
}

// logSend logs the chosen server and the reason for the choice.
func (f *flight) logSend(attempt int, c *picker.Candidate, why resend) {
	if attempt > 1 {
		f.logResent(attempt, c, why)
	}
	attrs := make([]slog.Attr, 0, sentAttrs)
	attrs = append(attrs,
		slog.String(event.KeyServer, c.ID), slog.Int(event.KeyAttempt, attempt),
		slog.String(event.KeyCause, c.Reason()), slog.Int(event.KeyCandidates, c.PoolSize),
		slog.Float64(event.KeyRank, roundRank(c.Rank)))
	f.log(event.RequestSent, f.sender.Staleness.Append(attrs))
}

// sentAttrs is the maximum number of attributes in a line about a send.
const sentAttrs = 9

func (f *flight) logResent(attempt int, c *picker.Candidate, why resend) {
	f.sender.Metrics.OrDiscard().Resends.Inc(why.result)
	attrs := []slog.Attr{
		slog.String(event.KeyFrom, why.from), slog.String(event.KeyTo, c.ID),
		slog.Int(event.KeyAttempt, attempt),
		slog.Int(event.KeyBudgetLeft, f.sender.RetryBudget.Remaining(f.job.Service.Name)),
	}
	if why.cause != nil {
		attrs = append(attrs, slog.String(event.KeyCause, why.cause.Error()))
	}
	f.log(event.RequestResent, attrs)
}

// logNotResent logs why a server's failure is passed on to the caller.
func (f *flight) logNotResent(from string, cause error) {
	f.mu.Lock()
	attempts := len(f.tried)
	f.mu.Unlock()
	f.log(event.RequestNotResent, []slog.Attr{
		slog.String(event.KeyFrom, from), slog.Int(event.KeyAttempt, attempts),
		slog.String(event.KeyCause, cause.Error()),
		slog.Int(event.KeyBudgetLeft, f.sender.RetryBudget.Remaining(f.job.Service.Name)),
	})
}

// logByPeer logs that a server was reached through a peer.
func (f *flight) logByPeer(c *picker.Candidate, peer string) {
	if peer != "" {
		f.log(event.RequestByPeer, []slog.Attr{slog.String(event.KeyServer, c.ID), slog.String(event.KeyPeer, peer)})
	}
}

// logFailed logs a send without an answer.
func (f *flight) logFailed(c *picker.Candidate, stage string, perhapsRun bool, cause string) {
	f.count(c, stage)
	attrs := []slog.Attr{
		slog.String(event.KeyServer, c.ID), slog.String(event.KeyStage, stage),
		slog.Bool(event.KeyPerhapsRun, perhapsRun), slog.String(event.KeyCause, cause),
	}
	if perhapsRun {
		attrs = append(attrs, slog.String(event.KeyFingerprint, f.fingerprint().String()),
			slog.Any(event.KeySegments, f.job.Request.SharedSegments))
	}
	f.log(event.RequestFailed, attrs)
}

func (f *flight) fingerprint() fingerprint.Fingerprint {
	return fingerprint.Of(f.job.Request, f.job.Account)
}

// logStatus logs a failure answered by a server when another server may be tried.
func (f *flight) logStatus(c *picker.Candidate, status int) {
	f.log(event.RequestFailed, []slog.Attr{
		slog.String(event.KeyServer, c.ID), slog.String(event.KeyStage, stageAnswered),
		slog.Int(event.KeyStatus, status), slog.Bool(event.KeyPerhapsRun, true),
		slog.String(event.KeyCause, errServerFailed.Error()),
	})
}

// count counts the result of a send.
func (f *flight) count(c *picker.Candidate, result string) {
	f.sender.Metrics.OrDiscard().Attempts.Inc(c.ID, result)
}

// log writes a decision log line about the request.
func (f *flight) log(name event.Name, attrs []slog.Attr) {
	attrs = append(attrs, slog.String(event.KeyRequest, f.job.Request.ID))
	f.sender.Logger.LogAttrs(context.Background(), name.Level(), string(name), attrs...)
}

// roundRank rounds to three decimals; more are not significant in a rank.
func roundRank(rank float64) float64 { return math.Round(rank*1000) / 1000 }
