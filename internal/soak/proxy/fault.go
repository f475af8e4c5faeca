package proxy

import (
	"slices"
	"time"
)

// Fault disturbs all connections of a proxy.
type Fault struct {
	// Delay is how long each piece of data takes, in both directions.
	Delay time.Duration
	// Forth and Back hold up what goes to the target, or comes from it.
	Forth bool
	Back  bool
	// Refuse resets the connections that are open, and new ones.
	Refuse bool
}

// Impair begins a fault and returns what ends it. Faults add up. What was held up
// is passed on when the last fault that holds it has ended, as after a partition.
func (p *Proxy) Impair(f Fault) (mend func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, &f)
	p.signal()
	if f.Refuse {
		for l := range p.links {
			l.abort()
		}
	}
	return func() { p.mend(&f) }
}

// mend ends a fault.
func (p *Proxy) mend(f *Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = slices.DeleteFunc(p.faults, func(other *Fault) bool { return other == f })
	p.signal()
}

// signal tells links that the faults have changed. It is called locked.
func (p *Proxy) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// combined is merge under the lock.
func (p *Proxy) combined() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.merge()
}

// merge returns all faults in one. It is called locked.
func (p *Proxy) merge() Fault {
	var all Fault
	for _, f := range p.faults {
		all.Delay = max(all.Delay, f.Delay)
		all.Forth = all.Forth || f.Forth
		all.Back = all.Back || f.Back
		all.Refuse = all.Refuse || f.Refuse
	}
	return all
}

// state returns all faults in one, and what is closed when they change.
func (p *Proxy) state() (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.merge(), p.changed
}
