package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azurebarrow/azurebarrow/generation"
)

type retryClock struct{ at time.Time }

func (c *retryClock) now() time.Time { return c.at }

func newSharedRetries(entries int) (*SharedRetryBudget, *retryClock) {
	clock := &retryClock{at: time.Unix(1000, 0)}
	limits := SharedRetryLimits{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}
	return NewSharedRetryBudget(limits, func() int { return entries }, clock.now), clock
}

func spendAll(s *SharedRetryBudget, urgency generation.RetryUrgency) int {
	spent := 0
	for s.Spend("drafts", urgency) {
		spent++
	}
	return spent
}

func TestEntriesTogetherKeepTheBudget(t *testing.T) {
	is := is.New(t)
	const entries, requests = 8, 10
	total := 0
	for range entries {
		s, _ := newSharedRetries(entries)
		for range requests {
			s.Earn("drafts")
		}
		total += spendAll(s, generation.RetryResume)
	}
	is.True(float64(total) <= 0.8*entries*requests+150)
	is.True(total > 100) // and most of it can be used
}

func TestUrgentSendsGetTheLastOfTheBudget(t *testing.T) {
	is := is.New(t)
	s, _ := newSharedRetries(8)
	for range 50 {
		s.Earn("drafts")
	}
	prefills := spendAll(s, generation.RetryPrefill)
	restart := spendAll(s, generation.RetryRestart)
	resume := spendAll(s, generation.RetryResume)
	is.True(prefills > 0)
	is.True(restart > 0)
	is.True(resume > 0)
}

func TestBudgetRecoversAfterTheWindow(t *testing.T) {
	is := is.New(t)
	s, clock := newSharedRetries(8)
	first := spendAll(s, generation.RetryResume)
	clock.at = clock.at.Add(5 * time.Second)
	is.Equal(spendAll(s, generation.RetryResume), 0)
	clock.at = clock.at.Add(7 * time.Second)
	is.Equal(spendAll(s, generation.RetryResume), first)
}

func TestRefundedRetryCanBeSpentAgain(t *testing.T) {
	is := is.New(t)
	s, _ := newSharedRetries(8)
	first := spendAll(s, generation.RetryResume)
	s.Refund("drafts")
	is.Equal(spendAll(s, generation.RetryResume), 1)
	is.True(first > 1)
}

// Losses of targets affect entries unevenly: the totals let one entry use what the others leave, and
// all entries together stay within the budget.
func TestTotalsLendWhatOthersLeave(t *testing.T) {
	is := is.New(t)
	const entries = 50
	totals := NewRetryTotals()
	now := time.Unix(1000, 0)
	var budgets []*SharedRetryBudget
	names := []string{}
	for i := range entries {
		s, _ := newSharedRetries(entries)
		for range 10 {
			s.Earn("drafts")
		}
		budgets = append(budgets, s)
		names = append(names, string(rune('A'+i)))
	}
	exchange := func() {
		for i, s := range budgets {
			for _, total := range totals.Report(names[i], s.windowUses(), now) {
				window := s.window(total.Service)
				window.total, window.totalAt, window.retriesSinceTotal = total, s.now(), 0
			}
		}
	}
	alone := spendAll(budgets[0], generation.RetryResume)
	exchange()
	exchange() // the second round returns the totals with all reports
	more := spendAll(budgets[0], generation.RetryResume)
	is.True(more > alone)
	spent := alone + more
	for _, s := range budgets[1:] {
		exchange()
		for range 12 {
			if s.Spend("drafts", generation.RetryResume) {
				spent++
			}
		}
	}
	is.True(float64(spent) <= 0.8*10*entries+150)
}

func TestOldReportsDoNotCount(t *testing.T) {
	is := is.New(t)
	totals := NewRetryTotals()
	now := time.Unix(1000, 0)
	totals.Report("silent", []RetryUse{{"drafts", 10, 5}}, now)
	list := totals.Report("here", []RetryUse{{"drafts", 1, 1}}, now.Add(maxReportAge+time.Second))
	is.Equal(list, []RetryUse{{"drafts", 1, 1}})
}
