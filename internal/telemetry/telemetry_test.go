package telemetry_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/dalebend/dalebend/internal/telemetry"
)

var update = flag.Bool("update", false, "write docs/METRICS.md and testdata")

const (
	sectionBegin = "<!-- telemetry: written by go test ./internal/telemetry -update -->\n"
	sectionEnd   = "<!-- end of telemetry -->\n"
)

// TestDocument checks that the section of docs/METRICS.md matches the declarations.
func TestDocument(t *testing.T) {
	const path = "../../docs/METRICS.md"
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	before, rest, ok := strings.Cut(string(b), sectionBegin)
	require.True(t, ok)
	section, after, ok := strings.Cut(rest, sectionEnd)
	require.True(t, ok)
	if *update {
		section = telemetry.Document()
		require.NoError(t, os.WriteFile(path, []byte(before+sectionBegin+section+sectionEnd+after), 0o644))
	}
	require.Equal(t, telemetry.Document(), section, "run: go test ./internal/telemetry -update")
}

// fill updates metrics of every kind.
func fill(m *telemetry.Metrics) {
	m.Requests.Inc("stream", "done")
	m.Requests.Inc("stream", "done")
	m.Requests.Inc("lookup", "not-run")
	m.Refusals.Inc("a \"quoted\"\\\nreason")
	m.MovePause.Observe(time.Millisecond, "move")
	m.MovePause.Observe(120*time.Millisecond, "move")
	m.MovePause.Observe(time.Hour, "move")
	m.ConfigVersion.Set(42)
	m.ViewAge.Compute(func() float64 { return 0.25 })
	metrics.GetOrRegisterCounter("objectapi.get.pointer", m.Registry()).Inc(3)
	metrics.GetOrRegisterGauge("controller.version", m.Registry()).Update(7)
	metrics.GetOrRegisterTimer("schedule.wait", m.Registry()).Update(2 * time.Second)
}

// TestText compares the page with testdata/page.txt.
func TestText(t *testing.T) {
	const path = "testdata/page.txt"
	m := telemetry.New()
	fill(m)
	if *update {
		require.NoError(t, os.WriteFile(path, m.Text(), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.ElementsMatch(t, strings.Split(string(want), "\n"), strings.Split(string(m.Text()), "\n"))
}

// TestServe fetches the page at several paths.
func TestServe(t *testing.T) {
	// The library's meter goroutine runs as long as the process.
	defer goleak.VerifyNone(t, goleak.IgnoreAnyFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := telemetry.New()
	fill(m)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- m.Serve(ctx, ln, nil) }()

	transport := &http.Transport{}
	client := &http.Client{Transport: transport}
	for _, path := range []string{"/metrics", "/", "/any/path"} {
		status, body := get(t, client, "http://"+ln.Addr().String()+path)
		require.Equal(t, http.StatusOK, status)
		require.Contains(t, body, `dalebend_requests_total{kind="stream",outcome="done"} 2`)
	}
	response, err := client.Post("http://"+ln.Addr().String(), "text/plain", nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusMethodNotAllowed, response.StatusCode)
	transport.CloseIdleConnections()
	cancel()
	require.NoError(t, <-served)
}

func get(t *testing.T, client *http.Client, url string) (status int, body string) {
	t.Helper()
	response, err := client.Get(url)
	require.NoError(t, err)
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(b)
}

// TestSeriesAreBounded gives a metric more label values than maxSeries.
func TestSeriesAreBounded(t *testing.T) {
	m := telemetry.New()
	const servers = 1000
	var wg sync.WaitGroup
	for i := range servers {
		wg.Go(func() { m.Attempts.Inc(fmt.Sprintf("engine-%d", i), "answered") })
	}
	wg.Wait()
	page := string(m.Text())
	require.Equal(t, 257, strings.Count(page, "\ndalebend_attempts_total{"))
	require.Contains(t, page, fmt.Sprintf("dalebend_attempts_total{server=\"other\",result=\"other\"} %d\n", servers-256))
}
