// Package kqretry decides what a call does after an attempt has ended (retry, fetch the answer again
// or finish), and limits the retries and hedges of an entry by budgets. It does no I/O.
package kqretry

import "time"

// BudgetConfig configures a Budget. A token pays for one extra attempt.
type BudgetConfig struct {
	// TokensPerCall is the number of tokens added with each call.
	TokensPerCall float64
	// TokensPerSecond is the number of tokens added each second, regardless of calls.
	TokensPerSecond float64
	// MaxTokens is the maximum number of saved tokens.
	MaxTokens float64
}

// DefaultRetryBudget allows retries for 10% of the calls, plus 2 per second.
var DefaultRetryBudget = BudgetConfig{TokensPerCall: 0.1, TokensPerSecond: 2, MaxTokens: 50}

// DefaultHedgeBudget allows hedges for 5% of the calls, plus 1 per second.
var DefaultHedgeBudget = BudgetConfig{TokensPerCall: 0.05, TokensPerSecond: 1, MaxTokens: 20}

// Budget is a token bucket that limits extra attempts. It is not safe for concurrent use.
type Budget struct {
	config        BudgetConfig
	tokens        float64
	lastDepositAt time.Time
}

// NewBudget returns a Budget with half of its maximum number of tokens.
func NewBudget(c BudgetConfig) *Budget {
	return &Budget{config: c, tokens: c.MaxTokens / 2}
}

// Deposit adds the tokens of one call and of the time since the last deposit.
func (b *Budget) Deposit(now time.Time) {
	if !b.lastDepositAt.IsZero() {
		b.tokens += now.Sub(b.lastDepositAt).Seconds() * b.config.TokensPerSecond
	}
	b.lastDepositAt = now
	b.tokens = min(b.tokens+b.config.TokensPerCall, b.config.MaxTokens)
}

// Spend takes a token for one extra attempt. It returns false if there is none.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
