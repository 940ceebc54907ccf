package generation

import "sync"

// duplicationBurst is the number of duplicated tokens that are always allowed, so that a budget is
// usable before many tokens were delivered.
const duplicationBurst = 200

// duplicationBudgets counts the duplicated and delivered tokens of each deployment. It is safe for
// concurrent use.
type duplicationBudgets struct {
	mu     sync.Mutex
	counts map[string]*duplicationCounts
}

type duplicationCounts struct {
	delivered, duplicated int
}

func newDuplicationBudgets() *duplicationBudgets {
	return &duplicationBudgets{counts: map[string]*duplicationCounts{}}
}

func (d *duplicationBudgets) countsOf(deployment string) *duplicationCounts {
	count := d.counts[deployment]
	if count == nil {
		count = &duplicationCounts{}
		d.counts[deployment] = count
	}
	return count
}

func (d *duplicationBudgets) addDelivered(deployment string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countsOf(deployment).delivered += tokens
}

func (d *duplicationBudgets) addDuplicated(deployment string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countsOf(deployment).duplicated += tokens
}

// allows reports whether the budget, a share of the delivered tokens, permits more duplicates.
func (d *duplicationBudgets) allows(deployment string, budget float64) bool {
	if budget <= 0 {
		budget = defaultDuplicationBudget
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	count := d.countsOf(deployment)
	return float64(count.duplicated) <= budget*float64(count.delivered)+duplicationBurst
}
