package box_test

import (
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
	"github.com/dalebend/dalebend/platform/standin"
)

// requireDeclared requires that the lines of each event have only keys declared for it.
func (j *logRecorder) requireDeclared(t *testing.T) {
	t.Helper()
	keys := make(map[string][]string)
	for _, d := range event.Declarations() {
		keys[string(d.Name)] = d.Keys
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, l := range j.lines {
		if declared, ok := keys[l.name]; ok {
			require.Subset(t, declared, slices.Collect(maps.Keys(l.attrs)), l.name)
		}
	}
}

// named returns the lines of an event.
func (j *logRecorder) named(name event.Name) []line {
	j.mu.Lock()
	defer j.mu.Unlock()
	var lines []line
	for _, l := range j.lines {
		if l.name == string(name) {
			lines = append(lines, l)
		}
	}
	return lines
}

// scrape returns the metrics page.
func (r *rig) scrape() string {
	resp, err := http.Get("http://" + r.settings.Metrics + "/metrics")
	require.NoError(r.t, err)
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	require.NoError(r.t, err)
	return string(page)
}

// TestMetrics checks that a box counts its work and exports its state.
func TestMetrics(t *testing.T) {
	r, _ := withServers(t, "plain", "a")
	got, _ := r.ask(standin.Call{ID: "q1", Host: "once.test", URI: "/"})
	require.Equal(t, http.StatusOK, got.Status)
	got, _ = r.ask(standin.Call{ID: "q2", Host: "none.test", URI: "/"})
	require.Equal(t, http.StatusNotFound, got.Status)
	// The end of a request is counted after its answer is sent.
	r.log.await(event.RequestEnded, nil)
	page := r.scrape()
	for _, sample := range []string{
		`dalebend_requests_total{kind="whole",outcome="done"} 1`,
		`dalebend_requests_total{kind="unknown",outcome="refused"} 1`,
		`dalebend_refusals_total{reason="unknown-route"} 1`,
		`dalebend_attempts_total{server="a",result="answered"} 1`,
		`dalebend_answer_seconds_count{kind="whole"} 1`,
		`dalebend_config_version 1`,
		`dalebend_config_age_seconds 0`,
		`dalebend_servers 1`,
		`dalebend_live_boxes 1`,
		`dalebend_exchange_dialed 1`,
		`dalebend_store_calls_list`,
	} {
		require.Contains(t, page, "\n"+sample)
	}
}

// TestMetricsServedFromStart guards against a scrape that is refused because the box logs its start
// before it listens for scrapes: a test that then waited for a sample waited in vain.
func TestMetricsServedFromStart(t *testing.T) {
	r := newRig(t)
	dialed := make(chan error, 1)
	r.log.onLine = func(name string) {
		if name != string(event.Start) {
			return
		}
		conn, err := net.Dial("tcp", r.settings.Metrics)
		if err == nil {
			err = conn.Close()
		}
		dialed <- err
	}
	r.run()
	require.NoError(t, <-dialed)
}

// TestMetricsAddressTaken checks that a box whose metrics can't be served serves its callers.
func TestMetricsAddressTaken(t *testing.T) {
	r := newRig(t)
	taken, err := net.Listen("tcp", r.settings.Metrics)
	require.NoError(t, err)
	defer taken.Close()
	r.standard()
	r.server("a", "plain")
	r.run()
	r.awaitConfig(1)
	r.awaitServers(1, 0)
	r.log.await("metrics listener could not be opened", nil)
	got, _ := r.ask(standin.Call{ID: "q1", Host: "once.test", URI: "/"})
	require.Equal(t, http.StatusOK, got.Status)
}

// TestLinesOfARequest checks the two log lines of a request with one answer, and the grounds of its
// server's choice in them.
func TestLinesOfARequest(t *testing.T) {
	r, _ := withServers(t, "plain", "a")
	got, _ := r.ask(standin.Call{ID: "q1", Host: "once.test", URI: "/"})
	require.Equal(t, http.StatusOK, got.Status)
	r.log.await(event.RequestEnded, nil)
	sent := r.log.named(event.RequestSent)
	require.Len(t, sent, 1)
	text := make(map[string]string)
	for key, value := range sent[0].attrs {
		text[key] = value.String()
	}
	delete(text, event.KeyRank)
	delete(text, event.KeyViewRevision)
	require.Equal(t, map[string]string{
		event.KeyRequest: "q1", event.KeyServer: "a", event.KeyAttempt: "1", event.KeyCandidates: "1",
		event.KeyCause: "it is the only one", event.KeyConfigVersion: "1", event.KeyViewAge: "0",
	}, text)
	require.Equal(t, slog.KindInt64, sent[0].attrs[event.KeyViewRevision].Kind())
	views := r.log.named(event.ServersView)
	require.Equal(t, []string{"a"}, views[len(views)-1].attrs[event.KeyAdded].Any())
	require.Equal(t, "store", views[len(views)-1].attrs[event.KeySource].String())
}
