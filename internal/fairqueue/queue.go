// Package fairqueue orders waiting work.
//
// Priorities are strict: a lower number is served first. Within a priority the account with the
// fewest served tokens per weight goes first, and within an account the earliest arrival. Of the
// entries that have waited for the starvation bound, the oldest gets one pick in picksPerStarving:
// under overload all low priorities pass the bound, and must not delay the high ones.
package fairqueue

import (
	"container/heap"
	"container/list"
	"time"
)

// picksPerStarving is the number of picks of which one goes to a starving entry.
const picksPerStarving = 8

// Queue holds entries of type T. It is not safe for concurrent use.
type Queue[T any] struct {
	// StarvationBound is the wait after which an entry is starving; 0 is none.
	StarvationBound time.Duration

	picks   int
	levels  []*level[T]
	arrival list.List
	flows   map[string]*flow[T]
}

// Entry is one waiting item.
type Entry[T any] struct {
	value   T
	flow    *flow[T]
	at      time.Time
	inFlow  *list.Element
	arrival *list.Element
}

// Value returns the item.
func (e *Entry[T]) Value() T { return e.value }

// At returns when the entry began to wait.
func (e *Entry[T]) At() time.Time { return e.at }

// flow is the queue of one account. Its served tokens outlive its entries.
type flow[T any] struct {
	account string
	level   *level[T]
	weight  float64
	served  float64
	entries list.List
	index   int
	held    bool
}

// level is one priority: a heap of the flows that have entries and aren't held.
type level[T any] struct {
	priority int
	flows    flowHeap[T]
	// floor is the lowest served count of the accounts that waited last. An account that was idle
	// starts from it, so that it gets no credit for idle time.
	floor float64
}

// Len returns the number of waiting entries.
func (q *Queue[T]) Len() int { return q.arrival.Len() }

// Push adds an entry for an account.
func (q *Queue[T]) Push(account string, priority, weight int, at time.Time, v T) *Entry[T] {
	f := q.flow(account, priority)
	f.weight = float64(max(weight, 1))
	e := &Entry[T]{value: v, flow: f, at: at}
	if f.entries.Len() == 0 {
		f.join()
	}
	e.inFlow = f.entries.PushBack(e)
	e.arrival = q.arrival.PushBack(e)
	return e
}

func (q *Queue[T]) flow(account string, priority int) *flow[T] {
	if q.flows == nil {
		q.flows = make(map[string]*flow[T])
	}
	l := q.level(priority)
	f := q.flows[account]
	if f == nil || f.level != l && f.entries.Len() == 0 {
		f = &flow[T]{account: account, level: l}
		q.flows[account] = f
	}
	return f
}

func (q *Queue[T]) level(priority int) *level[T] {
	i := 0
	for i < len(q.levels) && q.levels[i].priority < priority {
		i++
	}
	if i < len(q.levels) && q.levels[i].priority == priority {
		return q.levels[i]
	}
	l := &level[T]{priority: priority}
	q.levels = append(q.levels, nil)
	copy(q.levels[i+1:], q.levels[i:])
	q.levels[i] = l
	return l
}

// Peek returns the next entry without removing it; ok is false if no entry waits that isn't held.
func (q *Queue[T]) Peek(now time.Time) (e *Entry[T], ok bool) {
	if old, turn := q.PeekStarving(now); turn {
		return old, true
	}
	return q.PeekStrict()
}

// PeekStarving returns the oldest entry if it has waited for the bound and this pick is for a
// starving entry.
func (q *Queue[T]) PeekStarving(now time.Time) (e *Entry[T], turn bool) {
	if q.picks%picksPerStarving != 0 {
		return nil, false
	}
	return q.starving(now)
}

// PeekStrict returns the next entry by priority and fairness alone.
func (q *Queue[T]) PeekStrict() (e *Entry[T], ok bool) {
	for _, l := range q.levels {
		if len(l.flows) > 0 {
			return l.flows[0].entries.Front().Value.(*Entry[T]), true
		}
	}
	return nil, false
}

// Pick removes the entry that Peek returned and counts a pick.
func (q *Queue[T]) Pick(e *Entry[T]) {
	q.picks++
	q.Remove(e)
}

// starving returns the oldest entry that isn't held, if it has waited for the bound.
func (q *Queue[T]) starving(now time.Time) (*Entry[T], bool) {
	if q.StarvationBound == 0 {
		return nil, false
	}
	for el := q.arrival.Front(); el != nil; el = el.Next() {
		e := el.Value.(*Entry[T])
		if now.Sub(e.at) < q.StarvationBound {
			return nil, false
		}
		if !e.flow.held {
			return e, true
		}
	}
	return nil, false
}

// Remove removes an entry. It does nothing for one that was removed before.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e.arrival == nil {
		return
	}
	q.arrival.Remove(e.arrival)
	e.arrival = nil
	f := e.flow
	f.entries.Remove(e.inFlow)
	if f.entries.Len() == 0 && !f.held {
		heap.Remove(&f.level.flows, f.index)
	}
}

// join adds a flow to the heap of its level.
func (f *flow[T]) join() {
	l := f.level
	if len(l.flows) > 0 {
		l.floor = max(l.floor, l.flows[0].served)
	}
	f.served = max(f.served, l.floor)
	if !f.held {
		heap.Push(&l.flows, f)
	}
}

// Hold excludes an account's entries from picks until Release; they keep their place and their age.
func (q *Queue[T]) Hold(account string) {
	f := q.flows[account]
	if f == nil || f.held {
		return
	}
	if f.entries.Len() > 0 {
		heap.Remove(&f.level.flows, f.index)
	}
	f.held = true
}

// Release makes a held account eligible again.
func (q *Queue[T]) Release(account string) {
	f := q.flows[account]
	if f == nil || !f.held {
		return
	}
	f.held = false
	if f.entries.Len() > 0 {
		f.join()
	}
}

// Charge adds served tokens to an account, for the order of later picks. Negative tokens correct an
// overcharge.
func (q *Queue[T]) Charge(account string, tokens float64) {
	f := q.flows[account]
	if f == nil {
		return
	}
	f.served += tokens / max(f.weight, 1)
	if f.entries.Len() > 0 && !f.held {
		heap.Fix(&f.level.flows, f.index)
	}
}

// Each visits the entries in the order of arrival, until visit returns false.
// The visitor may remove the entry that it is given.
func (q *Queue[T]) Each(visit func(*Entry[T]) bool) {
	for el := q.arrival.Front(); el != nil; {
		next := el.Next()
		if !visit(el.Value.(*Entry[T])) {
			return
		}
		el = next
	}
}
