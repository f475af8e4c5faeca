// Package program implements the main functions: it reads settings, runs a program and returns its
// exit code.
package program

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/dalebend/dalebend/internal/logging"
	"github.com/dalebend/dalebend/internal/settings"
	"github.com/dalebend/dalebend/internal/tracing"
)

const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2

	traceFlush = 2 * time.Second
)

// process is common to all programs: a context that ends on a signal, a logger and a tracer.
type process struct {
	ctx    context.Context
	stop   context.CancelFunc
	logger *slog.Logger
	tracer *tracing.Tracer
}

func newProcess(l *settings.Log) (*process, error) {
	logger, err := logging.New(os.Stderr, l.LogFormat, l.LogLevel)
	if err != nil {
		return nil, err
	}
	ignoreBrokenPipe()
	ctx, stop := signalContext()
	tracer, err := tracing.New(ctx, l.Trace, l.TraceRatio)
	if err != nil {
		stop()
		return nil, err
	}
	return &process{ctx: ctx, stop: stop, logger: logger, tracer: tracer}, nil
}

// end flushes traces and turns an error into an exit code.
func (p *process) end(err error, errOut io.Writer) int {
	p.stop()
	ctx, cancel := context.WithTimeout(context.Background(), traceFlush)
	defer cancel()
	if flushErr := p.tracer.Stop(ctx); flushErr != nil {
		p.logger.Warn("spans were lost", "err", flushErr)
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitFailed
	}
	return exitDone
}

// checkable is the argument of settings.Parse.
type checkable interface {
	Check() error
}

// begin reads the settings of a program and creates its process; log is the part of s for logs. It
// returns the exit code, and false if the program should exit.
func begin(s checkable, log *settings.Log, name string, args []string, out, errOut io.Writer) (p *process, code int, ok bool) {
	if code, ok := settings.Parse(s, name, args, out, errOut); !ok {
		return nil, code, false
	}
	p, err := newProcess(log)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return nil, exitUsage, false
	}
	return p, exitDone, true
}

// signalContext returns a context that ends on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// ignoreBrokenPipe makes writes to standard output and standard error fail once their reader has gone.
// Without it, the runtime ends the process at the first such write, with all requests in progress.
func ignoreBrokenPipe() { signal.Ignore(syscall.SIGPIPE) }
