package sendlog_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/decisionlog"
	"github.com/dalebend/dalebend/internal/sendlog"
)

const (
	box    = "edge-kumamoto-hall-3"
	server = "i-705bdab2~E-Ci"
	// cutBytes is how much of a line a cut record keeps.
	cutBytes = 200
)

// rig is a tracker with its log.
type rig struct {
	*sendlog.Tracker

	clock     *clockwork.FakeClock
	confirmed time.Time
	log       *decisionlog.Log
	out       bytes.Buffer
}

func newRig() *rig {
	r := &rig{clock: clockwork.NewFakeClockAt(time.Date(2026, 12, 5, 6, 51, 0, 0, time.UTC))}
	r.log = decisionlog.New(&r.out, r.clock, box)
	r.confirmed = r.clock.Now()
	r.Tracker = &sendlog.Tracker{
		Clock: r.clock, Logger: r.log.Logger(), Bound: 2 * time.Second, Confirmed: func() time.Time { return r.confirmed },
	}
	return r
}

// lines returns the lines from the level on, without time and box and cut as in a short record.
func (r *rig) lines() []string {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r.log.Run(ctx)
	var lines []string
	for line := range strings.Lines(r.out.String()) {
		line = line[:min(len(line), cutBytes)]
		_, rest, _ := strings.Cut(line, `"level":`)
		lines = append(lines, strings.TrimSpace(strings.Replace(rest, `"box":"`+box+`",`, "", 1)))
	}
	return lines
}

// TestCutRecordTellsWhyASendWasLate: each way in which a request reaches a leaving server late shows in the first
// 200 bytes of the lines.
func TestCutRecordTellsWhyASendWasLate(t *testing.T) {
	for name, c := range map[string]struct {
		play  func(r *rig)
		lines []string
	}{
		"the news come late": {
			play: func(r *rig) {
				r.clock.Advance(2100 * time.Millisecond)
				r.RecordSend(server, "ab09865596a66307")
				r.clock.Advance(300 * time.Millisecond)
				r.RecordLeft(server, sendlog.Draining, "edge-saga-hall-2")
			},
			lines: []string{
				`"WARN","event":"server-left-late","server":"i-705bdab2~E-Ci","state":"draining","source":"edge-saga-hall-2","unconfirmed_ms":2400}`,
				`"WARN","event":"sent-late","request":"ab09865596a66307","server":"i-705bdab2~E-Ci","late_ms":2100,"sent_ago_ms":300}`,
			},
		},
		"it is sent although the box knows": {
			play: func(r *rig) {
				r.RecordLeft(server, sendlog.Gone, "store")
				r.clock.Advance(2100 * time.Millisecond)
				r.RecordSend(server, "ab09865596a66307")
			},
			lines: []string{
				`"INFO","event":"server-left","server":"i-705bdab2~E-Ci","state":"gone","source":"store","unconfirmed_ms":0}`,
				`"WARN","event":"sent-to-leaving","request":"ab09865596a66307","server":"i-705bdab2~E-Ci","known_ms":2100,"state":"gone","source":"`,
			},
		},
		"the box believes the server again": {
			play: func(r *rig) {
				r.RecordLeft(server, sendlog.Draining, "store")
				r.clock.Advance(2100 * time.Millisecond)
				r.RecordBack(server, "edge-saga-hall-2")
				r.RecordBack(server, "edge-saga-hall-2")
				r.RecordSend(server, "ab09865596a66307")
			},
			lines: []string{
				`"INFO","event":"server-left","server":"i-705bdab2~E-Ci","state":"draining","source":"store","unconfirmed_ms":0}`,
				`"WARN","event":"server-back","server":"i-705bdab2~E-Ci","away_ms":2100,"state":"draining","source":"edge-saga-hall-2"}`,
			},
		},
		"it is sent in time and read late": {
			play: func(r *rig) {
				r.RecordSend(server, "5a361ef664e2df1b")
				r.clock.Advance(100 * time.Millisecond)
				r.confirmed = r.clock.Now()
				r.clock.Advance(100 * time.Millisecond)
				r.RecordSend(server, "ab09865596a66307")
				r.clock.Advance(100 * time.Millisecond)
				r.RecordLeft(server, sendlog.Declining, "its answer")
				r.RecordLeft(server, sendlog.Draining, "store")
			},
			lines: []string{
				`"INFO","event":"server-left","server":"i-705bdab2~E-Ci","state":"declining","source":"its answer","unconfirmed_ms":200}`,
				`"INFO","event":"sent-before-left","request":"ab09865596a66307","server":"i-705bdab2~E-Ci","late_ms":100,"sent_ago_ms":100}`,
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			c.play(r)
			require.Equal(t, c.lines, r.lines())
		})
	}
}

// TestRetain: servers that are gone are kept until no late send to them is expected.
func TestRetain(t *testing.T) {
	r := newRig()
	r.RecordLeft(server, sendlog.Gone, "store")
	r.clock.Advance(3 * time.Second)
	none := func(string) bool { return false }
	r.Retain(none)
	r.RecordSend(server, "a")
	r.clock.Advance(4 * time.Second)
	r.Retain(none)
	r.RecordSend(server, "b")
	lines := r.lines()
	require.Len(t, lines, 2)
	require.Contains(t, lines[1], `"request":"a"`)
	var off *sendlog.Tracker
	off.RecordSend(server, "c")
	off.RecordLeft(server, sendlog.Gone, "store")
	off.RecordBack(server, "store")
	off.Retain(none)
}

// TestManySends: the latest sends are kept.
func TestManySends(t *testing.T) {
	r := newRig()
	for range 20 {
		r.clock.Advance(10 * time.Millisecond)
		r.RecordSend(server, "a")
	}
	r.RecordLeft(server, sendlog.Draining, "store")
	require.Len(t, r.lines(), 1+8)
}
