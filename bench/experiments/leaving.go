package experiments

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azurebarrow/azurebarrow/bench/caller"
	"github.com/azurebarrow/azurebarrow/bench/cluster"
	"github.com/azurebarrow/azurebarrow/bench/experiment"
	"github.com/azurebarrow/azurebarrow/invariant"
	"github.com/azurebarrow/azurebarrow/standin/engine"
	"github.com/azurebarrow/azurebarrow/standin/vmlist"
)

// Sizes and bounds of the experiment.
const (
	leavingEntries      = 8
	leavingEngines      = 12
	leavingCallers      = 64
	leavingInterval     = 10 * time.Millisecond // between tokens
	leavingShortest     = 40
	leavingLongest      = 400
	leavingStep         = 3 * time.Second
	leavingNotice       = time.Minute
	leavingDeadline     = 2500 * time.Millisecond // shorter than the longest answers
	leavingDrainNotice  = 300 * time.Millisecond
	newWorkBoundMs      = 2000
	newWorkSample       = 5 * time.Millisecond
	returnedWorkTimeout = 20 * time.Second
)

func init() {
	experiment.Register(experiment.Experiment{
		Name:    "leaving",
		Summary: "targets and entries leave under load, announced by the target or by the VM list",
		Run:     runLeaving,
	})
}

func runLeaving(ctx context.Context, env experiment.Environment, result *experiment.Result) error {
	violations := invariant.Violations()
	options := engine.DefaultOptions()
	options.TokenInterval = leavingInterval
	options.FixedLength = leavingLongest // each answer is as long as its request allows
	c, err := cluster.Start(ctx, cluster.Options{
		Seed:        env.Seed,
		Entries:     leavingEntries,
		Directory:   env.Directory,
		DrainNotice: leavingDrainNotice,
		Deployments: []cluster.DeploymentOptions{cluster.Generation(leavingEngines, options)},
	})
	if err != nil {
		return err
	}
	defer closeTogether(c)
	load := startLeavingLoad(ctx, c, env.Seed)
	script := &leavingScript{cluster: c, env: env}
	err = script.run(ctx)
	load.stop()
	if err != nil {
		return err
	}
	script.report(result)
	load.report(result)
	if broken := invariant.Violations() - violations; broken > 0 {
		result.AddViolation("%d violations of an invariant in the entries", broken)
	}
	return nil
}

// leavingScript lets targets and entries leave, one after the other.
type leavingScript struct {
	cluster  *cluster.Cluster
	env      experiment.Environment
	meters   []*newWorkMeter
	returned time.Duration
	deaths   int64
}

func (s *leavingScript) run(ctx context.Context) error {
	engines := s.cluster.Engines()
	steps := []func() error{
		func() error { return s.byItself(engines[0], leavingNotice) },
		func() error { return s.byList(engines[1]) },
		func() error { return s.entry(ctx, s.cluster.Entries[0]) },
		func() error { return s.untilDeadline(engines[2]) },
		func() error { return s.comesBack(ctx, engines[0]) },
		func() error { return s.entry(ctx, s.cluster.Entries[3]) },
		func() error { return s.byItself(engines[4], leavingNotice) },
	}
	for _, step := range steps {
		time.Sleep(leavingStep)
		if err := step(); err != nil {
			return err
		}
	}
	time.Sleep(leavingStep)
	for _, meter := range s.meters {
		meter.stop()
	}
	return nil
}

// byItself lets the target say that it leaves.
func (s *leavingScript) byItself(target *cluster.Target, notice time.Duration) error {
	s.env.Logf("%s says that it leaves", target.Name)
	s.meters = append(s.meters, startMeter(target))
	target.Engine().StartDraining(notice)
	return nil
}

// byList lets only the VM list say that the target leaves.
func (s *leavingScript) byList(target *cluster.Target) error {
	s.env.Logf("the VM list says that %s leaves", target.Name)
	s.cluster.VMList.Set(vmlist.VM{
		Address: target.Address(), AvailabilityZone: target.Zone, State: vmlist.Leaving, LeaveAtMs: leavingNotice.Milliseconds(),
	})
	s.meters = append(s.meters, startMeter(target))
	return nil
}

// untilDeadline lets the target leave, and end while longer answers would still run.
func (s *leavingScript) untilDeadline(target *cluster.Target) error {
	if err := s.byItself(target, leavingDeadline); err != nil {
		return err
	}
	time.Sleep(leavingDeadline)
	s.meters[len(s.meters)-1].stop()
	s.deaths += int64(target.Engine().Stats().Running)
	target.Kill()
	return nil
}

