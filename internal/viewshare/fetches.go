package viewshare

import (
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/digest"
)

const (
	// maxFetches bounds the fetches at once, so that a change that all peers tell of
	// costs little more than one of them.
	maxFetches = 3
	// hedgeAfter is how long nothing may come of a fetch before a second peer is asked: longer
	// than a call takes at a peer whose processor quota (0.1 s) is not spent. The same large document
	// from three peers at once would take longer than from one.
	hedgeAfter = 100 * time.Millisecond
	// againAfter is the pause before a peer that failed is asked again.
	againAfter = 200 * time.Millisecond
	// tellFor is how long a peer is asked for what it told, without a digest since.
	// Twice the time within which a silent peer counts as lost.
	tellFor = 3 * time.Second
	// refuseFor is how long a configuration that was refused is not fetched again.
	refuseFor = 5 * time.Second
	// domainGrace is how long a box leaves a document to peers of its own failure domain that do not
	// have it yet: each has a box that reads the store. Bytes between failure domains are dear, and a
	// list of 10,000 servers, fetched there by each of a thousand boxes, is most of a start's.
	domainGrace = 300 * time.Millisecond
	// maxCallers bounds the connections that are kept, for their buffers' memory; few
	// peers are asked again and again.
	maxCallers = 16
)

// teller is a peer and what it has told.
type teller struct {
	name   string
	addr   string
	domain string
	has    [kinds]int64
	heard  time.Time
	failed [kinds]time.Time
	busy   [kinds]bool
}

// peer answers calls.
type peer interface {
	call(method string, args, reply any) error
	// lastRead returns when bytes last came from it.
	lastRead() time.Time
}

// job is one fetch that runs.
type job struct {
	kind   kind
	teller *teller
	peer   peer
	addr   string
	// want is what the peer told that it has.
	want  int64
	begun time.Time
}

// fetches decides which peer is asked for what, and when.
type fetches struct {
	mu      sync.Mutex
	closed  bool
	tellers map[string]*teller
	callers map[string]*caller
	jobs    map[*job]struct{}
	running sync.WaitGroup
	// behind is when a peer was first known to be ahead, without progress since, and again is when
	// the next look is due that was asked for because of a grace.
	behind, again [kinds]time.Time
	// refused is the last configuration version that was refused, and when.
	refused   int64
	refusedAt time.Time
}

// told takes what a peer tells.
func (f *fetches) told(d *digest.Digest, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tellers[d.Box]
	if t == nil {
		t = &teller{name: d.Box}
		if f.tellers == nil {
			f.tellers = make(map[string]*teller)
		}
		f.tellers[d.Box] = t
	}
	if t.addr != d.CallAddr {
		t.addr, t.failed = d.CallAddr, [kinds]time.Time{}
	}
	t.heard, t.domain = now, d.Domain
	t.has[configKind], t.has[viewKind] = d.ConfigVersion, d.ViewRevision
}

// progress notes that this box took something newer, from wherever.
func (f *fetches) progress(k kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behind[k] = time.Time{}
}

// asker is the box that asks.
type asker struct {
	// domain is its failure domain, empty if it is not known.
	domain string
	// grace is how long a peer may be ahead before it is asked.
	grace time.Duration
}

// near reports whether a peer stands in the asker's failure domain, or that is not known.
func (a asker) near(t *teller) bool { return a.domain == "" || t.domain == a.domain }

// graceOf returns how long a peer may be ahead before it is asked.
func (a asker) graceOf(t *teller) time.Duration {
	if a.near(t) {
		return a.grace
	}
	return max(a.grace, domainGrace)
}

// better reports whether a peer is rather asked than another one.
func (a asker) better(t, than *teller) bool {
	switch {
	case a.near(t) != a.near(than):
		return a.near(t)
	case !t.heard.Equal(than.heard):
		return t.heard.After(than.heard)
	default:
		return t.name < than.name
	}
}

// begin chooses a peer to ask; nil means that none is to be asked now. When that is for a grace, wait
// says when to try again, once.
func (f *fetches) begin(k kind, held int64, by asker, clock clockwork.Clock) (j *job, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	if f.closed || !f.free(k, now) {
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
		return nil, f.lookAgain(k, due, now)
	}
	j = &job{kind: k, teller: t, peer: f.caller(t.addr, now, clock), addr: t.addr, want: t.has[k], begun: now}
	if f.jobs == nil {
		f.jobs = make(map[*job]struct{})
	}
	f.jobs[j] = struct{}{}
	t.busy[k] = true
	f.running.Add(1)
	return j, 0
}

// lookAgain returns how long it is until a look that is due, 0 if one was asked for that comes as soon.
func (f *fetches) lookAgain(k kind, due, now time.Time) time.Duration {
	if f.again[k].After(now) && !due.Before(f.again[k]) {
		return 0
	}
	f.again[k] = due
	return due.Sub(now)
}

// free reports whether one more fetch of a kind may run.
func (f *fetches) free(k kind, now time.Time) bool {
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

// choose returns the peer that was heard last of those that may be asked, one of this failure domain
// if there is any. It forgets peers that are silent.
func (f *fetches) choose(k kind, held int64, by asker, now time.Time) *teller {
	var best *teller
	for name, t := range f.tellers {
		if now.Sub(t.heard) >= tellFor && t.busy == [kinds]bool{} {
			delete(f.tellers, name)
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

func (f *fetches) askable(t *teller, k kind, held int64, now time.Time) bool {
	if t.has[k] <= held || t.busy[k] || now.Sub(t.heard) >= tellFor || now.Sub(t.failed[k]) < againAfter {
		return false
	}
	refused := k == configKind && t.has[k] == f.refused && now.Sub(f.refusedAt) < refuseFor
	return !refused
}

// caller returns the caller of an address, closing the one that rested longest
// when there are too many.
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

// end notes how a fetch ended.
func (f *fetches) end(j *job, err error, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.running.Done()
	delete(f.jobs, j)
	if c := f.callers[j.addr]; c != nil {
		c.busy--
	}
	j.teller.busy[j.kind] = false
	if err != nil {
		j.teller.failed[j.kind] = now
	}
	if errors.Is(err, errRefused) {
		f.refused, f.refusedAt = j.want, now
	}
}

// close ends the fetches that run and keeps others from beginning.
func (f *fetches) close() {
	f.mu.Lock()
	f.closed = true
	for _, c := range f.callers {
		c.close()
	}
	f.mu.Unlock()
	f.running.Wait()
}
