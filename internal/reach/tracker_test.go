package reach_test

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/reach"
)

// TestTracker plays the stories in testdata: each line is an event, or what is expected.
func TestTracker(t *testing.T) {
	text, err := os.ReadFile("testdata/stories.txt")
	require.NoError(t, err)
	for _, story := range strings.Split(strings.TrimSpace(string(text)), "\n\n") {
		lines := strings.Split(story, "\n")
		t.Run(strings.TrimPrefix(lines[0], "# "), func(t *testing.T) { play(t, lines[1:]) })
	}
}

func play(t *testing.T, lines []string) {
	clock := clockwork.NewFakeClock()
	var log bytes.Buffer
	tracker := &reach.Tracker{Clock: clock, Logger: slog.New(slog.NewTextHandler(&log, nil))}
	for _, line := range lines {
		verb, arg, _ := strings.Cut(line, " ")
		switch verb {
		case "fails":
			tracker.RecordFailure(arg, errors.New("dial timed out"))
		case "answers":
			tracker.RecordContact(arg)
		case "after":
			d, err := time.ParseDuration(arg)
			require.NoError(t, err)
			clock.Advance(d)
		case "isolated":
			require.Equal(t, arg, map[bool]string{true: "yes", false: "no"}[tracker.Isolated()])
		case "logs":
			require.Contains(t, log.String(), arg)
			log.Reset()
		case "silent":
			require.Empty(t, log.String())
		default:
			t.Fatalf("no such verb: %q", verb)
		}
	}
}
