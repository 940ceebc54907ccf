package experiments

import (
	"bufio"
	"context"
	"os"
	"strings"
	"sync"
	"time"

	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/bench/load"
	"github.com/azurebarrow/azurebarrow/standin/engine"
	"github.com/azurebarrow/azurebarrow/standin/service"
)

func init() {
	experiment.Register(experiment.Experiment{
		Name:    "soak",
		Summary: "both users' installations under mixed traffic and random failures, alone and in pairs",
		Run:     runSoak,
	})
}

// Sizes of the users' installations.
const (
	soakEntries      = 8
	draftingEngines  = 24
	recordsServices  = 3
	guideEngines     = 18
	bookingServices  = 3
	soakCustomers    = 10
	soakShort        = 25 * time.Second
	soakPatience     = 40 * time.Second
	soakIdle         = 1500 * time.Millisecond
	draftingRate     = 6
	guideRate        = 6
	onceRate         = 8
	lookupRate       = 12
	changePause      = 700 * time.Millisecond
	soakPromptMedian = 1200
	soakOutputMedian = 120
	soakOutputMost   = 400
	// rareLogMark is what an entry's log holds only when an invariant broke.
	rareLogMark = "violated"
)

// Names of the soak's deployments.
const (
	draftingName = "drafting"
	recordsName  = "records"
	guideName    = "guide"
	bookingName  = "booking"
)

// soakSizes scales the installations and their traffic.
type soakSizes struct {
	entries  int
	drafting int
	guide    int
	// traffic is a factor of all rates.
	traffic  float64
	duration time.Duration
	// interval is the engines' time between tokens.
	interval time.Duration
}

func fullSoak(env experiment.Environment) soakSizes {
	sizes := soakSizes{
		entries:  soakEntries,
		drafting: draftingEngines,
		guide:    guideEngines,
		traffic:  1,
		duration: soakShort,
		interval: engine.DefaultOptions().TokenInterval,
	}
	if env.Minutes > 0 {
		sizes.duration = time.Duration(env.Minutes * float64(time.Minute))
	}
	return sizes
}

func (z soakSizes) deployments() []cluster.DeploymentOptions {
	engineOptions := engine.DefaultOptions()
	engineOptions.Divergent = true
	engineOptions.TokenInterval = z.interval
	services := service.Options{Latency: 2 * time.Millisecond}
	return []cluster.DeploymentOptions{
		{Name: draftingName, Targets: z.drafting, Prefix: "draft-", Model: "ranch", Version: "v1", Engine: engineOptions,
			Recovery: v1.Recovery{Prefer: v1.PreferCost}},
		{Name: recordsName, Type: v1.DeploymentService, Targets: recordsServices, Prefix: "record-", Service: services,
			Routes: cluster.DefaultRoutes()},
		{Name: guideName, Targets: z.guide, Prefix: "guide-", Model: "rail", Version: "v3", Engine: engineOptions,
			Recovery: v1.Recovery{Prefer: v1.PreferLatency}},
		{Name: bookingName, Type: v1.DeploymentService, Targets: bookingServices, Prefix: "booking-", Service: services,
			Routes: cluster.DefaultRoutes()},
	}
}

func soakCustomerNames() []string {
	var names []string
	for i := range soakCustomers {
		names = append(names, "customer-"+string(rune('a'+i)))
	}
	return names
}

// soak is one run.
type soak struct {
	env     experiment.Environment
	sizes   soakSizes
	cluster *cluster.Cluster
	client  *caller.Caller
	result  *experiment.Result

	mu      sync.Mutex
	reports []*load.Report
	once    []onceOutcome
	lookups lookupCounts
}

func runSoak(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	return soakOf(ctx, env, fullSoak(env), result)
}

