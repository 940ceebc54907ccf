package service

// retryBudget limits attempts beyond the first (retries, hedges, probes) to a ratio of the calls: each
// call adds ratio to the balance, up to reserve, and each such attempt takes 1 from it. It is not safe
// for concurrent use.
type retryBudget struct {
	ratio   float64
	reserve float64
	balance float64
}

func newRetryBudget(ratio, reserve float64) retryBudget {
	return retryBudget{ratio: ratio, reserve: reserve}
}

// Earn credits the budget for one call.
func (b *retryBudget) Earn() { b.balance = min(b.balance+b.ratio, b.reserve) }

// Allows reports whether a further attempt would leave rest in the balance.
func (b *retryBudget) Allows(rest float64) bool { return b.balance >= 1+rest }

// Spend reports whether a further attempt may be made that leaves rest in the balance, and charges the
// budget for it.
func (b *retryBudget) Spend(rest float64) bool {
	if !b.Allows(rest) {
		return false
	}
	b.balance--
	return true
}

// Refund returns the charge for an attempt that was not made.
func (b *retryBudget) Refund() { b.balance = min(b.balance+1, b.reserve) }
