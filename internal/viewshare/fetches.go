package viewshare

import (
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/digest"
)

const (
	// maxFetches bounds concurrent fetches, so that a change announced by all peers costs little
	// more than one fetch.
	maxFetches = 3
	// hedgeAfter is how long a fetch may receive no bytes before a second peer is asked: longer
	// than a call takes at a peer whose CPU quota (0.1 s) is not used up. Fetching the same large
	// document from three peers at once would take longer than from one.
	hedgeAfter = 100 * time.Millisecond
	// failedPeerDelay is the delay before a peer that failed is asked again.
	failedPeerDelay = 200 * time.Millisecond
	// digestMaxAge is how long a digest counts: twice the time after which a silent peer is
	// considered lost.
	digestMaxAge = 3 * time.Second
	// refusedMemory is how long a configuration that was refused is not fetched again.
	refusedMemory = 5 * time.Second
	// domainGrace is how long a box waits for peers of its own failure domain that do not have a
	// document yet: each domain has a box that reads the store. Traffic between failure domains is
	// expensive, and a list of 10,000 servers, fetched across domains by each of a thousand boxes,
	// would be most of the traffic of a start.
	domainGrace = 300 * time.Millisecond
	// maxCallers bounds the kept connections, because of their buffers; only few peers are asked
	// repeatedly.
	maxCallers = 16
)

// peerStatus is what is known of one peer.
type peerStatus struct {
	name     string
	addr     string
	domain   string
	has      [kinds]position
	digestAt time.Time
	failed   [kinds]time.Time
	busy     [kinds]bool
}

// peer makes calls to a peer.
type peer interface {
	call(method string, args, reply any) error
	// lastRead returns when bytes last arrived from it.
	lastRead() time.Time
}

// job is a running fetch.
type job struct {
	kind kind
	from *peerStatus
	peer peer
	addr string
	// want is the position that the peer's digest announced.
	want  position
	begun time.Time
}

// fetches decides when to fetch what from which peer.
type fetches struct {
	mu      sync.Mutex
	closed  bool
	peers   map[string]*peerStatus
	callers map[string]*caller
	jobs    map[*job]struct{}
	running sync.WaitGroup
	// behind is when a peer was first known to be ahead, without progress since; retryAt is when
	// the next attempt is due that waits for a grace period.
	behind, retryAt [kinds]time.Time
	// refused is the last refused configuration, and when it was refused.
	refused   position
	refusedAt time.Time
}

// update records a peer's digest.
func (f *fetches) update(d *digest.Digest, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.peers[d.Box]
	if t == nil {
		t = &peerStatus{name: d.Box}
		if f.peers == nil {
			f.peers = make(map[string]*peerStatus)
		}
		f.peers[d.Box] = t
	}
	if t.addr != d.CallAddr {
		t.addr, t.failed = d.CallAddr, [kinds]time.Time{}
	}
	t.digestAt, t.domain = now, d.Domain
	t.has[configKind], t.has[viewKind] = configPosition(d.Config()), viewPosition(d.ViewRevision)
}

// progress records that this box has taken something newer, from any source.
func (f *fetches) progress(k kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behind[k] = time.Time{}
}

// requester is the box that fetches.
type requester struct {
	// domain is its failure domain, empty if unknown.
	domain string
	// grace is how long a peer may be ahead before it is asked.
	grace time.Duration
}

// near reports whether a peer is in the requester's failure domain, or that domain is unknown.
func (a requester) near(t *peerStatus) bool { return a.domain == "" || t.domain == a.domain }

// graceOf returns how long a peer may be ahead before it is asked.
func (a requester) graceOf(t *peerStatus) time.Duration {
	if a.near(t) {
		return a.grace
	}
	return max(a.grace, domainGrace)
}

// better reports whether a peer is preferred to another one.
func (a requester) better(t, than *peerStatus) bool {
	switch {
	case a.near(t) != a.near(than):
		return a.near(t)
	case !t.digestAt.Equal(than.digestAt):
		return t.digestAt.After(than.digestAt)
	default:
		return t.name < than.name
	}
}

