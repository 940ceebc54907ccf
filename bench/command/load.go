package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/bench/load"
)

type loadCommand struct {
	Entries      []string          `long:"entry" required:"true" value-name:"IP:PORT" description:"caller address of a running entry; repeatable"`
	APIKeys      []string          `long:"api-key" required:"true" description:"a customer's API key; repeatable, the first are the larger customers"`
	Deployment   string            `long:"deployment" required:"true" description:"the deployment to call"`
	Model        string            `long:"model" required:"true" description:"the model that the stand-in engines run for it, to verify tokens"`
	ModelVersion string            `long:"model-version" required:"true" description:"the version that they run"`
	Rate         float64           `long:"rate" default:"10" description:"requests a second"`
	Duration     time.Duration     `long:"duration" default:"30s" description:"time in which requests start"`
	Patience     time.Duration     `long:"patience" default:"2m" description:"time that a caller waits for a whole answer"`
	PromptBytes  load.Distribution `long:"prompt-bytes" default:"lognormal:2000,0.7,32000" description:"fixed:N, uniform:LOW-HIGH or lognormal:MEDIAN,SIGMA,MOST"`
	OutputTokens load.Distribution `long:"output-tokens" default:"lognormal:300,0.6,2000" description:"the same forms"`
	SharedNotes  int               `long:"shared-prefixes" default:"8" description:"number of common prompt beginnings"`
	SharedBytes  int               `long:"shared-bytes" default:"1024" description:"length of each"`
	SharedShare  float64           `long:"shared-share" default:"0.5" description:"share of requests that begin with one"`
	Priority     int               `long:"priority" default:"-1" description:"priority to ask for; -1 is the customer's own"`
	Seed         int64             `long:"seed" default:"1" description:"seed of the plan"`
	JSON         bool              `long:"json" description:"print one JSON object and nothing else on standard output"`
}

// Execute makes the load and prints its figures.
func (c *loadCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	client := caller.New(caller.Options{Addresses: c.Entries, Seed: c.Seed, Timeout: c.Patience})
	defer client.Close()
	report := load.Run(ctx, client, load.Plan(c.options()))
	result := &experiment.Result{Experiment: "load", Seed: c.Seed}
	fillLoad(result, report, c.Duration)
	for _, wrong := range report.Violations {
		result.AddViolation("wrong answer: %s", wrong)
	}
	return printResult(result, c.JSON)
}

func (c *loadCommand) options() load.Options {
	options := load.Options{
		Seed:           c.Seed,
		RatePerSecond:  c.Rate,
		Duration:       c.Duration,
		PromptBytes:    c.PromptBytes,
		OutputTokens:   c.OutputTokens,
		SharedPrefixes: c.SharedNotes,
		SharedBytes:    c.SharedBytes,
		SharedShare:    c.SharedShare,
		Deployment:     c.Deployment,
		Model:          c.Model,
		Version:        c.ModelVersion,
		KeyPrefix:      "load-" + time.Now().Format("150405.000") + "-",
	}
	for i, key := range c.APIKeys {
		customer := load.Customer{APIKey: key, Weight: len(c.APIKeys) - i}
		if c.Priority >= 0 {
			customer.Priority = &c.Priority
		}
		options.Customers = append(options.Customers, customer)
	}
	return options
}

func fillLoad(result *experiment.Result, report *load.Report, duration time.Duration) {
	result.Add(
		experiment.Unbounded("requests", float64(report.Sent), experiment.Count),
		experiment.Unbounded("complete", float64(report.Complete), experiment.Count),
		experiment.Unbounded("not_run", float64(report.NotRun), experiment.Count),
		experiment.Unbounded("failed", float64(report.Failed), experiment.Count),
		experiment.AtMost("wrong_answers", float64(len(report.Violations)), experiment.Count, 0),
		experiment.Unbounded("reconnects", float64(report.Reconnects), experiment.Count),
		experiment.Unbounded("tokens_per_second", float64(report.Tokens)/duration.Seconds(), experiment.PerSecond),
	)
	for _, q := range []struct {
		suffix   string
		quantile float64
	}{{"_p50", 0.50}, {"_p99", 0.99}, {"_p999", 0.999}} {
		result.Add(
			experiment.Unbounded("first_token"+q.suffix, load.QuantileMs(report.FirstToken, q.quantile), experiment.Milliseconds),
			experiment.Unbounded("between_tokens"+q.suffix, load.QuantileMs(report.BetweenTokens, q.quantile), experiment.Milliseconds),
			experiment.Unbounded("whole_answer"+q.suffix, load.QuantileMs(report.WholeAnswer, q.quantile), experiment.Milliseconds),
			experiment.Unbounded("start_lateness"+q.suffix, load.QuantileMs(report.Lateness, q.quantile), experiment.Milliseconds),
		)
	}
}
