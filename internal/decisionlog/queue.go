package decisionlog

import (
	"errors"
	"sync"
	"sync/atomic"
)

const (
	// maxQueueBytes limits the queued lines: about a second of lines of a busy box, and a small
	// part of its memory.
	maxQueueBytes = 256 << 10
	// maxQueueLines limits their number as well; a line has about 200 bytes.
	maxQueueLines = 2048
	// maxInfoBytes is what lines of level info may use; the rest is reserved for warnings, which
	// are fewer and explain failures.
	maxInfoBytes = maxQueueBytes * 3 / 4
	// earlyBatchBytes makes a batch due before batchDelay.
	earlyBatchBytes = maxQueueBytes / 4
)

// errQueueFull means that a line was dropped.
var errQueueFull = errors.New("log queue is full")

// queue holds rendered lines until they are written. It is safe for concurrent use.
type queue struct {
	// work has an element if the writing goroutine has something to do.
	work chan struct{}
	// batchDue has an element if a batch should be written at once.
	batchDue chan struct{}

	size atomic.Int64

	mu    sync.Mutex
	buf   []byte
	lines int
	spare []byte
}

func newQueue() *queue {
	return &queue{work: make(chan struct{}, 1), batchDue: make(chan struct{}, 1)}
}

// Write queues a copy of one line, or returns errQueueFull.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.buf)+len(line) > maxQueueBytes || q.lines >= maxQueueLines {
		return 0, errQueueFull
	}
	q.buf = append(q.buf, line...)
	q.lines++
	q.size.Store(int64(len(q.buf)))
	if q.lines == 1 {
		q.wake()
	}
	if len(q.buf) > earlyBatchBytes {
		signal(q.batchDue)
	}
	return len(line), nil
}

// infoFull reports whether lines of level info should be dropped.
func (q *queue) infoFull() bool {
	return q.size.Load() >= maxInfoBytes
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

// recycle gives the memory of a batch back to the queue.
func (q *queue) recycle(batch []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.spare = batch
}

// wake wakes the writing goroutine.
func (q *queue) wake() { signal(q.work) }

// signal adds an element to a channel of capacity one, unless it has one.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
