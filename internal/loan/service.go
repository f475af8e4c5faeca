// Package loan lets routers borrow engine capacity from each other over net/rpc.
//
// A box has exact state for its own engines and inexact state for those of others. So
// it does not place a stream on another box's engine by estimate: it asks that box,
// which decides as for its own work and counts the stream as its own until the
// capacity is returned.
package loan

import "github.com/dalebend/dalebend/internal/schedule"

// ServiceName is the net/rpc name of the service.
const ServiceName = "Loan"

const (
	methodAsk    = ServiceName + ".Ask"
	methodReturn = ServiceName + ".Return"
)

// lender grants and takes back capacity on this box's engines.
type lender interface {
	Lend(r *schedule.LoanRequest) (schedule.Loan, bool)
	Returned(id uint64)
}

// AskReply is the lender's decision.
type AskReply struct {
	Granted bool
	Loan    schedule.Loan
}

// ReturnArgs identifies the loan to end.
type ReturnArgs struct{ ID uint64 }

// Service serves loan requests of other boxes. Set Scheduler before registering it.
type Service struct {
	// Scheduler decides on loans.
	Scheduler lender
}

// Ask grants or refuses a loan.
func (s *Service) Ask(r *schedule.LoanRequest, reply *AskReply) error {
	reply.Loan, reply.Granted = s.Scheduler.Lend(r)
	return nil
}

// Return ends a loan.
func (s *Service) Return(args *ReturnArgs, _ *struct{}) error {
	s.Scheduler.Returned(args.ID)
	return nil
}
