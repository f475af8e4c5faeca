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

// requireDeclared holds every line of an event to the keys that are declared for it.
func (j *journal) requireDeclared(t *testing.T) {
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
func (j *journal) named(name event.Name) []line {
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

// scrape reads the page of metrics.
func (r *rig) scrape() string {
	resp, err := http.Get("http://" + r.settings.Metrics + "/metrics")
	require.NoError(r.t, err)
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	require.NoError(r.t, err)
	return string(page)
}

// TestMetrics: a box counts what it does and tells what it knows.
func TestMetrics(t *testing.T) {
	r, _ := withServers(t, "plain", "a")
	got, _ := r.ask(standin.Call{ID: "q1", Host: "once.test", URI: "/"})
	require.Equal(t, http.StatusOK, got.Status)
	got, _ = r.ask(standin.Call{ID: "q2", Host: "none.test", URI: "/"})
	require.Equal(t, http.StatusNotFound, got.Status)
	// The end of a request is counted after its answer was sent.
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

// TestMetricsAddressTaken: a box whose metrics cannot be served serves its callers.
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
	r.log.await("metrics are not served", nil)
	got, _ := r.ask(standin.Call{ID: "q1", Host: "once.test", URI: "/"})
	require.Equal(t, http.StatusOK, got.Status)
}

// TestLinesOfARequest: a request with one answer has two lines, and they tell what
// its server was chosen on.
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
