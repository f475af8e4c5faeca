// Package ctl carries out the commands of dalebendctl.
//
// A file is accepted whole or not at all. Each command prints one result, as text
// or as JSON, and ends with a documented exit code.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/boxlist"
	"github.com/dalebend/dalebend/internal/configstore"
	"github.com/dalebend/dalebend/internal/objectapi"
	"github.com/dalebend/dalebend/internal/peerrpc"
	"github.com/dalebend/dalebend/internal/settings"
)

// Exit codes.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitBadFile     = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitWaitOver    = 6
)

// Command is one run of dalebendctl. Set the exported fields before Run.
type Command struct {
	// Settings name the command.
	Settings *settings.Ctl
	// In is read by commands that take no file.
	In io.Reader
	// Out and Err are where results and errors go.
	Out io.Writer
	Err io.Writer
	// Clock gives the time.
	Clock clockwork.Clock

	store *configstore.Store
	boxes *boxlist.Client
}

// errors with exit codes of their own.
var (
	errBadFile  = errors.New("fleet file cannot be used")
	errWaitOver = errors.New("wait is over")
	errUsage    = errors.New("bad usage")
)

// Run carries the command out and returns its exit code.
func (c *Command) Run(ctx context.Context) int {
	api := &objectapi.Client{Addr: c.Settings.ObjectAPI, Clock: c.Clock, Reads: operatorRate, Writes: operatorRate}
	api.Prepare()
	c.store = &configstore.Store{API: api, Clock: c.Clock}
	c.boxes = &boxlist.Client{Addr: c.Settings.BoxList, Clock: c.Clock}
	c.boxes.Prepare()
	result, err := c.run(ctx)
	if result != nil {
		c.print(result)
	}
	if err != nil {
		fmt.Fprintf(c.Err, "dalebendctl: %v\n", err)
	}
	return exitCode(err)
}

// operatorRate bounds the calls a second of one command.
const operatorRate = 20

// result is what a command prints.
type result interface {
	// text writes the result for people.
	text(w io.Writer)
}

func (c *Command) run(ctx context.Context) (result, error) {
	s := c.Settings
	switch {
	case s.Validate != nil:
		return c.validate(s.Validate)
	case s.Diff != nil:
		return c.diff(s.Diff)
	case s.Apply != nil:
		return c.apply(ctx, s.Apply)
	case s.Get != nil:
		return c.get(s.Get)
	case s.History != nil:
		return c.history(s.History)
	case s.Rollback != nil:
		return c.rollback(s.Rollback)
	case s.Status != nil:
		return c.status(ctx)
	case s.Explain != nil:
		return c.explain(ctx, s.Explain)
	case s.Drain != nil:
		return c.drain(s.Drain)
	default:
		return c.runOnLogs()
	}
}

// runOnLogs runs the commands that read decision logs.
func (c *Command) runOnLogs() (result, error) {
	s := c.Settings
	switch {
	case s.ExplainLog != nil:
		return c.explainLog(s.ExplainLog)
	case s.TallyLog != nil:
		return c.tallyLog(s.TallyLog)
	default:
		return nil, fmt.Errorf("%w: name a command; see --help", errUsage)
	}
}

func (c *Command) print(r result) {
	if c.Settings.Output == "json" {
		enc := json.NewEncoder(c.Out)
		enc.SetIndent("", "  ")
		_ = enc.Encode(r)
		return
	}
	r.text(c.Out)
}

// exitCode returns the code that tells scripts what failed.
func exitCode(err error) int {
	var conflict *configstore.ConflictError
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, errBadFile):
		return exitBadFile
	case errors.As(err, &conflict):
		return exitConflict
	case errors.Is(err, objectapi.ErrUnavailable), errors.Is(err, objectapi.ErrUncertain):
		return exitUnavailable
	case errors.Is(err, errWaitOver):
		return exitWaitOver
	case errors.Is(err, errUsage):
		return exitUsage
	default:
		return exitFailed
	}
}

// peer returns the rpc client of a box's controller.
func (c *Command) peer(b boxlist.Box) (*peerrpc.Client, error) {
	tls, err := peerrpc.NewTLS(c.Settings.PeerCert, c.Settings.PeerKey, c.Settings.PeerCA)
	if err != nil {
		return nil, err
	}
	return &peerrpc.Client{Addr: b.Control, TLS: tls, Clock: c.Clock}, nil
}
