package admission

const (
	// retryRatio is the maximum ratio of retries to requests.
	retryRatio = 0.1
	// maxSavedRetries is the number of unused retries that the budget can accumulate.
	maxSavedRetries = 10
)

// RetryBudget limits retries to a ratio of the requests. It is not safe for concurrent use.
type RetryBudget struct{ available float64 }

// NewRetryBudget returns an empty budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{} }

// Earn credits the budget for one request.
func (b *RetryBudget) Earn() { b.available = min(b.available+retryRatio, maxSavedRetries) }

// Spend takes one retry from the budget. It returns false if none is left.
func (b *RetryBudget) Spend() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
