// Package overheadrun measures what the router adds: the same streams are read from
// an engine stand-in directly and through a router, one after the other, in one
// process. What differs is the router's.
package overheadrun

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/dalebend/dalebend/internal/fleet"
	"github.com/dalebend/dalebend/internal/fleetfile"
	"github.com/dalebend/dalebend/internal/logging"
	"github.com/dalebend/dalebend/internal/resources"
	"github.com/dalebend/dalebend/internal/router"
	"github.com/dalebend/dalebend/internal/standin/engine"
)

const (
	maxConns = 1 << 16
	readSize = 4096
	lag      = time.Second
	// highest is the longest time that is told from longer ones, in microseconds.
	highest = int64(10 * time.Minute / time.Microsecond)
	// keyHash is the SHA-256 of "overhead".
	keyHash = "945c8f9d4fe6b4899a55b574ba21f40c9b541d4379ebb5264a5cf282134823cb"
)

// Bench compares at each number of streams. Set the exported fields before Run.
type Bench struct {
	// Streams are the numbers of streams at once.
	Streams []int
	// Tokens is the length of each answer.
	Tokens int
	// Step is the engine's time for one token of one stream.
	Step time.Duration
	// Clock gives the time.
	Clock clockwork.Clock
	// Out gets the table.
	Out io.Writer
}

// figures are those of one way.
type figures struct {
	cpu   time.Duration
	took  time.Duration
	first *hdrhistogram.Histogram
	gap   *hdrhistogram.Histogram
	heap  uint64
	whole int64
}

// target is where and how streams are asked for.
type target struct {
	url    string
	header string
	body   func(i int) string
}

// Run compares and prints a line for each number of streams.
func (b *Bench) Run(ctx context.Context) error {
	tw := tabwriter.NewWriter(b.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "streams\tway\twhole\ttokens/s\tcpu us a token\tratio\tfirst p50 ms\tfirst p99 ms\tgap p50 ms\tgap p99 ms\theap KB a stream\t")
	for _, n := range b.Streams {
		if err := b.one(ctx, tw, n); err != nil {
			return fmt.Errorf("%d streams: %w", n, err)
		}
	}
	return tw.Flush()
}

func (b *Bench) one(ctx context.Context, w io.Writer, n int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	engineLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	routerLn, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	e := &engine.Engine{
		Name: "engine", KVTokens: n * (b.Tokens + 64) * 2, MaxBatch: 2 * n, DecodeStep: b.Step, LoadLag: lag,
		Models: []string{"m"}, Clock: b.Clock,
	}
	group.Go(func() error { return e.Run(ctx, engineLn) })
	file, err := fleetfile.Parse(fleetText(engineLn.Addr().String(), e))
	if err != nil {
		return err
	}
	r := &router.Router{
		Box: "box", Domain: "d", LoadLag: lag, PollEvery: lag, Clock: b.Clock, Logger: logging.Discard(),
	}
	r.Prepare()
	r.Holder.Offer(fleet.New(1, file))
	group.Go(func() error { return r.Run(ctx, routerLn, nil) })
	direct := b.measure(n, &target{url: "http://" + engineLn.Addr().String() + "/v1/completions", body: b.directBody})
	through := b.measure(n, &target{
		url: "http://" + routerLn.Addr().String() + "/v1/completions", header: "Bearer overhead", body: b.routerBody,
	})
	b.print(w, n, "direct", direct, direct)
	b.print(w, n, "router", through, direct)
	cancel()
	return group.Wait()
}

func (b *Bench) directBody(i int) string {
	return fmt.Sprintf(`{"model":"m","prompt":"stream %d of length=%d","stream":true,"request_id":"direct-%d"}`, i, b.Tokens, i)
}

func (b *Bench) routerBody(i int) string {
	return fmt.Sprintf(`{"model":"m","prompt":"stream %d of length=%d","stream":true}`, i, b.Tokens)
}

// measure reads n streams at once.
func (b *Bench) measure(n int, to *target) *figures {
	client := &fasthttp.Client{MaxConnsPerHost: maxConns, StreamResponseBody: true, ReadBufferSize: readSize}
	f := &figures{first: hdrhistogram.New(1, highest, 3), gap: hdrhistogram.New(1, highest, 3)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var whole atomic.Int64
	runtime.GC()
	cpu := resources.ProcessTime()
	began := b.Clock.Now()
	stopHeap := b.watchHeap(f)
	for i := range n {
		wg.Go(func() {
			first, gaps, ok := b.read(client, to, i)
			if ok {
				whole.Add(1)
			}
			mu.Lock()
			defer mu.Unlock()
			_ = f.first.RecordValue(first.Microseconds())
			for _, g := range gaps {
				_ = f.gap.RecordValue(g.Microseconds())
			}
		})
	}
	wg.Wait()
	f.took = b.Clock.Since(began)
	f.cpu = resources.ProcessTime() - cpu
	f.whole = whole.Load()
	stopHeap()
	client.CloseIdleConnections()
	return f
}

// watchHeap notes the greatest memory while streams run.
func (b *Bench) watchHeap(f *figures) (stop func()) {
	base := resources.Memory()
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := b.Clock.NewTicker(200 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.Chan():
				if m := resources.Memory(); m > base {
					f.heap = max(f.heap, m-base)
				}
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

// read reads one stream to its end mark.
func (b *Bench) read(client *fasthttp.Client, to *target, i int) (first time.Duration, gaps []time.Duration, whole bool) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(to.url)
	req.Header.SetMethod(fasthttp.MethodPost)
	if to.header != "" {
		req.Header.Set("Authorization", to.header)
	}
	req.SetBodyString(to.body(i))
	began := b.Clock.Now()
	if err := client.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		return 0, nil, false
	}
	defer func() { _ = resp.CloseBodyStream() }()
	lines := bufio.NewReader(resp.BodyStream())
	last := time.Time{}
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return first, gaps, false
		}
		switch {
		case bytes.HasPrefix(line, []byte("id: ")):
			now := b.Clock.Now()
			if last.IsZero() {
				first = now.Sub(began)
			} else {
				gaps = append(gaps, now.Sub(last))
			}
			last = now
		case bytes.HasPrefix(line, []byte("data: [DONE]")):
			return first, gaps, true
		}
	}
}

func (b *Bench) print(w io.Writer, n int, way string, f, base *figures) {
	tokens := float64(f.whole) * float64(b.Tokens)
	each := func(f *figures) float64 {
		return float64(f.cpu.Microseconds()) / max(1, float64(f.whole)*float64(b.Tokens))
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Fprintf(w, "%d\t%s\t%d\t%.0f\t%.1f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t\n", n, way, f.whole,
		tokens/f.took.Seconds(), each(f), each(f)/each(base), ms(f.first, 50), ms(f.first, 99),
		ms(f.gap, 50), ms(f.gap, 99), float64(f.heap)/1024/float64(n))
}

// fleetText writes a fleet with the one engine.
func fleetText(addr string, e *engine.Engine) []byte {
	return fmt.Appendf(nil, `name: overhead
resume-key: overhead-resume-key
regions: [{name: r, failure-domains: [d]}]
services: [{name: llm, kind: generation}]
models: [{name: m, service: llm}]
hardware: [{name: card, kv-tokens: %d, max-batch: %d, decode-step: %s}]
backend-servers: [{name: engine, service: llm, address: "%s", failure-domain: d, hardware: card, models: [m]}]
client-accounts: [{name: a, key-sha256: [%s], priority: 0}]
admission: {max-queue: 100000, max-wait: 60s}
`, e.KVTokens, e.MaxBatch, e.DecodeStep, addr, keyHash)
}
