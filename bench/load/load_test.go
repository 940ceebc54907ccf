package load

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/matryer/is"
)

var options = Options{
	Seed:           5,
	RatePerSecond:  100,
	Duration:       10 * time.Second,
	PromptBytes:    Distribution{Shape: LogNormal, Low: 800, Sigma: 0.5, High: 4000},
	OutputTokens:   Distribution{Shape: Uniform, Low: 10, High: 20},
	SharedPrefixes: 3,
	SharedBytes:    512,
	SharedShare:    0.5,
	Customers:      []Customer{{APIKey: "a", Weight: 9}, {APIKey: "b", Weight: 1}},
}

func TestPlanIsAFunctionOfItsOptions(t *testing.T) {
	is := is.New(t)
	plan := Plan(options)
	is.Equal(plan, Plan(options))
	is.True(len(plan) > 800 && len(plan) < 1200) // the mean is 1000, the standard deviation 32
	large := 0
	for _, arrival := range plan {
		is.True(arrival.At < options.Duration)
		is.True(arrival.Request.MaxTokens >= 10 && arrival.Request.MaxTokens <= 20)
		if arrival.Request.APIKey == "a" {
			large++
		}
	}
	is.True(large > len(plan)*8/10)
}

func TestDistributionsAreParsedFromText(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	for text, bounds := range map[string][2]int{"fixed:7": {7, 7}, "uniform:2-5": {2, 5}, "lognormal:100,1,300": {1, 300}} {
		d, err := ParseDistribution(text)
		is.NoErr(err)
		for range 1000 {
			drawn := d.Draw(random)
			is.True(drawn >= bounds[0] && drawn <= bounds[1])
		}
	}
	for _, text := range []string{"", "fixed:x", "uniform:5-2", "normal:1"} {
		_, err := ParseDistribution(text)
		is.True(err != nil)
	}
}

// The latency of a request that started late must include the delay from its planned start.
// Otherwise a stalled load generator would hide the latency of the requests that it delays.
func TestLatenciesCountFromThePlannedStart(t *testing.T) {
	is := is.New(t)
	report := NewReport()
	report.add(&caller.Result{
		Status:   caller.Complete,
		Tokens:   []string{"a", "b"},
		Arrivals: []time.Duration{10 * time.Millisecond, 30 * time.Millisecond},
		Ended:    30 * time.Millisecond,
	}, 500*time.Millisecond)
	is.True(QuantileMs(report.FirstToken, 0.5) >= 510)
	is.True(QuantileMs(report.WholeAnswer, 0.5) >= 530)
	is.True(QuantileMs(report.BetweenTokens, 0.5) < 21)
}