// begin chooses a peer and starts a job; nil means that no peer is to be asked now. If a grace
// period is the reason, wait is the time until the next attempt, returned only once per attempt.
func (f *fetches) begin(k kind, held position, by requester, clock clockwork.Clock) (j *job, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	if f.closed || !f.canStart(k, now) {
		return nil, 0
	}
	t := f.choose(k, held, by, now)
	if t == nil {
		return nil, 0
	}
	if f.behind[k].IsZero() {
		f.behind[k] = now
	}
	if due := f.behind[k].Add(by.graceOf(t)); now.Before(due) {
		return nil, f.scheduleRetry(k, due, now)
	}
	j = &job{kind: k, from: t, peer: f.caller(t.addr, now, clock), addr: t.addr, want: t.has[k], begun: now}
	if f.jobs == nil {
		f.jobs = make(map[*job]struct{})
	}
	f.jobs[j] = struct{}{}
	t.busy[k] = true
	f.running.Add(1)
	return j, 0
}

// scheduleRetry returns the time until an attempt that is due, 0 if one is already scheduled as
// early.
func (f *fetches) scheduleRetry(k kind, due, now time.Time) time.Duration {
	if f.retryAt[k].After(now) && !due.Before(f.retryAt[k]) {
		return 0
	}
	f.retryAt[k] = due
	return due.Sub(now)
}

// canStart reports whether one more fetch of a kind may run.
func (f *fetches) canStart(k kind, now time.Time) bool {
	if len(f.jobs) >= maxFetches {
		return false
	}
	for j := range f.jobs {
		if j.kind == k && min(now.Sub(j.begun), now.Sub(j.peer.lastRead())) < hedgeAfter {
			return false
		}
	}
	return true
}

// choose returns the preferred peer of those that may be asked: one of this failure domain if there
// is any, then the one heard from last. It forgets silent peers.
func (f *fetches) choose(k kind, held position, by requester, now time.Time) *peerStatus {
	var best *peerStatus
	for name, t := range f.peers {
		if now.Sub(t.digestAt) >= digestMaxAge && t.busy == [kinds]bool{} {
			delete(f.peers, name)
			continue
		}
		if !f.askable(t, k, held, now) {
			continue
		}
		if best == nil || by.better(t, best) {
			best = t
		}
	}
	return best
}

func (f *fetches) askable(t *peerStatus, k kind, held position, now time.Time) bool {
	if !t.has[k].newer(held) || t.busy[k] || now.Sub(t.digestAt) >= digestMaxAge || now.Sub(t.failed[k]) < failedPeerDelay {
		return false
	}
	refused := k == configKind && t.has[k] == f.refused && now.Sub(f.refusedAt) < refusedMemory
	return !refused
}

// caller returns the caller of an address, closing the least recently used one if there are too
// many.
func (f *fetches) caller(addr string, now time.Time, clock clockwork.Clock) *caller {
	c := f.callers[addr]
	if c == nil {
		f.evict()
		c = &caller{addr: addr, clock: clock}
		if f.callers == nil {
			f.callers = make(map[string]*caller)
		}
		f.callers[addr] = c
	}
	c.used = now
	c.busy++
	return c
}

func (f *fetches) evict() {
	if len(f.callers) < maxCallers {
		return
	}
	var oldest *caller
	for _, c := range f.callers {
		if c.busy == 0 && (oldest == nil || c.used.Before(oldest.used)) {
			oldest = c
		}
	}
	if oldest != nil {
		delete(f.callers, oldest.addr)
		oldest.close()
	}
}

// end records how a fetch ended.
func (f *fetches) end(j *job, err error, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.running.Done()
	delete(f.jobs, j)
	if c := f.callers[j.addr]; c != nil {
		c.busy--
	}
	j.from.busy[j.kind] = false
	if err != nil {
		j.from.failed[j.kind] = now
	}
	if errors.Is(err, errRefused) {
		f.refused, f.refusedAt = j.want, now
	}
}

// close ends the running fetches and prevents others from starting.
func (f *fetches) close() {
	f.mu.Lock()
	f.closed = true
	for _, c := range f.callers {
		c.close()
	}
	f.mu.Unlock()
	f.running.Wait()
}
