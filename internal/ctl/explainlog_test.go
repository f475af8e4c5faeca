package ctl_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/ctl"
	"github.com/dalebend/dalebend/internal/settings"
)

const (
	sentLine = `12.5 box-1 {"time":"2026-01-01T00:00:01Z","event":"request-sent","box":"box-1","request":"r1","server":"e1","attempt":1,"candidates":1}` + "\n"
	goneLine = `{"time":"2026-01-01T00:00:03Z","event":"start","box":"box-1"}` + "\n"
)

// explainLog runs the command and returns its exit code and output.
func explainLog(cmd *settings.ExplainLogCmd, in string) (code int, out, errOut string) {
	var outBuf, errBuf bytes.Buffer
	c := &ctl.Command{
		Settings: &settings.Ctl{ExplainLog: cmd, Output: "text"},
		In:       strings.NewReader(in),
		Out:      &outBuf,
		Err:      &errBuf,
		Clock:    clockwork.NewFakeClock(),
	}
	code = c.Run(context.Background())
	return code, outBuf.String(), errBuf.String()
}

// TestExplainLog reads standard input, several files, and files that lack.
func TestExplainLog(t *testing.T) {
	code, out, _ := explainLog(&settings.ExplainLogCmd{Request: "r1"}, sentLine+goneLine)
	require.Zero(t, code)
	require.Contains(t, out, "the process of box-1 ended while e1 had it")

	dir := t.TempDir()
	first, second := filepath.Join(dir, "1"), filepath.Join(dir, "2")
	require.NoError(t, os.WriteFile(first, []byte(goneLine), 0o600))
	require.NoError(t, os.WriteFile(second, []byte(sentLine), 0o600))
	code, fromFiles, _ := explainLog(&settings.ExplainLogCmd{Request: "r1", Files: []string{first, second}}, "")
	require.Zero(t, code)
	require.Equal(t, out, fromFiles)

	code, out, errOut := explainLog(&settings.ExplainLogCmd{Request: "r2", Files: []string{first}}, "")
	require.Equal(t, 1, code)
	require.Contains(t, out, "cause: unknown")
	require.Contains(t, errOut, "no line names this request: r2")

	code, _, errOut = explainLog(&settings.ExplainLogCmd{Request: "r1", Files: []string{filepath.Join(dir, "3")}}, "")
	require.Equal(t, 1, code)
	require.Contains(t, errOut, "no such file")
}

// TestTallyLog counts what standard input and files hold, and refuses negative times.
func TestTallyLog(t *testing.T) {
	tally := func(cmd *settings.TallyLogCmd, output string) (code int, out, errOut string) {
		var outBuf, errBuf bytes.Buffer
		c := &ctl.Command{
			Settings: &settings.Ctl{TallyLog: cmd, Output: output},
			In:       strings.NewReader(sentLine + goneLine),
			Out:      &outBuf, Err: &errBuf, Clock: clockwork.NewFakeClock(),
		}
		code = c.Run(context.Background())
		return code, outBuf.String(), errBuf.String()
	}
	code, out, _ := tally(&settings.TallyLogCmd{}, "text")
	require.Zero(t, code)
	require.Equal(t, "route  count  outcome  cause          example\n       1      no end   its box ended  r1\n", out)
	code, out, _ = tally(&settings.TallyLogCmd{Window: time.Second}, "json")
	require.Zero(t, code)
	require.Contains(t, out, `"outcome": "no end"`)
	code, _, errOut := tally(&settings.TallyLogCmd{Pause: -1}, "text")
	require.Equal(t, 2, code)
	require.Contains(t, errOut, "negative")
	code, _, errOut = tally(&settings.TallyLogCmd{Files: []string{filepath.Join(t.TempDir(), "none")}}, "text")
	require.Equal(t, 1, code)
	require.Contains(t, errOut, "no such file")
}
