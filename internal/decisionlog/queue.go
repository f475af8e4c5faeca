package decisionlog

import (
	"errors"
	"sync"
	"sync/atomic"
)

const (
	// queueBytes bounds what waits for the reader: about a second of lines of a busy
	// box, and a small part of its memory.
	queueBytes = 256 << 10
	// queueLines bounds it by number as well; a line is about 200 bytes.
	queueLines = 2048
	// routineBytes is what lines of level info may fill; the rest is kept for
	// warnings, of which there are fewer and which explain failures.
	routineBytes = queueBytes * 3 / 4
	// crowdedBytes ends the gathering of a batch early.
	crowdedBytes = queueBytes / 4
)

// errQueueFull tells that a line was left out.
var errQueueFull = errors.New("log queue is full")

// queue holds rendered lines until they are written. It is safe for concurrent use.
type queue struct {
	// filled has an element when there is something to do for the writing goroutine.
	filled chan struct{}
	// crowded has an element when a batch should be written at once.
	crowded chan struct{}

	size atomic.Int64

	mu    sync.Mutex
	buf   []byte
	lines int
	spare []byte
}

func newQueue() *queue {
	return &queue{filled: make(chan struct{}, 1), crowded: make(chan struct{}, 1)}
}

// Write queues a copy of one line, or returns errQueueFull.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.buf)+len(line) > queueBytes || q.lines >= queueLines {
		return 0, errQueueFull
	}
	q.buf = append(q.buf, line...)
	q.lines++
	q.size.Store(int64(len(q.buf)))
	if q.lines == 1 {
		q.wake()
	}
	if len(q.buf) > crowdedBytes {
		signal(q.crowded)
	}
	return len(line), nil
}

// routineFull reports whether lines of level info should be left out.
func (q *queue) routineFull() bool {
	return q.size.Load() >= routineBytes
}

// take empties the queue and returns its lines and their number.
func (q *queue) take() ([]byte, int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch, lines := q.buf, q.lines
	q.buf, q.lines, q.spare = q.spare[:0], 0, nil
	q.size.Store(0)
	return batch, lines
}

// recycle gives back the memory of a batch.
func (q *queue) recycle(batch []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.spare = batch
}

// wake makes the writing goroutine look.
func (q *queue) wake() { signal(q.filled) }

// signal puts an element into a channel that has room for one.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
