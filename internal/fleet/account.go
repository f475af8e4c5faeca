package fleet

import "time"

// ClientAccount is one caller.
type ClientAccount struct {
	name           string
	priority       int
	weight         int
	tokensInFlight int
	maxWait        time.Duration
}

// Name returns the name of the client account.
func (a *ClientAccount) Name() string { return a.name }

// Priority returns the strict order of accounts; 0 is served first.
func (a *ClientAccount) Priority() int { return a.priority }

// Weight returns the share of tokens within one priority, at least 1.
func (a *ClientAccount) Weight() int { return a.weight }

// TokensInFlight returns the bound of KV tokens over all boxes; 0 is no bound.
func (a *ClientAccount) TokensInFlight() int { return a.tokensInFlight }

// MaxWait returns how long a generation of the account may wait for an engine.
func (a *ClientAccount) MaxWait() time.Duration { return a.maxWait }