// comesBack restarts a target that left under the same address.
func (s *leavingScript) comesBack(ctx context.Context, target *cluster.Target) error {
	s.env.Logf("%s is back under its address", target.Name)
	s.meters[0].stop()
	target.Kill()
	if err := target.Restart(); err != nil {
		return err
	}
	began, before := time.Now(), target.Engine().Stats().Streams
	for target.Engine().Stats().Streams == before && time.Since(began) < returnedWorkTimeout && ctx.Err() == nil {
		time.Sleep(newWorkSample)
	}
	s.returned = time.Since(began)
	return nil
}

// entry drains an entry under load and starts it again.
func (s *leavingScript) entry(ctx context.Context, entry *cluster.Entry) error {
	s.env.Logf("%s leaves", entry.Name)
	_, err := restartEntry(ctx, entry)
	return err
}

func (s *leavingScript) report(result *experiment.Result) {
	var last experiment.Samples
	for _, meter := range s.meters {
		last.Add(meter.lastAfter())
	}
	result.Add(
		experiment.Unbounded("targets_left", float64(len(s.meters)), experiment.Count),
		experiment.AtMost("last_new_work_after", last.QuantileMs(1), experiment.Milliseconds, newWorkBoundMs),
		experiment.Unbounded("streams_running_at_deadline", float64(s.deaths), experiment.Count),
		experiment.Unbounded("work_after_return", experiment.Ms(s.returned), experiment.Milliseconds),
	)
}

// newWorkMeter finds the last new stream at a target that leaves.
type newWorkMeter struct {
	target *cluster.Target
	from   time.Time
	ended  chan struct{}
	once   sync.Once
	done   sync.WaitGroup
	last   time.Duration
}

func startMeter(target *cluster.Target) *newWorkMeter {
	m := &newWorkMeter{target: target, from: time.Now(), ended: make(chan struct{})}
	m.done.Go(m.sample)
	return m
}

func (m *newWorkMeter) sample() {
	streams := m.target.Engine().Stats().Streams
	ticker := time.NewTicker(newWorkSample)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-m.ended:
			return
		}
		if now := m.target.Engine().Stats().Streams; now > streams {
			streams, m.last = now, time.Since(m.from)
		}
	}
}

func (m *newWorkMeter) stop() {
	m.once.Do(func() { close(m.ended) })
	m.done.Wait()
}

func (m *newWorkMeter) lastAfter() time.Duration { return m.last }

// leavingLoad is callers that make one request after the other.
type leavingLoad struct {
	client  *caller.Caller
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu      sync.Mutex
	results []*caller.Result
}

func startLeavingLoad(ctx context.Context, c *cluster.Cluster, seed int64) *leavingLoad {
	client := caller.New(caller.Options{Addresses: c.Addresses(), Seed: seed, RetryNotRun: true})
	asking, cancel := context.WithCancel(ctx)
	l := &leavingLoad{client: client, cancel: cancel}
	for number := range leavingCallers {
		l.running.Go(func() { l.ask(ctx, asking, seed, number) })
	}
	return l
}

// ask makes requests while asking lasts; the last answer is awaited.
func (l *leavingLoad) ask(ctx, asking context.Context, seed int64, number int) {
	random := rand.New(rand.NewPCG(uint64(seed), uint64(number)))
	for count := 0; asking.Err() == nil; count++ {
		tokens := leavingShortest + random.IntN(leavingLongest-leavingShortest)
		result := l.client.Generate(ctx, request(fmt.Sprintf("leaving-%d-%d", number, count), random.Int64(), tokens))
		l.mu.Lock()
		l.results = append(l.results, result)
		l.mu.Unlock()
	}
}

func (l *leavingLoad) stop() {
	l.cancel()
	l.running.Wait()
	l.client.Close()
}

// report counts a request as cut when its answer is not complete, or when its connection ended
// after the first token: no entry dies here.
func (l *leavingLoad) report(result *experiment.Result) {
	complete, wrong := judge(l.results)
	cut := len(l.results) - complete
	early := 0
	for _, r := range l.results {
		for _, reconnect := range r.Reconnects {
			if reconnect.Index > 0 {
				cut++
				result.AddNote("cut at token %d: %s", reconnect.Index, reconnect.Cause)
			} else {
				early++
			}
		}
		if r.Status != caller.Complete {
			result.AddNote("%s: %s %s %s", r.Request.Key, r.Status, r.Code, r.Message)
		}
	}
	result.Add(
		experiment.Unbounded("requests", float64(len(l.results)), experiment.Count),
		experiment.AtMost("cut_requests", float64(cut), experiment.Count, 0),
		experiment.AtMost("wrong_answers", float64(len(wrong)), experiment.Count, 0),
		experiment.Unbounded("connections_refused_by_left_entries", float64(early), experiment.Count),
	)
	for i, text := range wrong {
		if i < 10 {
			result.AddNote("wrong: %s", text)
		}
	}
}
