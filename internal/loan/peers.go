package loan

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dalebend/dalebend/internal/peerrpc"
	"github.com/dalebend/dalebend/internal/schedule"
)

// callTimeout bounds one call; a box that does not reply counts as having no capacity.
const callTimeout = 200 * time.Millisecond

// Peers calls the routers of other boxes. Set the exported fields before use.
type Peers struct {
	// TLS authenticates this box to its peers; nil means plain TCP, for loopback.
	TLS *tls.Config
	// Clock is passed to the RPC clients.
	Clock clockwork.Clock

	mu      sync.Mutex
	clients map[string]*peerrpc.Client
}

// Set replaces the router addresses of the other boxes, keyed by box. Clients whose
// address is unchanged stay open.
func (p *Peers) Set(addrs map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.clients
	p.clients = make(map[string]*peerrpc.Client, len(addrs))
	for box, addr := range addrs {
		if c := old[box]; c != nil && c.Addr == addr {
			p.clients[box] = c
			delete(old, box)
			continue
		}
		p.clients[box] = &peerrpc.Client{Addr: addr, TLS: p.TLS, Clock: p.Clock}
	}
	for _, c := range old {
		c.Close()
	}
}

func (p *Peers) client(box string) *peerrpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clients[box]
}

// Ask requests engine capacity from a box; false means refused or unreachable.
func (p *Peers) Ask(box string, r *schedule.LoanRequest) (schedule.Loan, bool) {
	c := p.client(box)
	if c == nil {
		return schedule.Loan{}, false
	}
	reply := &AskReply{}
	if err := c.Call(context.Background(), methodAsk, r, reply, callTimeout); err != nil {
		return schedule.Loan{}, false
	}
	return reply.Loan, reply.Granted
}

// Return gives borrowed capacity back. If the call is lost, the lender's time limit
// ends the loan.
func (p *Peers) Return(box string, id uint64) {
	if c := p.client(box); c != nil {
		_ = c.Call(context.Background(), methodReturn, &ReturnArgs{ID: id}, &struct{}{}, callTimeout)
	}
}
