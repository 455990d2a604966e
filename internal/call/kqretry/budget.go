// Package kqretry decides, for one call, what follows the end of an attempt,
// and bounds how many extra attempts an entry makes. It does no I/O.
package kqretry

import "time"

// BudgetConfig sets up a Budget.
type BudgetConfig struct {
	// Share is how many extra attempts each call pays for.
	TokensPerCall float64
	// PerSecond is how many extra attempts are free each second.
	TokensPerSecond float64
	// Most is how many may be saved up.
	MaxTokens float64
}

// DefaultRetryBudget lets a tenth of the calls be sent again.
var DefaultRetryBudget = BudgetConfig{TokensPerCall: 0.1, TokensPerSecond: 2, MaxTokens: 50}

// DefaultHedgeBudget lets a twentieth of the calls be sent twice.
var DefaultHedgeBudget = BudgetConfig{TokensPerCall: 0.05, TokensPerSecond: 1, MaxTokens: 20}

// Budget bounds extra attempts. It is not safe for concurrent use.
type Budget struct {
	config BudgetConfig
	tokens float64
	last   time.Time
}

// NewBudget returns a Budget with half of what it may save up.
func NewBudget(c BudgetConfig) *Budget {
	return &Budget{config: c, tokens: c.MaxTokens / 2}
}

// Deposit pays in for one call.
func (b *Budget) Deposit(now time.Time) {
	if !b.last.IsZero() {
		b.tokens += now.Sub(b.last).Seconds() * b.config.TokensPerSecond
	}
	b.last = now
	b.tokens = min(b.tokens+b.config.TokensPerCall, b.config.MaxTokens)
}

// Spend takes one extra attempt and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
