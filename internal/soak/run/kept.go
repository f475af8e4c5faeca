package run

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dalebend/dalebend/internal/soak/callers"
	"github.com/dalebend/dalebend/internal/soak/history"
	"github.com/dalebend/dalebend/internal/soak/pause"
)

const (
	// metricsPort is where boxes serve their metrics.
	metricsPort = "9464"
	// keptMetric is the most that a box kept for callers and servers since its start.
	keptMetric = "dalebend_kept_bytes_most "
	// keptEvery is how often boxes are asked.
	keptEvery = 500 * time.Millisecond
)

// watchKept asks a box what it keeps at most, until the context ends.
func (r *Run) watchKept(ctx context.Context, box *callers.Box, ip string) error {
	client := &http.Client{Timeout: keptEvery}
	defer client.CloseIdleConnections()
	for pause.For(ctx, r.Clock, keptEvery) {
		life := box.Life()
		most, ok := r.askKept(ctx, client, net.JoinHostPort(ip, metricsPort))
		if !ok {
			continue
		}
		one := history.Kept{Box: box.Name, Life: life, At: r.record.Now(), Most: most}
		r.record.Add(func(h *history.History) { h.Kept = append(h.Kept, one) })
	}
	return nil
}

func (r *Run) askKept(ctx context.Context, client *http.Client, addr string) (most int64, ok bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return 0, false
	}
	resp, err := client.Do(req)
	if err != nil {
		r.Logger.Debug("a box does not tell what it keeps", "error", err)
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }() // its error is that of the read
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), keptMetric); found {
			n, err := strconv.ParseFloat(text, 64)
			return int64(n), err == nil
		}
	}
	return 0, false
}
