package streaming

import "errors"

// Reasons why a generation was not offered to another engine.
var (
	errMoveTooCostly = errors.New("the move would preempt more than it saves")
	errNoEngine      = errors.New("no engine may take new work")
	errCrowded       = errors.New("no engine has room in time")
	errBudgetSpent   = errors.New("retry budget is spent")
	errOfferedEnough = errors.New("it was offered to enough engines")
	errNoCopy        = errors.New("no engine holds a copy of its memory")
	errNoEvent       = errors.New("no event was passed on, and it would run a second time")
	errSilent        = errors.New("the stream fell silent")
	errReplaced      = errors.New("the engine has started again and holds nothing of it")
	errWithdrawn     = errors.New("the present engine needs no replacement any more")
	errSwitched      = errors.New("the stream went on at another engine")
)

// Broken is the error of a stream that ended early after a part of it was passed on.
type Broken struct{ cause error }

func (e *Broken) Error() string { return "stream broke: " + e.cause.Error() }

func (e *Broken) Unwrap() error { return e.cause }