func soakOf(ctx context.Context, env experiment.Environment, sizes soakSizes, result *experiment.Result) error {
	if env.Processes && env.Binary == "" {
		return cluster.ErrNoBinary
	}
	c, err := cluster.Start(ctx, cluster.Options{
		Seed:        env.Seed,
		Entries:     sizes.entries,
		Processes:   env.Processes,
		Binary:      env.Binary,
		Directory:   env.Directory,
		VMListLag:   time.Second,
		Customers:   soakCustomerNames(),
		Deployments: sizes.deployments(),
	})
	if err != nil {
		return err
	}
	defer c.Close()
	client := caller.New(caller.Options{Addresses: c.Addresses(), Seed: env.Seed, Timeout: soakPatience, IdleTimeout: soakIdle})
	defer client.Close()
	s := &soak{env: env, cluster: c, client: client, sizes: sizes, result: result}
	s.run(ctx)
	return s.judge()
}

// run makes all traffic and failures and waits for the last answer.
func (s *soak) run(ctx context.Context) {
	failures := cluster.Schedule(s.env.Seed, s.sizes.duration, s.cluster.Inventory())
	s.env.Logf("%d failures in %v", len(failures), s.sizes.duration)
	var parts sync.WaitGroup
	parts.Go(func() {
		s.cluster.InjectFailures(ctx, failures, func(f cluster.Failure, err error) {
			s.env.Logf("%s %s for %v: %v", f.Kind, f.Subject, f.Duration.Round(time.Millisecond), err)
		})
	})
	for _, d := range s.sizes.deployments() {
		if d.Type == v1.DeploymentService {
			parts.Go(func() { s.callOnce(ctx, d.Name) })
			parts.Go(func() { s.lookUp(ctx, d.Name) })
			continue
		}
		parts.Go(func() { s.generate(ctx, d) })
	}
	parts.Go(func() { s.changeConfiguration(ctx) })
	parts.Wait()
}

func (s *soak) generate(ctx context.Context, d cluster.DeploymentOptions) {
	rate := float64(draftingRate)
	if d.Name == guideName {
		rate = guideRate
	}
	options := load.Options{
		Seed:           s.env.Seed + int64(len(d.Name)),
		RatePerSecond:  rate * s.sizes.traffic,
		Duration:       s.sizes.duration,
		PromptBytes:    load.Distribution{Shape: load.LogNormal, Low: soakPromptMedian, Sigma: 0.6, High: 8 * soakPromptMedian},
		OutputTokens:   load.Distribution{Shape: load.LogNormal, Low: soakOutputMedian, Sigma: 0.7, High: soakOutputMost},
		SharedPrefixes: soakCustomers,
		SharedBytes:    soakPromptMedian / 2,
		SharedShare:    0.5,
		Deployment:     d.Name,
		Model:          d.Model,
		Version:        d.Version,
		KeyPrefix:      d.Name + "-",
	}
	for i, name := range soakCustomerNames() {
		options.Customers = append(options.Customers, load.Customer{APIKey: cluster.APIKey(name), Weight: soakCustomers - i})
	}
	report := load.Run(ctx, s.client, load.Plan(options))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, report)
}

// changeConfiguration lets an operator change the recovery policy of a deployment again and again.
func (s *soak) changeConfiguration(ctx context.Context) {
	deployment := s.sizes.deployments()[0]
	ended := time.After(s.sizes.duration)
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-time.After(changePause):
		}
		deployment.Recovery.Prefer = v1.PreferCost
		if i%2 == 0 {
			deployment.Recovery.Prefer = v1.PreferLatency
		}
		if err := s.cluster.UpdateDeployment(deployment); err != nil {
			s.env.Logf("redeclare: %v", err)
		}
	}
}

