package loadrun

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// kind is one kind of generation in a workload: its prompts begin alike and its
// lengths have one distribution.
type kind struct {
	account string
	// share is the part of the generations that are of this kind.
	share float64
	// prefix is the number of bytes that all prompts of the kind begin with, and
	// unique how many follow.
	prefix int
	unique int
	// median and sigma describe the log-normal lengths, in tokens.
	median float64
	sigma  float64
}

// account is a client account of the generated fleet.
type account struct {
	name     string
	priority int
	weight   int
}

// hardware is a class of engine of the generated fleet.
type hardware struct {
	name     string
	kvTokens int
	maxBatch int
	step     time.Duration
}

// workload is what callers ask and what serves them.
type workload struct {
	name     string
	accounts []account
	kinds    []kind
	classes  []hardware
	// engines names the class of each engine in turn.
	engines []int
	count   int
	// lookups is the rate of plain calls a second, pushes that of those among them
	// that may not be repeated.
	lookups float64
	pushes  float64
	// shiftAt is the part of the run after which all lengths are multiplied by
	// shiftBy; 0 is never.
	shiftAt float64
	shiftBy float64
	// flood multiplies the rate of the account flooder, on top of the demand.
	flooder string
	flood   float64
}

const maxLength = 1000

// workloads are known by name.
func workloadByName(name string) (*workload, error) {
	base := workload{
		name: name,
		accounts: []account{
			{name: "first", priority: 0, weight: 1},
			{name: "second", priority: 1, weight: 2},
			{name: "third", priority: 1, weight: 1},
			{name: "last", priority: 5, weight: 1},
		},
		kinds: []kind{
			{account: "first", share: 0.2, prefix: 512, unique: 120, median: 40, sigma: 0.7},
			{account: "second", share: 0.35, prefix: 512, unique: 160, median: 60, sigma: 1.0},
			{account: "third", share: 0.25, prefix: 512, unique: 160, median: 60, sigma: 1.0},
			{account: "last", share: 0.2, prefix: 512, unique: 400, median: 110, sigma: 0.9},
		},
		classes: []hardware{
			{name: "new", kvTokens: 5120, maxBatch: 64, step: 16 * time.Millisecond},
			{name: "old", kvTokens: 2560, maxBatch: 32, step: 26 * time.Millisecond},
		},
		engines: []int{0, 0, 1},
		count:   15,
	}
	switch name {
	case "crowded":
	case "mixed-hardware":
		base.classes = append(base.classes, hardware{name: "oldest", kvTokens: 1536, maxBatch: 16, step: 45 * time.Millisecond})
		base.engines = []int{0, 1, 2}
	case "shift":
		base.shiftAt, base.shiftBy = 0.5, 3
	case "flood":
		base.flooder, base.flood = "last", 4
		base.lookups = 50
	case "channel-manager":
		channelManager(&base)
	case "hinokage":
		hinokage(&base)
	default:
		return nil, fmt.Errorf("workload %q is not known", name)
	}
	return &base, nil
}

// channelManager: clerks' drafts stream while auditors summarise; rate pushes must
// run once.
func channelManager(w *workload) {
	w.accounts = []account{{"front-desk", 0, 4}, {"hotels", 1, 2}, {"night-audit", 3, 1}}
	w.kinds = []kind{
		{account: "front-desk", share: 0.4, prefix: 512, unique: 120, median: 45, sigma: 0.6},
		{account: "hotels", share: 0.35, prefix: 512, unique: 160, median: 60, sigma: 0.8},
		{account: "night-audit", share: 0.25, prefix: 512, unique: 800, median: 150, sigma: 0.9},
	}
	w.lookups, w.pushes = 100, 10
}

// hinokage: growers ask by day, summaries condense logs; acknowledgements must run
// once.
func hinokage(w *workload) {
	w.accounts = []account{{"strawberry", 0, 2}, {"tomato", 1, 2}, {"night-shift", 5, 1}}
	w.kinds = []kind{
		{account: "strawberry", share: 0.35, prefix: 512, unique: 100, median: 40, sigma: 0.6},
		{account: "tomato", share: 0.35, prefix: 512, unique: 100, median: 45, sigma: 0.7},
		{account: "night-shift", share: 0.3, prefix: 512, unique: 1200, median: 150, sigma: 1.0},
	}
	w.count = 12
	w.lookups, w.pushes = 60, 15
}

// length draws the length of an answer.
func (k *kind) length(r *rand.Rand, by float64) int {
	n := by * k.median * math.Exp(k.sigma*r.NormFloat64())
	return min(max(int(n), 2), maxLength)
}

// prompt makes a prompt that tells the stand-in its length; nothing on the way
// reads that.
func (k *kind) prompt(id, length int) string {
	var b strings.Builder
	line := k.account + " asks as always, with the same instructions as before. "
	for b.Len() < k.prefix {
		b.WriteString(line)
	}
	text := b.String()[:k.prefix]
	unique := fmt.Sprintf(" request %d length=%d ", id, length)
	for len(unique) < k.unique {
		unique += fmt.Sprintf("detail %d of request %d, ", len(unique), id)
	}
	return text + unique
}

// capacity returns how many tokens a second the engines can decode when their
// memory is full, and the mean length of an answer. Streams hold their prompt and
// on average half of a length-biased answer; a prefix is held once an engine.
func (w *workload) capacity() (tokensPerSecond, meanLength float64) {
	const draws = 20000
	const bytesPerToken = 4
	r := rand.New(rand.NewPCG(1, 1))
	var sum, held float64
	for range draws {
		k := w.draw(r)
		n := float64(k.length(r, 1))
		sum += n
		held += n * (float64(k.unique)/bytesPerToken + n/2)
	}
	meanLength = sum / draws
	// Time-weighted memory of a stream: a longer answer is there for longer.
	perStream := held / sum
	for i := range w.count {
		h := w.classes[w.engines[i%len(w.engines)]]
		prefixes := 0.0
		for _, k := range w.kinds {
			prefixes += float64(k.prefix) / bytesPerToken
		}
		batch := min((float64(h.kvTokens)-prefixes)/perStream, float64(h.maxBatch))
		step := h.step.Seconds() * (1 + batch/batchCost)
		// Each finished answer brings a prompt to compute.
		prefill := batch / meanLength * w.meanUnique() / bytesPerToken * prefillTokenCost.Seconds()
		tokensPerSecond += batch / (step + prefill)
	}
	return tokensPerSecond, meanLength
}

// batchCost and prefillTokenCost are those of the engine stand-in.
const (
	batchCost        = 200
	prefillTokenCost = 25 * time.Microsecond
)

func (w *workload) meanUnique() float64 {
	sum := 0.0
	for _, k := range w.kinds {
		sum += k.share * float64(k.unique)
	}
	return sum
}

// draw picks a kind by its share.
func (w *workload) draw(r *rand.Rand) *kind {
	u := r.Float64()
	for i := range w.kinds {
		u -= w.kinds[i].share
		if u < 0 {
			return &w.kinds[i]
		}
	}
	return &w.kinds[len(w.kinds)-1]
}
