package decisionlog

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dalebend/dalebend/internal/decisionlog/event"
)

const (
	// linesPerSecond is the budget of one event. The most frequent one, request-sent, comes at most
	// this often on a fully used box; more is a flood of which the first lines are enough.
	linesPerSecond = 200
	// burstLines allows two seconds' worth at once, for many streams that break at the same moment.
	burstLines = 400
)

// undeclared stands for all events that package event does not declare.
const undeclared = "undeclared"

// budget limits the lines of one event and counts the dropped ones.
type budget struct {
	limiter *rate.Limiter

	mu     sync.Mutex
	counts dropCount
}

// dropCount counts the dropped lines of an event by reason.
type dropCount struct {
	queueFull, overBudget int
}

func (c dropCount) sum() int { return c.queueFull + c.overBudget }

func (c dropCount) plus(other dropCount) dropCount {
	return dropCount{c.queueFull + other.queueFull, c.overBudget + other.overBudget}
}

// budgets holds the budget of each event; the map is read-only.
type budgets struct {
	byEvent map[string]*budget
}

func newBudgets() *budgets {
	b := &budgets{byEvent: map[string]*budget{undeclared: newBudget()}}
	for _, d := range event.Declarations() {
		b.byEvent[string(d.Name)] = newBudget()
	}
	return b
}

func newBudget() *budget {
	return &budget{limiter: rate.NewLimiter(linesPerSecond, burstLines)}
}

func (b *budgets) of(name string) *budget {
	if one, ok := b.byEvent[name]; ok {
		return one
	}
	return b.byEvent[undeclared]
}

// take uses one line of the event's budget, or counts the line as dropped.
func (b *budgets) take(name string, now time.Time) bool {
	one := b.of(name)
	if one.limiter.AllowN(now, 1) {
		return true
	}
	one.add(dropCount{overBudget: 1})
	return false
}

// countQueueFull counts a line that did not fit into the queue.
func (b *budgets) countQueueFull(name string) {
	b.of(name).add(dropCount{queueFull: 1})
}

func (o *budget) add(c dropCount) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts = o.counts.plus(c)
}

func (o *budget) takeCount() dropCount {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.counts
	o.counts = dropCount{}
	return c
}

// dropCounts maps event names to their dropped lines.
type dropCounts map[string]dropCount

// takeCounts returns the drops since the last call.
func (b *budgets) takeCounts() dropCounts {
	counts := dropCounts{}
	for name, one := range b.byEvent {
		if c := one.takeCount(); c.sum() > 0 {
			counts[name] = c
		}
	}
	return counts
}

// attrs returns the attributes of the line that reports the counts.
func (c dropCounts) attrs() []slog.Attr {
	var total dropCount
	var byEvent []any
	for _, name := range slices.Sorted(maps.Keys(c)) {
		total = total.plus(c[name])
		byEvent = append(byEvent, slog.Int(name, c[name].sum()))
	}
	return []slog.Attr{
		slog.Int(event.KeyQueueFull, total.queueFull),
		slog.Int(event.KeyOverBudget, total.overBudget),
		slog.Group(event.KeyByEvent, byEvent...),
	}
}
