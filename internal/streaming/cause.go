package streaming

import (
	"context"
	"errors"

	"github.com/dalebend/dalebend/internal/backend"
	"github.com/dalebend/dalebend/internal/exchange"
	"github.com/dalebend/dalebend/internal/quarantine"
)

// Results of offers in the log and the metrics, besides the stages of package exchange.
const (
	resultAnswered   = "answered"
	resultFailed     = "failed"
	resultFreed      = "freed"
	stageTurnedAway  = "turned-away"
	stageForeign     = "foreign"
	stageQuarantined = "quarantined"
)

// minFailedStatus is the lowest status code that reports a failure of the engine.
const minFailedStatus = 500

// causeLabels are the metric labels of causes. A joined error gets the first label that matches, so
// a later cause stands before those that led to it.
var causeLabels = []struct {
	err  error
	name string
}{
	{errNoCopy, "no-copy"},
	{errNoEvent, "no-event"},
	{errBudgetSpent, "budget"},
	{errNotContinued, "not-continued"},
	{errReplaced, "replaced"},
	{errNoEngine, "no-engine"},
	{errCrowded, "crowded"},
	{errTurnedAway, stageTurnedAway},
	{errUnproven, stageForeign},
	{backend.ErrNoCapacity, "no-room"},
	{backend.ErrNotRunning, "not-running"},
	{errSilent, "silent"},
	{context.Canceled, "caller-left"},
	{context.DeadlineExceeded, "deadline"},
}

// causeLabel returns the metric label of a cause: one of causeLabels, the stage of a failed
// exchange, or "other".
func causeLabel(cause error) string {
	for _, c := range causeLabels {
		if errors.Is(cause, c.err) {
			return c.name
		}
	}
	var refused *quarantine.RefusedError
	if errors.As(cause, &refused) {
		return stageQuarantined
	}
	var failure *exchange.Failure
	if errors.As(cause, &failure) {
		return failure.Stage().String()
	}
	return "other"
}