// judge turns everything seen into figures.
func (s *soak) judge() error {
	answers := s.answers()
	complete, wrong := judge(answers)
	never, lost := neverAnswered(answers)
	for _, text := range wrong {
		s.result.AddViolation("wrong answer: %s", text)
	}
	violations, err := s.brokenInvariants()
	if err != nil {
		return err
	}
	once := s.judgeOnce()
	resumes := resumeLatencies(s.cluster, answers)
	s.result.Add(
		experiment.Unbounded("answers_checked", float64(len(answers)+once.calls+s.lookups.answered), experiment.Count),
		experiment.AtMost("wrong_answers", float64(len(wrong)+once.wrong+s.lookups.wrong), experiment.Count, 0),
		experiment.AtMost("invariant_violations", float64(violations), experiment.Count, 0),
		experiment.AtMost("executed_twice", float64(once.twice), experiment.Count, 0),
		experiment.AtMost("not_run_but_ran", float64(once.notRunButRan), experiment.Count, 0),
		experiment.AtMost("accepted_never_answered", float64(never+once.never), experiment.Count, 0),
		experiment.Unbounded("generations_complete_share", share(complete, len(answers)), experiment.Fraction),
		experiment.Unbounded("generations_lost_explicitly", float64(lost), experiment.Count),
		experiment.Unbounded("once_answered_share", share(once.answered, once.calls), experiment.Fraction),
		experiment.Unbounded("lookups_answered_share", share(s.lookups.answered, s.lookups.calls), experiment.Fraction),
		experiment.Unbounded("resume_p50", resumes.QuantileMs(0.50), experiment.Milliseconds),
		experiment.Unbounded("resume_p99", resumes.QuantileMs(0.99), experiment.Milliseconds),
		experiment.Unbounded("resume_samples", float64(len(resumes)), experiment.Count),
		experiment.Unbounded("extra_work", extraWork(s.cluster.EngineStats(), answers), experiment.Fraction),
	)
	return s.env.DrawQuantiles("time from an engine's death to the next token", experiment.Series{Name: "resume latency", Samples: resumes})
}

func share(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }

func (s *soak) answers() []*caller.Result {
	var list []*caller.Result
	for _, report := range s.reports {
		list = append(list, report.Results...)
	}
	return list
}

// neverAnswered counts accepted generations that ended without a whole answer: by the caller's
// timeout, and by an explicit error after output had been seen.
func neverAnswered(answers []*caller.Result) (never, lost int) {
	for _, a := range answers {
		switch {
		case a.Status == caller.Lost:
			lost++
		case a.Status == caller.TimedOut && a.Generation != "":
			never++
		case a.Status == caller.Refused && len(a.Tokens) > 0:
			never++
		}
	}
	return never, lost
}

// brokenInvariants counts the lines in which entries report one.
func (s *soak) brokenInvariants() (int, error) {
	count := 0
	for _, e := range s.cluster.Entries {
		file, err := os.Open(e.LogFile())
		if err != nil {
			return 0, err
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			if strings.Contains(lines.Text(), rareLogMark) || strings.HasPrefix(lines.Text(), "panic:") {
				count++
				s.result.AddViolation("entry %s: %s", e.Name, lines.Text())
			}
		}
		file.Close()
	}
	return count, nil
}

// resumeLatencies returns, for each stream that an engine's death cost, the time from the death to
// the caller's first token that the engine had not produced.
func resumeLatencies(c *cluster.Cluster, answers []*caller.Result) experiment.Samples {
	byGeneration := map[string]*caller.Result{}
	for _, a := range answers {
		byGeneration[a.Generation] = a
	}
	var samples experiment.Samples
	for _, t := range c.Engines() {
		for _, lost := range t.Engine().LostStreams() {
			a := byGeneration[lost.RequestID]
			if a == nil || lost.Tokens >= len(a.Arrivals) {
				continue
			}
			samples.Add(a.Started.Add(a.Arrivals[lost.Tokens]).Sub(lost.At))
		}
	}
	return samples
}

// extraWork returns the engine time of tokens that no caller got and of later attempts' prefill,
// over that of everything delivered.
func extraWork(stats engine.Stats, answers []*caller.Result) float64 {
	delivered := int64(0)
	for _, a := range answers {
		delivered += int64(len(a.Tokens))
	}
	options := engine.DefaultOptions()
	extra := engine.WorkMs(options, stats.RecoveryPrefillTokens, stats.DecodeTokens-delivered)
	useful := engine.WorkMs(options, stats.PrefillTokens-stats.RecoveryPrefillTokens, delivered)
	return extra / max(useful, 1)
}
