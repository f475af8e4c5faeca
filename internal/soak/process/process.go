// Package process runs one box as a process of its own, sends it signals and
// starts it again when it has ended.
package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/soak/history"
)

const (
	// startAgain is how long after its end a box is started again.
	startAgain = 300 * time.Millisecond
	// untilReady is how long after its start a box counts as disturbed.
	untilReady = time.Second
)

// Process is a box. Set the exported fields before Run.
type Process struct {
	Name string
	// Path is the program, Args its arguments, Env its whole environment.
	Path string
	Args []string
	Env  []string
	// Log gets what the program writes.
	Log io.Writer
	// Grace is the time between SIGTERM and SIGKILL.
	Grace  time.Duration
	Clock  clockwork.Clock
	Record *history.Recorder
	Logger *slog.Logger

	mu   sync.Mutex
	cmd  *exec.Cmd
	life history.Life
	// paused counts the pauses that last.
	paused int
	// stopped ends the trouble of a stop; it is nil unless one is under way. killed is
	// the timer of its kill.
	stopped func()
	killed  clockwork.Timer
}

// Life returns the number of the process that runs, or 0.
func (p *Process) Life() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.life.Number
}

// Run keeps the box running until the context ends, then kills it. It is an error if the
// program cannot be started.
func (p *Process) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		starting := p.Record.Trouble(history.Start, history.OnBox, p.Name)
		cmd, err := p.start()
		if err != nil {
			return err
		}
		p.Clock.AfterFunc(untilReady, starting)
		stop := context.AfterFunc(ctx, p.Kill)
		err = cmd.Wait()
		stop()
		p.ended(cmd, err)
		down := p.Record.Trouble(history.Down, history.OnBox, p.Name)
		select {
		case <-ctx.Done():
		case <-p.Clock.After(startAgain):
		}
		down()
	}
	return nil
}

// start starts the program as the next life of the box.
func (p *Process) start() (*exec.Cmd, error) {
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = p.Env
	cmd.Stdout = p.Log
	cmd.Stderr = p.Log
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start box %s: %w", p.Name, err)
	}
	p.cmd = cmd
	p.life = history.Life{Box: p.Name, Number: p.life.Number + 1, From: p.Record.Now()}
	return cmd, nil
}

// ended writes the process down, and ends its stop if it got one.
func (p *Process) ended(cmd *exec.Cmd, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = nil
	p.life.To = p.Record.Now()
	p.life.End = cmd.ProcessState.String()
	life := p.life
	p.Record.Add(func(h *history.History) { h.Lives = append(h.Lives, life) })
	p.Logger.Debug("box ended", "box", p.Name, "life", p.life.Number, "end", p.life.End, "error", err)
	if p.stopped != nil {
		p.stopped()
		p.killed.Stop()
		p.stopped = nil
	}
}

// Stop tells the box to end, and kills it after the grace. It does nothing if the box does
// not run or is being stopped.
func (p *Process) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.stopped != nil {
		return
	}
	p.stopped = p.Record.Trouble(history.Stop, history.OnBox, p.Name)
	p.life.Stopped = p.Record.Now()
	p.life.Signalled = true
	p.signal(syscall.SIGTERM)
	cmd := p.cmd
	p.killed = p.Clock.AfterFunc(p.Grace, func() { p.killLate(cmd) })
}

// killLate kills a process that has used up its grace.
func (p *Process) killLate(cmd *exec.Cmd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == cmd {
		p.signal(syscall.SIGKILL)
	}
}

// Kill ends the box at once.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.life.Signalled = true
	p.signal(syscall.SIGKILL)
}

// HangUp tells the box that its settings may have changed.
func (p *Process) HangUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	one := history.HangUp{Box: p.Name, At: p.Record.Now()}
	p.Record.Add(func(h *history.History) { h.HangUps = append(h.HangUps, one) })
	p.signal(syscall.SIGHUP)
}

// Pause stops the box from running until what it returns is called. It runs again
// when the last of several pauses has ended.
func (p *Process) Pause() (wake func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused++
	p.signal(syscall.SIGSTOP)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.paused--
		if p.paused == 0 {
			p.signal(syscall.SIGCONT)
		}
	}
}

// signal sends a signal to the process, by its id, if it runs. It is locked.
func (p *Process) signal(s os.Signal) {
	if p.cmd == nil {
		return
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.Logger.Warn("signal was not sent", "box", p.Name, "signal", s, "error", err)
	}
}
