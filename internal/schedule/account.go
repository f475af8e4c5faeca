package schedule

// accountState is what an account uses on this box.
type accountState struct {
	tokens float64
}

func (a *accountState) add(tokens float64) { a.tokens = max(0, a.tokens+tokens) }

func (s *Scheduler) accountOf(w *waiter) *accountState {
	name := w.job.Account.Name()
	a := s.account[name]
	if a == nil {
		a = &accountState{}
		s.account[name] = a
	}
	return a
}

// overLimit reports whether the account has reached its limit on this box. The limit is split
// evenly over the boxes, so that it holds in total without a call to any of them; one generation
// per box is always allowed.
func (s *Scheduler) overLimit(w *waiter) bool {
	limit := w.job.Account.TokensInFlight()
	if limit == 0 {
		return false
	}
	a := s.accountOf(w)
	return a.tokens > 0 && a.tokens+s.expectedTokens(w) > float64(limit)/float64(len(s.boxes))
}

// releaseHold makes an account's jobs eligible again when it uses less.
func (s *Scheduler) releaseHold(account string) {
	for _, m := range s.models {
		m.queue.Release(account)
	}
}
