// Package callers sends requests to the boxes of a soak and writes down what comes
// of them: callers who go where the balancer sends them, and probes that stay with
// one box.
package callers

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// askEvery is how often the platform's balancer asks a box, and askMost how long
	// it waits for the answer.
	askEvery = time.Second
	askMost  = time.Second
	// missesOut is how many misses in a row take a box out.
	missesOut = 2
)

// Box is a box as callers know it.
type Box struct {
	Name string
	// Front is where callers connect, Ready the URL that the balancer asks.
	Front string
	Ready string
	// Life returns the number of the process that runs, or 0.
	Life func() int

	// left is how many more misses in a row take the box out; 0 when it is out.
	left atomic.Int32
}

// Balancer knows which boxes take new connections. Set the fields before Run.
type Balancer struct {
	Boxes  []*Box
	Clock  clockwork.Clock
	Logger *slog.Logger
}

// Watch asks one box until the context ends.
func (b *Balancer) Watch(ctx context.Context, box *Box) error {
	client := &http.Client{Timeout: askMost}
	defer client.CloseIdleConnections()
	ticker := b.Clock.NewTicker(askEvery)
	defer ticker.Stop()
	for {
		if b.ask(ctx, client, box) {
			box.left.Store(missesOut)
		} else {
			box.left.Store(max(0, box.left.Load()-1))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// ask reports whether a box answers that it is ready.
func (b *Balancer) ask(ctx context.Context, client *http.Client, box *Box) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, box.Ready, nil)
	if err != nil {
		b.Logger.Error("balancer cannot ask", "box", box.Name, "error", err)
		return false
	}
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }() // nothing of it is used
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// ready returns the boxes that are in.
func (b *Balancer) ready() []*Box {
	var in []*Box
	for _, box := range b.Boxes {
		if box.left.Load() > 0 {
			in = append(in, box)
		}
	}
	return in
}

// AllReady reports whether all boxes are in.
func (b *Balancer) AllReady() bool { return len(b.ready()) == len(b.Boxes) }

// pick draws a box for a new connection. If fewer than half are in, all are used.
func (b *Balancer) pick(rng *rand.Rand) *Box {
	in := b.ready()
	if len(in)*2 < len(b.Boxes) {
		in = b.Boxes
	}
	return in[rng.IntN(len(in))]
}
